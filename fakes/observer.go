package fakes

import (
	"time"

	"currantwick"
)

// GatewayObserver is a wick.GatewayObserver that discards all events.
type GatewayObserver struct{}

var _ wick.GatewayObserver = GatewayObserver{}

// RequestFinished implements wick.GatewayNote.
func (GatewayObserver) RequestFinished(wick.Kind, wick.Code, time.Duration, time.Duration) {}

// AdapterWaited implements wick.GatewayNote.
func (GatewayObserver) AdapterWaited(time.Duration) {}

// AttemptSent implements wick.GatewayNote.
func (GatewayObserver) AttemptSent(bool) {}

// OrderFinished implements wick.GatewayNote.
func (GatewayObserver) OrderFinished(wick.OrderKind, wick.OrderResult) {}

// ReportFinished implements wick.GatewayNote.
func (GatewayObserver) ReportFinished(error) {}

// StoreCallFinished implements wick.GatewayNote.
func (GatewayObserver) StoreCallFinished(string, error) {}

// RetryDenied implements wick.GatewayNote.
func (GatewayObserver) RetryDenied() {}

// TermStarted implements wick.GatewayNote.
func (GatewayObserver) TermStarted(bool) {}

// ConnectionOpened implements wick.GatewayNote.
func (GatewayObserver) ConnectionOpened() {}

// ConfigApplied implements wick.GatewayNote.
func (GatewayObserver) ConfigApplied(uint64) {}

// ShardsHeld implements wick.GatewayNote.
func (GatewayObserver) ShardsHeld(int) {}
