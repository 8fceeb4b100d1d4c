// Command currantwick runs the daemon and is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"currantwick/verbs"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(int(verbs.Run(ctx, verbs.System(), os.Args[1:])))
}
