// Package gateio performs the I/O that the control thread of a gateway decides
// on: calls to the store, orders to endpoints, and links to other daemons. Each
// call runs in a goroutine, and its result is passed back to the thread as an
// event.
package gateio

import (
	"context"
	"time"

	"currantwick"
	"currantwick/coord"
	"currantwick/links"

	"golang.org/x/sync/errgroup"
)

// putTimeout bounds an append.
const putTimeout = time.Second

// Config sets up an IO.
type Config struct {
	Store   wick.RecordStore
	Runners wick.RunnerClient
	Clock   wick.Clock
	Group   *errgroup.Group
}

// IO implements wick.GatewayIO.
type IO struct {
	cfg Config
	ctx context.Context
	// thread and hub are set by Start, before the thread runs.
	thread *coord.Thread
	hub    *links.Hub
}

var _ wick.GatewayIO = (*IO)(nil)

// New returns an IO that can't be used until Start is called.
func New(cfg Config) *IO { return &IO{cfg: cfg} }

// Start sets the receivers of events. It is called once, before the thread
// runs. All work in progress is canceled when ctx ends.
func (s *IO) Start(ctx context.Context, t *coord.Thread, h *links.Hub) {
	s.ctx, s.thread, s.hub = ctx, t, h
}

// start starts a goroutine of the group.
func (s *IO) start(f func()) {
	s.cfg.Group.Go(func() error {
		f()
		return nil
	})
}

// Read implements wick.GatewayIO.
func (s *IO) Read(topic wick.Topic, from wick.Offset, wait wick.Duration) {
	s.start(func() {
		began := s.cfg.Clock.Now()
		b, err := s.cfg.Store.Read(s.ctx, topic, from, wait)
		s.thread.TopicRead(topic, false, began, wait, b, err)
	})
}

// ReadNewest implements wick.GatewayIO.
func (s *IO) ReadNewest(topic wick.Topic) {
	s.start(func() {
		began := s.cfg.Clock.Now()
		b, err := s.cfg.Store.ReadNewest(s.ctx, topic)
		s.thread.TopicRead(topic, true, began, 0, b, err)
	})
}

// Put implements wick.GatewayIO.
func (s *IO) Put(at wick.Offset, records ...wick.KeyedRecord) {
	s.start(func() {
		ctx, cancel := context.WithTimeout(s.ctx, putTimeout)
		defer cancel()
		_, ok, err := s.cfg.Store.Put(ctx, wick.TopicDaemons, at, records...)
		s.thread.PutDone(records[0].Key, ok, err)
	})
}

// Order implements wick.GatewayIO.
func (s *IO) Order(to wick.Address, order wick.RunnerOrder) {
	s.start(func() {
		reply, err := s.cfg.Runners.Order(s.ctx, to, order)
		s.thread.OrderDone(order, reply, err)
	})
}

// Inspect implements wick.GatewayIO.
func (s *IO) Inspect(endpoint wick.EndpointName, at wick.Address) {
	s.start(func() {
		r, err := s.cfg.Runners.Inspect(s.ctx, endpoint, at)
		s.thread.ReportRead(endpoint, r, err)
	})
}

// Probe implements wick.GatewayIO.
func (s *IO) Probe(id wick.EndpointStart, at wick.Address, engine bool) {
	s.start(func() { s.thread.ProbeDone(id, s.cfg.Runners.Probe(s.ctx, id, at, engine)) })
}

// CloseIdle implements wick.GatewayIO.
func (s *IO) CloseIdle(at wick.Address) { s.cfg.Runners.CloseIdle(at) }

// Dial implements wick.GatewayIO.
func (s *IO) Dial(to wick.Address) { s.hub.Dial(s.ctx, to) }
