// Package claim decides which attempt of a command may be dispatched. A command
// that must run at most once carries a key. A daemon dispatches it only after
// it has read back from the platform's log that its claim was the first live
// one on the key. All daemons replay the same records and reach the same
// decisions.
package claim

import (
	"cmp"
	"time"

	"currantwick"
)

// Defaults of Config.
const (
	DefaultLife        = 10 * time.Minute
	DefaultTimeout     = 2 * time.Second
	DefaultBatch       = 50 * time.Millisecond
	DefaultCheckpoint  = 10 * time.Minute
	DefaultMaxSteps    = 500
	DefaultMaxAttempts = 20_000
)

const (
	// resendAfter is how long a step may take to be read back before it is
	// appended again.
	resendAfter = time.Second
	// forgetAfter is the number of checkpoint intervals after which a daemon that
	// has found no checkpoint starts from the oldest entry: a daemon that still
	// knew the entries before it would have written a checkpoint.
	forgetAfter = 3
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = time.Second
)

// Config configures a Tracker. Zero values mean the defaults.
type Config struct {
	Self        wick.HostName
	Incarnation wick.Incarnation
	// Life is how long a key stays taken. It must be many times Timeout, since a
	// granted command may be dispatched until half of Life has passed.
	Life time.Duration
	// Timeout is how long a command waits for its claim.
	Timeout time.Duration
	// Batch is the minimum time between two appends of claims.
	Batch time.Duration
	// Checkpoint is the time between checkpoints, by the platform's clock: a
	// small fraction of the log's retention, and at most DefaultCheckpoint.
	Checkpoint time.Duration
	// MaxSteps bounds the steps in one record, and MaxAttempts the open
	// attempts.
	MaxSteps, MaxAttempts int
}

func (c Config) withDefaults() Config {
	c.Life = cmp.Or(c.Life, DefaultLife)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Batch = cmp.Or(c.Batch, DefaultBatch)
	c.Checkpoint = min(cmp.Or(c.Checkpoint, DefaultCheckpoint), DefaultCheckpoint)
	c.MaxSteps = cmp.Or(c.MaxSteps, DefaultMaxSteps)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	return c
}

// Action is what the control thread has to do for a Tracker: Append, Granted,
// Refused or Released.
type Action interface{ isAction() }

// Append asks to append a record to wick.ClaimStream. A failure is reported to
// OnAppendFailed; success is known once the record is read back.
type Append struct{ Record wick.Record }

// Granted reports that the command may be dispatched, once, before Until. If it
// is not dispatched, Release must be called.
type Granted struct {
	Key     wick.ClaimKey
	Request wick.RequestID
	Until   wick.Instant
}

// Refused reports that the attempt must not be dispatched.
type Refused struct {
	Key     wick.ClaimKey
	Request wick.RequestID
	Err     *wick.Error
}

// Released reports that the release of a granted claim is on the log, so that
// another attempt may take the key.
type Released struct {
	Key     wick.ClaimKey
	Request wick.RequestID
}

func (Append) isAction()   {}
func (Granted) isAction()  {}
func (Refused) isAction()  {}
func (Released) isAction() {}

// attemptID identifies one attempt of a command.
type attemptID struct {
	key     wick.ClaimKey
	request wick.RequestID
}

func attemptIDOf(c wick.Claim) attemptID { return attemptID{c.Key, c.Request} }

// phase is the progress of one of this daemon's attempts.
type phase int

const (
	waiting   phase = iota // step Taken has not been read back
	granted                // the claim holds its key; the command may be dispatched
	releasing              // step Released has not been read back
	answered               // step Answered has not been read back
)

// timedAttempt is an attempt and when it was made, or when its step was last
// appended.
type timedAttempt struct {
	attemptID attemptID
	at        wick.Instant
}

// attempt is one of this daemon's attempts.
type attempt struct {
	claim wick.Claim
	phase phase
	// since is when the attempt was made.
	since wick.Instant
	// sent is when the step was last appended; inFlight is set while it has not
	// been read back and its append has not failed.
	sent     wick.Instant
	inFlight bool
}

// pending reports whether the attempt's step has yet to be appended or read back.
func (a *attempt) pending() bool { return a.phase != granted }

// Tracker decides about the attempts of one daemon. It is used by one goroutine.
type Tracker struct {
	cfg      Config
	ledger   ledger
	attempts map[attemptID]*attempt
	// queue holds the attempts with a step to append, in order; entries whose
	// step is no longer pending are skipped.
	queue []attemptID
	// waitQueue and flightQueue hold the attempts that wait for their claims
	// and those with a step in flight, in order of time; outdated entries are
	// skipped.
	waitQueue, flightQueue []timedAttempt
	// flushAt is the instant before which nothing is appended.
	flushAt wick.Instant
	backoff time.Duration
	// writer is set if this daemon writes checkpoints; it appends no other one
	// before nextCheckpoint.
	writer         bool
	nextCheckpoint wick.Instant
	lastTick       wick.Instant
}

// New returns a Tracker that knows no claims yet.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), ledger: newLedger(), attempts: make(map[attemptID]*attempt)}
}

// Offset returns the offset of the next entry to read from the claim stream.
func (b *Tracker) Offset() wick.Offset { return b.ledger.next() }

// Waiting returns the length of the queue of steps to append.
func (b *Tracker) Waiting() int { return len(b.queue) }

// SetWriter sets whether this daemon writes the checkpoints. One daemon should;
// several do no harm.
func (b *Tracker) SetWriter(on bool) { b.writer = on }

// Acquire starts an attempt to claim a key, using Key, Request and Fingerprint
// of c. The result is a Granted or Refused action, now or later. Each attempt
// has its own Request.
func (b *Tracker) Acquire(now wick.Instant, c wick.Claim) []Action {
	c.Step, c.Holder, c.Incarnation = wick.ClaimTaken, b.cfg.Self, b.cfg.Incarnation
	c.At, c.Life = 0, wick.Duration(b.cfg.Life)
	id := attemptIDOf(c)
	if b.attempts[id] != nil {
		return refuse(id, wick.Unknownf(wick.CodeClaimed, "this try was made before"))
	}
	if len(b.attempts) >= b.cfg.MaxAttempts {
		return refuse(id, claimsDown(b.cfg.Timeout))
	}
	if e, ok := b.ledger.live(c.Key, b.ledger.estimateTime(now)); ok && conclusive(e.claim, c) {
		return refuse(id, refusal(e.claim, c))
	}
	b.attempts[id] = &attempt{claim: c, since: now}
	b.queue = append(b.queue, id)
	b.waitQueue = append(b.waitQueue, timedAttempt{id, now})
	return b.flush(now)
}

// Release gives up an attempt whose command has not run and never will.
func (b *Tracker) Release(now wick.Instant, key wick.ClaimKey, request wick.RequestID) []Action {
	id := attemptID{key, request}
	a := b.attempts[id]
	switch {
	case a == nil:
		return nil
	case a.phase == waiting:
		delete(b.attempts, id) // If its step appears on the log, releaseUnwanted releases it.
		return nil
	case a.phase == granted:
		return b.advance(now, id, releasing, wick.ClaimReleased)
	}
	return nil
}

// MarkAnswered records that a granted attempt was dispatched and answered.
func (b *Tracker) MarkAnswered(now wick.Instant, key wick.ClaimKey, request wick.RequestID) []Action {
	id := attemptID{key, request}
	if a := b.attempts[id]; a == nil || a.phase != granted {
		return nil
	}
	return b.advance(now, id, answered, wick.ClaimAnswered)
}

// MarkLost records that a granted attempt was dispatched and failed, and that its
// command may have run. Its key stays taken for its life.
func (b *Tracker) MarkLost(key wick.ClaimKey, request wick.RequestID) {
	if a := b.attempts[attemptID{key, request}]; a != nil && a.phase == granted {
		delete(b.attempts, attemptID{key, request})
	}
}

// advance moves an attempt to a phase whose step has to be appended to the log.
func (b *Tracker) advance(now wick.Instant, id attemptID, p phase, step wick.ClaimStep) []Action {
	a := b.attempts[id]
	a.phase, a.claim.Step, a.inFlight = p, step, false
	b.queue = append(b.queue, id)
	return b.flush(now)
}

// OnEntry handles an entry of wick.ClaimStream. Entries come in the order of
// their offsets; entries that were seen before are ignored.
func (b *Tracker) OnEntry(now wick.Instant, e wick.Entry) []Action {
	b.backoff = 0
	return b.handleResults(now, b.ledger.read(now, e))
}

func (b *Tracker) handleResults(now wick.Instant, results []stepResult) []Action {
	var acts []Action
	for _, v := range results {
		if v.claim.Holder == b.cfg.Self && v.claim.Incarnation == b.cfg.Incarnation {
			acts = append(acts, b.handleResult(now, v)...)
		}
	}
	return acts
}

// handleResult handles the result of a step of one of this daemon's attempts.
func (b *Tracker) handleResult(now wick.Instant, v stepResult) []Action {
	id := attemptIDOf(v.claim)
	a := b.attempts[id]
	if v.claim.Step != wick.ClaimTaken {
		if a == nil || a.claim.Step != v.claim.Step {
			return nil
		}
		delete(b.attempts, id)
		if v.claim.Step == wick.ClaimReleased {
			return []Action{Released{id.key, id.request}}
		}
		return nil
	}
	switch {
	case !v.holds && a != nil && a.phase == waiting:
		delete(b.attempts, id)
		return refuse(id, refusal(v.holder, v.claim))
	case !v.holds || a == nil && !v.newlyTaken:
		return nil
	case a == nil:
		return b.releaseUnwanted(now, v.claim)
	case a.phase != waiting:
		return nil
	case now.Sub(a.since) >= b.cfg.Timeout:
		delete(b.attempts, id)
		return append(refuse(id, claimsDown(b.cfg.Timeout)), b.releaseUnwanted(now, v.claim)...)
	}
	a.phase = granted
	return []Action{Granted{id.key, id.request, a.since.Add(b.cfg.Life / 2)}}
}

// releaseUnwanted releases a claim that appeared on the log after its attempt
// was refused or given up, or whose step was appended twice and took the key
// again.
func (b *Tracker) releaseUnwanted(now wick.Instant, c wick.Claim) []Action {
	id := attemptIDOf(c)
	b.attempts[id] = &attempt{claim: c, since: now}
	return b.advance(now, id, releasing, wick.ClaimReleased)
}

// OnAppendFailed records that the log did not confirm an append. The record may
// be on the log all the same; appending its steps again does no harm.
func (b *Tracker) OnAppendFailed(now wick.Instant, rec wick.Record) []Action {
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	b.flushAt = max(b.flushAt, now.Add(b.backoff))
	if rec.Claims == nil {
		b.nextCheckpoint = 0
		return nil
	}
	for _, c := range rec.Claims.Steps {
		id := attemptIDOf(c)
		if a := b.attempts[id]; a != nil && a.claim.Step == c.Step && a.inFlight {
			a.inFlight = false
			b.queue = append(b.queue, id)
		}
	}
	return nil
}

// Tick refuses attempts that have waited too long, appends the steps that are due
// or were not read back, and writes checkpoints.
func (b *Tracker) Tick(now wick.Instant) []Action {
	b.lastTick = now
	acts := b.expireWaiting(now)
	acts = append(acts, b.handleResults(now, b.ledger.restartFromOldest(now, forgetAfter*b.cfg.Checkpoint))...)
	b.resend(now)
	acts = append(acts, b.flush(now)...)
	return append(acts, b.checkpoint(now)...)
}

// expireWaiting refuses the attempts that have waited for too long.
func (b *Tracker) expireWaiting(now wick.Instant) []Action {
	var acts []Action
	for len(b.waitQueue) > 0 && now.Sub(b.waitQueue[0].at) >= b.cfg.Timeout {
		w := b.waitQueue[0]
		b.waitQueue = b.waitQueue[1:]
		if a := b.attempts[w.attemptID]; a != nil && a.phase == waiting && a.since == w.at {
			delete(b.attempts, w.attemptID)
			acts = append(acts, refuse(w.attemptID, claimsDown(b.cfg.Timeout))...)
		}
	}
	return acts
}

// resend queues the steps that were not read back in time.
func (b *Tracker) resend(now wick.Instant) {
	for len(b.flightQueue) > 0 && now.Sub(b.flightQueue[0].at) >= resendAfter {
		f := b.flightQueue[0]
		b.flightQueue = b.flightQueue[1:]
		a := b.attempts[f.attemptID]
		if a == nil || !a.inFlight || a.sent != f.at {
			continue
		}
		if now.Sub(a.since) >= b.cfg.Life {
			delete(b.attempts, f.attemptID) // The claim has expired, so its step has no effect.
			continue
		}
		a.inFlight = false
		b.queue = append(b.queue, f.attemptID)
	}
}

// NextTick returns when Tick must run at the latest.
func (b *Tracker) NextTick() wick.Instant {
	at := b.lastTick.Add(resendAfter)
	if len(b.queue) > 0 {
		at = min(at, b.flushAt)
	}
	if len(b.waitQueue) > 0 {
		at = min(at, b.waitQueue[0].at.Add(b.cfg.Timeout))
	}
	if len(b.flightQueue) > 0 {
		at = min(at, b.flightQueue[0].at.Add(resendAfter))
	}
	return max(at, b.lastTick.Add(time.Millisecond))
}

// flush appends the queued steps if Batch has passed since the last append.
func (b *Tracker) flush(now wick.Instant) []Action {
	if now < b.flushAt {
		return nil
	}
	var steps []wick.Claim
	for len(b.queue) > 0 && len(steps) < b.cfg.MaxSteps {
		a := b.attempts[b.queue[0]]
		b.queue = b.queue[1:]
		if a == nil || !a.pending() || a.inFlight {
			continue
		}
		a.sent, a.inFlight = now, true
		b.flightQueue = append(b.flightQueue, timedAttempt{attemptIDOf(a.claim), now})
		steps = append(steps, a.claim)
	}
	if len(steps) == 0 {
		return nil
	}
	b.flushAt = now.Add(b.cfg.Batch)
	return []Action{Append{wick.Record{Claims: &wick.Claims{Steps: steps}}}}
}

// checkpoint appends all live claims when the newest checkpoint is too old.
func (b *Tracker) checkpoint(now wick.Instant) []Action {
	if !b.writer || now < b.nextCheckpoint || b.ledger.checkpointAge(now) < b.cfg.Checkpoint {
		return nil
	}
	b.nextCheckpoint = now.Add(resendAfter)
	var acts []Action
	for _, part := range b.ledger.checkpointParts(b.cfg) {
		acts = append(acts, Append{wick.Record{ClaimState: &part}})
	}
	return acts
}

func refuse(id attemptID, err *wick.Error) []Action {
	return []Action{Refused{id.key, id.request, err}}
}

func claimsDown(again time.Duration) *wick.Error {
	err := wick.NotRunf(wick.CodeClaimsDown, "no claim could be had on the log in time")
	err.RetryAfter = wick.Duration(again)
	return err
}

// conclusive reports whether a held claim refuses c at once. A key that is only
// taken by the same command may have been released by a record not read yet, so
// the log has to decide.
func conclusive(held, c wick.Claim) bool {
	return held.Step == wick.ClaimAnswered || held.Fingerprint != c.Fingerprint
}

// refusal returns the error of an attempt whose key is held by another attempt.
func refusal(held, c wick.Claim) *wick.Error {
	switch {
	case held.Fingerprint != c.Fingerprint:
		return wick.NotRunf(wick.CodeClaimed, "the key belongs to another command")
	case held.Step == wick.ClaimAnswered:
		return &wick.Error{
			Outcome: wick.Answered, Code: wick.CodeClaimed, Text: "an earlier try was answered",
		}
	}
	return wick.Unknownf(wick.CodeClaimed, "an earlier try holds the key")
}
