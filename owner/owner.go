// Package owner runs requests at the daemon that owns their endpoint: it submits
// each request to the control thread, waits for the decision, and relays the
// endpoint's answer. It runs on traffic goroutines.
package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"currantwick"
	"currantwick/ctrl"
	"currantwick/pause"
	"currantwick/sched"

	"golang.org/x/sync/errgroup"
)

const (
	// reportTimeout bounds the check whether an endpoint has crashed.
	reportTimeout = 500 * time.Millisecond
	// reportRetryPause is the pause after a report request whose connection
	// broke.
	reportRetryPause = 20 * time.Millisecond
	// releaseTimeout bounds the wait for the release of a claim, and
	// suspectsTimeout that for the daemons that are told of a crash.
	releaseTimeout  = time.Second
	suspectsTimeout = 300 * time.Millisecond
)

// Config sets up a Server.
type Config struct {
	Thread   *ctrl.Thread
	Clock    wick.Clock
	Engine   wick.Engine
	Services wick.Services
	// HeartbeatInterval is the interval at which a heartbeat is sent if no other
	// frame was sent in it, also while the request waits.
	HeartbeatInterval time.Duration
}

// Server implements the traffic part of wick.PeerServer.
type Server struct {
	cfg    Config
	active atomic.Int64
}

// New returns a Server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Active returns how many requests are being handled, including those that
// wait.
func (s *Server) Active() int64 { return s.active.Load() }

// HandleSubmit runs a request for an endpoint that this daemon owns.
func (s *Server) HandleSubmit(ctx context.Context, _ wick.HostName, sub wick.Submission, emit func(wick.Frame) error) error {
	s.active.Add(1)
	defer s.active.Add(-1)
	out := &frameSink{emit: emit, request: sub.Request}
	run, ctx := ctrl.NewRun(ctx, sub)
	defer run.Close()
	var heartbeats errgroup.Group
	done := make(chan struct{})
	heartbeats.Go(func() error {
		out.sendHeartbeats(s.cfg.HeartbeatInterval, done)
		return nil
	})
	err := s.run(ctx, run, out)
	close(done)
	_ = heartbeats.Wait()
	return err
}

// run waits for the decision on a request and carries it out.
func (s *Server) run(ctx context.Context, run *ctrl.Run, out *frameSink) error {
	s.cfg.Thread.Post(ctrl.Submitted{Run: run})
	d, err := s.decision(ctx, run)
	if err != nil {
		return err
	}
	if d.Fail != nil {
		s.awaitRetryable(ctx, run, d.Fail)
		return d.Fail
	}
	var res sched.Result
	switch {
	case ctx.Err() != nil:
		res.Err = wick.NotRunf(wick.CodeCanceled, "caller went away")
	case !d.MaySend(s.cfg.Clock.Now()):
		res.Err = wick.NotRunf(wick.CodeNotOwner, "the lease on %s has ended", d.Endpoint.Name)
	case run.Sub.Work != nil:
		res = s.generate(ctx, run, d.Endpoint, out)
	default:
		res = s.invoke(ctx, run, d.Endpoint, out)
	}
	if cause := run.Cause(); cause != nil && res.Err != nil {
		res.Err = cause
	}
	crashed := s.crashed(ctx, d, res.Err)
	if crashed {
		res.Err = wick.Unknownf(wick.CodeCrashed, "endpoint %s crashed", d.Endpoint.Name)
	}
	s.cfg.Thread.Post(ctrl.Finished{Run: run, Result: res, Crashed: crashed})
	if res.Err != nil {
		s.awaitRetryable(ctx, run, res.Err)
		return res.Err
	}
	return nil
}

// awaitRetryable waits, before an error is returned after which the caller may
// try again, until a retry finds the state that the failure left. For a NotRun
// error of a call that is not idempotent, that is the claim's release on the
// log, and the retry finds the key free. For a crash, it is the report to the
// other daemons, and the retry is treated as a suspect or stopped everywhere.
func (s *Server) awaitRetryable(ctx context.Context, run *ctrl.Run, fail *wick.Error) {
	call := run.Sub.Call
	var most time.Duration
	switch {
	case fail.Code == wick.CodeCrashed:
		most = suspectsTimeout
	case call != nil && call.NonIdempotent && fail.Outcome == wick.NotRun:
		most = releaseTimeout
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	select {
	case <-run.Retryable():
	case <-s.cfg.Thread.Done():
	case <-ctx.Done():
	}
}

// crashed reports whether the endpoint crashed while it ran a request whose
// connection broke: it can no longer be reached, or it reports a boot other
// than the one in the decision.
func (s *Server) crashed(ctx context.Context, d ctrl.Decision, fail *wick.Error) bool {
	if fail == nil || fail.Code != wick.CodeBroken || fail.Outcome != wick.Unknown || d.Boot == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for {
		rep, err := s.cfg.Engine.Report(ctx, d.Endpoint.Address)
		if err == nil {
			return rep.Boot != d.Boot
		}
		if wick.AsError(err).Outcome == wick.NotRun {
			return ctx.Err() == nil
		}
		// An engine that is going down may break off the report request, too.
		if !pause.For(ctx, reportRetryPause) {
			return false
		}
	}
}

// decision waits for the decision of the control thread. If the caller
// disconnects meanwhile, this is posted to the control thread, which then
// decides.
func (s *Server) decision(ctx context.Context, run *ctrl.Run) (ctrl.Decision, error) {
	select {
	case d := <-run.Decided():
		return d, nil
	case <-ctx.Done():
		s.cfg.Thread.Post(ctrl.Canceled{Run: run})
	case <-s.cfg.Thread.Done():
	}
	select {
	case d := <-run.Decided():
		return d, nil
	case <-s.cfg.Thread.Done():
		return ctrl.Decision{}, wick.NotRunf(wick.CodeStopping, "the owner has stopped")
	}
}

// generate runs a completion and reports its progress to the control thread.
func (s *Server) generate(ctx context.Context, run *ctrl.Run, end wick.Endpoint, out *frameSink) sched.Result {
	job := wick.Job{
		Request:  run.Sub.Request,
		Endpoint: end.Name,
		Level:    run.Sub.Level,
		Work:     *run.Sub.Work,
	}
	var res sched.Result
	meter := progress{thread: s.cfg.Thread, run: run}
	err := s.cfg.Engine.Generate(ctx, end.Address, job, func(f wick.Frame) error {
		if f.Kind == wick.FrameText {
			res.Tokens += f.Count
			meter.add(f.Count, s.cfg.Clock.Now())
		}
		return out.send(f)
	})
	meter.flush()
	if err != nil {
		res.Err = wick.AsError(err)
	}
	return res
}

// progress reports a run's tokens to the control thread: the first ones at once,
// later ones in groups, to limit the load on the thread.
type progress struct {
	thread *ctrl.Thread
	run    *ctrl.Run
	// pending counts the tokens that were not reported yet.
	pending    wick.Tokens
	reportedAt wick.Instant
	started    bool
}

const (
	// progressTokens and progressEvery bound what is not reported yet.
	progressTokens wick.Tokens = 16
	progressEvery              = 250 * time.Millisecond
)

func (p *progress) add(n wick.Tokens, now wick.Instant) {
	p.pending += n
	if p.started && p.pending < progressTokens && now.Sub(p.reportedAt) < progressEvery {
		return
	}
	p.started, p.reportedAt = true, now
	p.flush()
}

func (p *progress) flush() {
	if p.pending > 0 {
		p.thread.Post(ctrl.Progressed{Run: p.run, Tokens: p.pending})
	}
	p.pending = 0
}

// invoke calls a plain service, once.
func (s *Server) invoke(ctx context.Context, run *ctrl.Run, end wick.Endpoint, out *frameSink) sched.Result {
	reply, err := s.cfg.Services.Invoke(ctx, end.Address, run.Sub.Request, *run.Sub.Call)
	if err != nil {
		return sched.Result{Err: wick.AsError(err)}
	}
	// The call was answered even if the daemon that received the request is
	// gone; that daemon sees a broken stream.
	_ = out.send(wick.Frame{
		Request: run.Sub.Request,
		Kind:    wick.FrameEnd,
		Status:  reply.Status,
		Body:    reply.Body,
		Ran:     &wick.Ran{Endpoint: end.Name},
	})
	return sched.Result{}
}

// frameSink relays frames, and sends heartbeats between them.
type frameSink struct {
	request wick.RequestID
	mu      sync.Mutex
	emit    func(wick.Frame) error
	// sentSinceHeartbeat is set when a frame was sent since the last tick of
	// the heartbeat timer.
	sentSinceHeartbeat bool
}

func (o *frameSink) send(f wick.Frame) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sentSinceHeartbeat = true
	if err := o.emit(f); err != nil {
		return fmt.Errorf("relay frame: %w", err)
	}
	return nil
}

// sendHeartbeats sends a heartbeat whenever no frame was sent for a while,
// until done is closed.
func (o *frameSink) sendHeartbeats(every time.Duration, done <-chan struct{}) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			o.sendHeartbeat()
		}
	}
}

func (o *frameSink) sendHeartbeat() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.sentSinceHeartbeat {
		// A failure shows when the next frame is sent.
		_ = o.emit(wick.Frame{Request: o.request, Kind: wick.FrameHeartbeat})
	}
	o.sentSinceHeartbeat = false
}
