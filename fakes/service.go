package fakes

import (
	"fmt"
	"sync"
	"time"

	"currantwick"
	"currantwick/pause"

	"github.com/valyala/fasthttp"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// Address is where the service listens; port 0 picks one.
	Address wick.Address `json:"Address"`
	// Time is how long a call takes.
	Time wick.Duration `json:"Time,omitempty"`
}

// ServiceControl sets faults of a service. Fields that are not set change
// nothing.
type ServiceControl struct {
	// Time is how long a call takes.
	Time *wick.Duration `json:"Time,omitempty"`
	// LoseAnswers resets the connections of the next calls after they ran.
	LoseAnswers *int `json:"LoseAnswers,omitempty"`
	// CrashAfter crashes the service for DownFor after the next call ran,
	// before it is answered.
	CrashAfter bool `json:"CrashAfter,omitempty"`
	// CrashNow crashes it at once.
	CrashNow bool          `json:"CrashNow,omitempty"`
	DownFor  wick.Duration `json:"DownFor,omitempty"`
	// Silence makes all open connections silent for good.
	Silence bool `json:"Silence,omitempty"`
}

// ServiceStats is what a service has seen.
type ServiceStats struct {
	// Runs counts the calls that ran, and RunsOf those for each key.
	Runs   int                   `json:"Runs"`
	RunsOf map[wick.ClaimKey]int `json:"RunsOf"`
	// Most is the largest count of RunsOf.
	Most int `json:"Most"`
}

// ServiceReply is the body of a service's answer.
type ServiceReply struct {
	Path string        `json:"Path"`
	Key  wick.ClaimKey `json:"Key,omitempty"`
	// Run is how often the service ran the key, this call included.
	Run int `json:"Run"`
	// Bytes is the length of the call's body.
	Bytes wick.Bytes `json:"Bytes"`
}

// Service is a stand-in for a plain service. It takes any POST and counts what
// it ran; it doesn't join calls with the same key.
type Service struct {
	gate *gate

	mu    sync.Mutex
	time  time.Duration
	lose  int
	crash bool
	down  time.Duration
	stats ServiceStats
}

// StartService starts a service.
func StartService(cfg ServiceConfig) (*Service, error) {
	s := &Service{time: cfg.Time.Std()}
	s.stats.RunsOf = map[wick.ClaimKey]int{}
	s.gate = newGate(s.handle)
	if err := s.gate.open(cfg.Address); err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	return s, nil
}

// Address returns where the service listens.
func (s *Service) Address() wick.Address { return s.gate.Address() }

// Close stops the service.
func (s *Service) Close() error { return s.gate.Close() }

// Stats returns what the service has seen.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.RunsOf = copyCounts(out.RunsOf)
	return out
}

// Control sets faults.
func (s *Service) Control(c ServiceControl) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Time != nil {
		s.time = c.Time.Std()
	}
	if c.LoseAnswers != nil {
		s.lose = *c.LoseAnswers
	}
	if c.DownFor > 0 {
		s.down = c.DownFor.Std()
	}
	s.crash = s.crash || c.CrashAfter
	if c.Silence {
		s.gate.silence()
	}
	if c.CrashNow {
		s.gate.crash(s.down)
	}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/stats":
		reply(ctx, s.Stats())
		return
	case "/control":
		var c ServiceControl
		if decodeControl(ctx, &c) {
			s.Control(c)
		}
		return
	}
	if !ctx.IsPost() {
		refuse(ctx, fasthttp.StatusMethodNotAllowed, "only POST is served")
		return
	}
	s.call(ctx)
}

func (s *Service) call(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	d := s.time
	s.mu.Unlock()
	if !pause.For(ctx, d) {
		return
	}
	key := wick.ClaimKey(ctx.Request.Header.Peek(headerKey))
	run, lost := s.run(key)
	if lost {
		connOf(ctx).drop()
		return
	}
	reply(ctx, ServiceReply{string(ctx.Path()), key, run, wick.Bytes(len(ctx.PostBody()))})
}

// run counts a call and reports whether its answer is to be lost.
func (s *Service) run(key wick.ClaimKey) (run int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Runs++
	if key != "" {
		s.stats.RunsOf[key]++
		run = s.stats.RunsOf[key]
		s.stats.Most = max(s.stats.Most, run)
	}
	if s.crash {
		s.crash = false
		s.gate.crash(s.down)
		return run, true
	}
	if s.lose > 0 {
		s.lose--
		return run, true
	}
	return run, false
}
