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
	// Address is where the service listens; port 0 picks a free port.
	Address wick.Address `json:"Address"`
	// Time is how long a call takes.
	Time wick.Duration `json:"Time,omitempty"`
}

// ServiceControl sets faults of a service. Fields that are not set change
// nothing.
type ServiceControl struct {
	// Time is how long a call takes.
	Time *wick.Duration `json:"Time,omitempty"`
	// LoseAnswers is how many of the next calls run but get their connection
	// reset instead of an answer.
	LoseAnswers *int `json:"LoseAnswers,omitempty"`
	// CrashAfter crashes the service for DownFor after the next call has run,
	// before it is answered.
	CrashAfter bool `json:"CrashAfter,omitempty"`
	// CrashNow crashes the service for DownFor immediately.
	CrashNow bool          `json:"CrashNow,omitempty"`
	DownFor  wick.Duration `json:"DownFor,omitempty"`
	// Silence makes all open connections permanently silent.
	Silence bool `json:"Silence,omitempty"`
}

// ServiceStats holds the counters of a service.
type ServiceStats struct {
	// Runs counts the calls that ran, and RunsOf counts them by key.
	Runs   int                   `json:"Runs"`
	RunsOf map[wick.ClaimKey]int `json:"RunsOf"`
	// Most is the largest count of RunsOf.
	Most int `json:"Most"`
}

// ServiceReply is the body of a service's answer.
type ServiceReply struct {
	Path string        `json:"Path"`
	Key  wick.ClaimKey `json:"Key,omitempty"`
	// Run is how often calls with the key ran, this one included.
	Run int `json:"Run"`
	// Bytes is the length of the call's body.
	Bytes wick.Bytes `json:"Bytes"`
}

// Service is a fake of a plain service. It accepts any POST and counts the
// calls; it doesn't deduplicate calls with the same key.
type Service struct {
	server *server

	mu          sync.Mutex
	time        time.Duration
	loseAnswers int
	crash       bool
	downFor     time.Duration
	stats       ServiceStats
}

// StartService starts a service.
func StartService(cfg ServiceConfig) (*Service, error) {
	s := &Service{time: cfg.Time.Std()}
	s.stats.RunsOf = map[wick.ClaimKey]int{}
	s.server = newServer(s.handle)
	if err := s.server.open(cfg.Address); err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	return s, nil
}

// Address returns where the service listens.
func (s *Service) Address() wick.Address { return s.server.Address() }

// Close stops the service.
func (s *Service) Close() error { return s.server.Close() }

// Stats returns a copy of the service's counters.
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
		s.loseAnswers = *c.LoseAnswers
	}
	if c.DownFor > 0 {
		s.downFor = c.DownFor.Std()
	}
	s.crash = s.crash || c.CrashAfter
	if c.Silence {
		s.server.silence()
	}
	if c.CrashNow {
		s.server.crash(s.downFor)
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

// run counts a call, and reports whether its answer must be lost.
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
		s.server.crash(s.downFor)
		return run, true
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return run, true
	}
	return run, false
}
