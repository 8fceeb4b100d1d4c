// Package direct forwards requests from callers directly to endpoints. It reads
// the control thread's view, picks an endpoint, waits for the adapter to load
// if necessary, and passes the response back. A request that must not run twice
// is retried only if nothing was sent or the endpoint stated that it did not run
// the request.
package direct

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"currantwick"
	"currantwick/coord"
)

const (
	// entriesTTL is how long callers may cache the list of entry addresses.
	// Some cache it three times as long, which must end well before a stopping
	// daemon is killed.
	entriesTTL = 2 * time.Second
	// defaultTimeLeft is the deadline of a request whose caller gives none; its
	// route's timeout bounds it further.
	defaultTimeLeft = time.Minute
	// unreadyRetryAfter is the minimum Retry-After of a daemon that has no
	// configuration yet: it can't estimate when it will receive one.
	unreadyRetryAfter = 300 * time.Millisecond
)

// Control gives request handling access to the control thread.
type Control interface {
	View() *coord.View
	RequestAdapter(w wick.AdapterRequest)
	ReportCachedPrefix(k wick.CachedPrefix)
	ReportBroken(b wick.BrokenAttempt)
	// ReportLeaving reports an endpoint that said that it is about to end.
	ReportLeaving(id wick.EndpointStart)
	// ReportAnswered reports suspects in a request whose answer an endpoint began.
	ReportAnswered(suspects []wick.Fingerprint)
	// RequestTrial requests a trial, and EndTrial gives it up.
	RequestTrial(r wick.TrialRequest)
	EndTrial(id wick.TrialID)
}

// Config sets up a Server.
type Config struct {
	Host    wick.HostName
	Domain  wick.Domain
	Bounds  wick.Bounds
	Control Control
	Sender  wick.Sender
	// Clock is the clock that the view's instants were read from.
	Clock    wick.Clock
	Retry    wick.SharedBudget
	Log      *slog.Logger
	Observer wick.GatewayObserver
	Pauses   wick.EndpointPauses
	// AnsweredParts records the parts of prompts that were answered.
	AnsweredParts wick.AnsweredParts
	// Hedgers are the hedgers of the routes; nil if no request is hedged.
	Hedgers wick.Hedgers

	// Shares are the units of teams; used only for teams with a limit.
	Shares wick.TeamShares

	// Answers is the budget for what is buffered of answers; nil if it has no bound.
	Answers wick.MemoryBudget
}

// Server implements wick.Gateway.
type Server struct {
	cfg             Config
	prefillRates    prefillRates
	versionRequests versionRequests
	gates           poolGates
}

var _ wick.Gateway = (*Server)(nil)

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Ready implements wick.Gateway.
func (s *Server) Ready() bool { return s.cfg.Control.View().Ready }

// Limits implements wick.Gateway.
func (s *Server) Limits() wick.CallerLimits {
	if config := s.cfg.Control.View().ServingConfig; config != nil {
		return config.Limits
	}
	return wick.CallerLimits{}
}

// maxEntries bounds the addresses in one response.
const maxEntries = 64

// EntryPoints implements wick.Gateway. Daemons of the caller's failure domain come
// first.
func (s *Server) EntryPoints(near wick.Domain) wick.EntryList {
	v := s.cfg.Control.View()
	list := make([]wick.EntryPoint, 0, len(v.Entries))
	for _, e := range v.Entries {
		if e.Domain == near {
			list = append(list, e)
		}
	}
	for _, e := range v.Entries {
		if e.Domain != near {
			list = append(list, e)
		}
	}
	list = list[:min(len(list), maxEntries)]
	return wick.EntryList{Entries: list, Keep: min(wick.Duration(entriesTTL), s.cfg.Bounds.EntriesTTL)}
}

// Forward implements wick.Gateway.
func (s *Server) Forward(ctx context.Context, x *wick.Exchange, to wick.ResponseWriter) error {
	t := &task{server: s, exchange: x, writer: to, start: s.cfg.Clock.Now()}
	err := t.prepare(ctx)
	if err == nil {
		err = t.run(ctx)
	}
	t.giveUnits()
	t.report(err)
	return err
}

// prepare resolves the route, sets the deadline, takes the units of the team's
// allotment, draws the pool, and counts the request in the retry budget.
func (t *task) prepare(ctx context.Context) error {
	s, x := t.server, t.exchange
	v := s.cfg.Control.View()
	if v.ServingConfig == nil {
		e := wick.NotRunf(wick.CodeStale, "no configuration is known yet")
		e.RetryAfter = wick.Duration(max(unreadyRetryAfter, time.Duration(float64(x.TimeLeft)*retryAfterPart)))
		return e
	}
	t.configVersion = v.ServingConfig.Version
	route, ok := v.Routes.Find(x.Host, x.Path)
	if !ok {
		return wick.NotRunf(wick.CodeNoRoute, "no route for %s%s in configuration %d", x.Host, x.Path, v.ServingConfig.Version)
	}
	t.route = route
	t.deadline = t.start.Add(min(t.callerTimeLeft(), route.Timeout.Std()))
	if err := t.identify(v, t.start); err != nil {
		return err
	}
	if err := t.takeUnits(ctx); err != nil {
		return err
	}
	t.pool = drawPool(route.Split)
	t.weights = wick.Weights{Model: x.Model, Adapter: x.Adapter}
	t.fingerprint, t.parts = fingerprintOf(x), partFingerprints(x.Parts)
	t.sharedPrefixes = sharedPrefixes(t.weights, x.Parts)
	t.avoid = make(map[wick.EndpointName]bool)
	s.cfg.Retry.Earn(v.Daemons)
	if e := v.ServingConfig.Pools[t.pool].Engine; e != nil && e.CacheTokens > 0 && x.PromptTokens > e.CacheTokens {
		return t.refuse(wick.CodeNoEndpoint, "prompt of %d tokens exceeds the %d that an endpoint of %s holds", x.PromptTokens, e.CacheTokens, t.pool)
	}
	return nil
}

// callerTimeLeft returns how long the caller waits.
func (t *task) callerTimeLeft() time.Duration {
	if t.exchange.TimeLeft <= 0 {
		return defaultTimeLeft
	}
	return t.exchange.TimeLeft.Std()
}

// drawPool picks a pool at random, in proportion to the weights.
func drawPool(split []wick.PoolShare) wick.PoolName {
	sum := 0.0
	for _, v := range split {
		sum += v.Weight
	}
	at := rand.Float64() * sum
	for _, v := range split {
		if at -= v.Weight; at < 0 {
			return v.Pool
		}
	}
	return split[0].Pool
}
