// Command stand2 plays one case of the second review: it starts daemons with the command of
// the deploy file, beside stand-ins for the store, the servers and the callers, and checks
// one rule from what these see.
//
// The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// cases maps the name of a case to what plays it, which returns the number of breaks.
var cases = map[string]func(*world) (int, error){
	"slow-readers":  playSlowReaders,
	"early-answers": playEarlyAnswers,
	"forgotten":     playForgotten,
	"long-ids":      playLongIDs,
	"parts":         playParts,
}

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/currantwick", "the daemon's program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		return cantRun
	}
	if err := loadNames(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	w, err := newWorld(*program, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer w.record.close()
	// Ends the processes if the case is stopped from outside.
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	w.group.Go(func() error {
		<-stopped
		processes.killAll()
		os.Exit(cantRun)
		return nil
	})
	defer w.end()
	breaks, err := play(w)
	if err != nil {
		w.record.say("the case could not run: %v", err)
		return cantRun
	}
	if breaks > 0 {
		w.record.say("broken: %d times", breaks)
		return broken
	}
	w.record.say("the rule held")
	return held
}
