package fakes

import (
	"time"

	"currantwick"
)

// GatewayObserver is a wick.GatewayObserver that discards all events.
type GatewayObserver struct{}

var _ wick.GatewayObserver = GatewayObserver{}

// RequestFinished implements wick.GatewayObserver.
func (GatewayObserver) RequestFinished(wick.Kind, wick.Code, time.Duration, time.Duration) {}

// AdapterWaited implements wick.GatewayObserver.
func (GatewayObserver) AdapterWaited(time.Duration) {}

// AttemptSent implements wick.GatewayObserver.
func (GatewayObserver) AttemptSent(bool) {}

// OrderFinished implements wick.GatewayObserver.
func (GatewayObserver) OrderFinished(wick.OrderKind, wick.OrderResult) {}

// ReportFinished implements wick.GatewayObserver.
func (GatewayObserver) ReportFinished(error) {}

// StoreCallFinished implements wick.GatewayObserver.
func (GatewayObserver) StoreCallFinished(string, error) {}

// RetryDenied implements wick.GatewayObserver.
func (GatewayObserver) RetryDenied() {}

// TermStarted implements wick.GatewayObserver.
func (GatewayObserver) TermStarted(bool) {}

// ConnectionOpened implements wick.GatewayObserver.
func (GatewayObserver) ConnectionOpened() {}

// ConnectionLimited implements wick.GatewayObserver.
func (GatewayObserver) ConnectionLimited(bool) {}

// ConfigApplied implements wick.GatewayObserver.
func (GatewayObserver) ConfigApplied(uint64) {}

// EndpointCrashed implements wick.GatewayObserver.
func (GatewayObserver) EndpointCrashed() {}

// RequestStopped implements wick.GatewayObserver.
func (GatewayObserver) RequestStopped() {}

// EndpointPaused implements wick.GatewayObserver.
func (GatewayObserver) EndpointPaused() {}

// EndpointLeaving implements wick.GatewayObserver.
func (GatewayObserver) EndpointLeaving() {}

// LateRecord implements wick.GatewayObserver.
func (GatewayObserver) LateRecord(wick.Topic) {}

// MemoStored implements wick.GatewayObserver.
func (GatewayObserver) MemoStored(bool) {}

// UnstatedRefusal implements wick.GatewayObserver.
func (GatewayObserver) UnstatedRefusal() {}

// CopyRequested implements wick.GatewayObserver.
func (GatewayObserver) CopyRequested() {}

// HedgeSent implements wick.GatewayObserver.
func (GatewayObserver) HedgeSent() {}

// HedgeWon implements wick.GatewayObserver.
func (GatewayObserver) HedgeWon() {}

// HedgeDenied implements wick.GatewayObserver.
func (GatewayObserver) HedgeDenied(wick.HedgeDenial) {}

// UnitsTaken implements wick.GatewayObserver.
func (GatewayObserver) UnitsTaken(wick.TeamName, wick.Units, wick.AllotmentResult) {}

// PoolWaited implements wick.GatewayObserver.
func (GatewayObserver) PoolWaited(time.Duration) {}

// PoolRefused implements wick.GatewayObserver.
func (GatewayObserver) PoolRefused() {}

// ShardsHeld implements wick.GatewayObserver.
func (GatewayObserver) ShardsHeld(int) {}
