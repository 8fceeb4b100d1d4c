package verbs

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// progressInterval is the time between progress updates of a long wait.
const progressInterval = time.Second

// withProgress runs f and, on a terminal, shows the elapsed time meanwhile.
func withProgress(env Env, what string, f func() error) error {
	if !isTerminal(env.Err) {
		return f()
	}
	var group errgroup.Group
	done := make(chan struct{})
	group.Go(func() error {
		showProgress(env.Err, what, done)
		return nil
	})
	err := f()
	close(done)
	_ = group.Wait() // showProgress never fails.
	return err
}

func showProgress(w io.Writer, what string, done <-chan struct{}) {
	start := time.Now()
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			fmt.Fprint(w, "\r\033[K") // Clears the line.
			return
		case <-t.C:
			fmt.Fprintf(w, "\r%s: %s", what, time.Since(start).Round(time.Second))
		}
	}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
