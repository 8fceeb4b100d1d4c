package fakes

import "currantwick"

// ConnObserver is a wick.ConnObserver that discards all events.
type ConnObserver struct{}

var _ wick.ConnObserver = ConnObserver{}

// ConnectionClosed implements wick.ConnObserver.
func (ConnObserver) ConnectionClosed(string, wick.CloseCause) {}
