// Command play starts daemons as processes, with stand-ins for the store, the runners and
// the callers, and checks one rule of the platform. It exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

var cases = map[string]func(s *system) (bool, error){
	"refused": caseRefused,
	"slow":    caseSlow,
	"leave":   caseLeave,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE RECORD")
		return 2
	}
	broken, err := play(cases[args[0]], args[1])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		return 1
	}
	return 0
}

// maxTime bounds a run.
const maxTime = 110 * time.Second

// play runs a case and ends all that it started.
func play(f func(s *system) (bool, error), path string) (broken bool, err error) {
	if err := loadNames(); err != nil {
		return false, err
	}
	file, err := os.Create(path)
	if err != nil {
		return false, fmt.Errorf("record: %w", err)
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "play")
	if err != nil {
		return false, fmt.Errorf("folder: %w", err)
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{
		ctx: ctx, group: new(errgroup.Group), dir: dir, store: newStore(),
		record: &record{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0",
	}
	defer endEarly(s)()
	defer s.group.Wait()
	defer cancel()
	defer s.stop()
	s.record.line("trouble: %v", s.trouble)
	l, err := listen()
	if err != nil {
		return false, err
	}
	s.serve(l, s.store)
	s.storeAt = l.Addr().String()
	config, err := files.ReadFile("config.json")
	if err != nil {
		return false, fmt.Errorf("configuration: %w", err)
	}
	s.store.put(names.OperatorTopic, -1, entry{"config", config})
	broken, err = f(s)
	if err != nil {
		s.record.line("the case could not run: %v", err)
	}
	s.record.line("broken: %v", broken)
	return broken, err
}

// endEarly ends the run at a signal or after maxTime, until the returned function is called.
func endEarly(s *system) func() {
	signaled, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	limited, cancel := context.WithTimeout(signaled, maxTime)
	keep := context.AfterFunc(limited, func() {
		s.record.line("the run was ended early: %v", context.Cause(limited))
		s.stop()
		os.RemoveAll(s.dir)
		os.Exit(2)
	})
	return func() {
		keep()
		cancel()
		stop()
	}
}
