package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sync/errgroup"
)

// Hosts of the run's subnet.
const (
	storeHost   = 2
	firstDaemon = 10
	firstServer = 100
)

// world is the deployment of one run.
type world struct {
	program string
	dir     string
	record  *record
	net     subnet
	store   *store
	daemons []*daemon
	group   errgroup.Group
	// trouble is set unless the run goes without the disruption.
	trouble bool
}

// newWorld returns a deployment with a store and no daemons yet.
func newWorld(program, recordPath string, trouble bool) (*world, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	full, err := filepath.Abs(program)
	if err != nil {
		return nil, fmt.Errorf("find program: %w", err)
	}
	n, err := newSubnet()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "wickcase")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	w := &world{program: full, dir: dir, record: rec, net: n, store: newStore(), trouble: trouble}
	l, err := net.Listen("tcp", n.at(storeHost, portStore))
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	w.store.serve(&w.group, l)
	return w, nil
}

func (w *world) storeAddress() string { return w.net.at(storeHost, portStore) }

// end ends all processes of a deployment.
func (w *world) end() {
	for _, d := range w.daemons {
		d.signal(w, syscall.SIGKILL)
		<-d.exited
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}
