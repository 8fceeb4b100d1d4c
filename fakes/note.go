package fakes

import (
	"time"

	"currantwick"
)

// GatewayNote is a wick.GatewayNote that discards all events.
type GatewayNote struct{}

var _ wick.GatewayNote = GatewayNote{}

// Passed implements wick.GatewayNote.
func (GatewayNote) Passed(wick.Kind, wick.Code, time.Duration, time.Duration) {}

// Waited implements wick.GatewayNote.
func (GatewayNote) Waited(time.Duration) {}

// Sent implements wick.GatewayNote.
func (GatewayNote) Sent(bool) {}

// Ordered implements wick.GatewayNote.
func (GatewayNote) Ordered(wick.OrderKind, wick.OrderResult) {}

// Inspected implements wick.GatewayNote.
func (GatewayNote) Inspected(error) {}

// Stored implements wick.GatewayNote.
func (GatewayNote) Stored(string, error) {}

// Denied implements wick.GatewayNote.
func (GatewayNote) Denied() {}

// TermBegun implements wick.GatewayNote.
func (GatewayNote) TermBegun(bool) {}

// Opened implements wick.GatewayNote.
func (GatewayNote) Opened() {}

// Site implements wick.GatewayNote.
func (GatewayNote) Site(uint64) {}

// Holds implements wick.GatewayNote.
func (GatewayNote) Holds(int) {}
