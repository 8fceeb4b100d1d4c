// Package claim decides which try of a command may be dispatched. A command
// that must run at most once carries a key. A daemon dispatches it only after
// it has read back from the platform's log that its claim was the first live
// one on the key. All daemons replay the same records, and judge alike.
package claim

import (
	"cmp"
	"time"

	"currantwick"
)

// Defaults of Config.
const (
	DefaultLife       = 10 * time.Minute
	DefaultPatience   = 2 * time.Second
	DefaultBatch      = 50 * time.Millisecond
	DefaultCheckpoint = 10 * time.Minute
	DefaultSteps      = 500
	DefaultLimit      = 20_000
)

const (
	// resendAfter is how long a step may take to be read back before it is
	// appended again.
	resendAfter = time.Second
	// forgetAfter is for how many times between two checkpoints none may come
	// before the past counts as forgotten.
	forgetAfter = 3
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = time.Second
)

// Config sets up a Book. Values of 0 mean the defaults.
type Config struct {
	Self        wick.HostName
	Incarnation wick.Incarnation
	// Life is how long a key stays taken. It is many times Patience.
	Life time.Duration
	// Patience is how long a command waits for its claim.
	Patience time.Duration
	// Batch is the least time between two appends of claims.
	Batch time.Duration
	// Checkpoint is the time between checkpoints, by the platform's clock: a
	// small fraction of the log's retention, and DefaultCheckpoint at most.
	Checkpoint time.Duration
	// Steps bounds the steps in one record, and Limit the commands that wait.
	Steps, Limit int
}

func (c Config) withDefaults() Config {
	c.Life = cmp.Or(c.Life, DefaultLife)
	c.Patience = cmp.Or(c.Patience, DefaultPatience)
	c.Batch = cmp.Or(c.Batch, DefaultBatch)
	c.Checkpoint = min(cmp.Or(c.Checkpoint, DefaultCheckpoint), DefaultCheckpoint)
	c.Steps = cmp.Or(c.Steps, DefaultSteps)
	c.Limit = cmp.Or(c.Limit, DefaultLimit)
	return c
}

// Action is what the control thread has to do for a Book: Append, Granted or
// Refused.
type Action interface{ isAction() }

// Append asks to append a record to wick.ClaimStream. A failure goes to
// OnAppendFailed; success shows when the record is read back.
type Append struct{ Record wick.Record }

// Granted tells that the command may be dispatched, once, before Until. If it
// is not, Release must be called.
type Granted struct {
	Key     wick.ClaimKey
	Request wick.RequestID
	Until   wick.Instant
}

// Refused tells that this try must not be dispatched.
type Refused struct {
	Key     wick.ClaimKey
	Request wick.RequestID
	Err     *wick.Error
}

// Released tells that the release of a granted claim stands on the log, so that
// another try may have the key.
type Released struct {
	Key     wick.ClaimKey
	Request wick.RequestID
}

func (Append) isAction()   {}
func (Granted) isAction()  {}
func (Refused) isAction()  {}
func (Released) isAction() {}

// try names one try of a command.
type try struct {
	key     wick.ClaimKey
	request wick.RequestID
}

func tryOf(c wick.Claim) try { return try{c.Key, c.Request} }

// phase is how far a try of this daemon has come.
type phase int

const (
	waiting   phase = iota // Taken is to be appended and read back
	granted                // the log granted it; it may be dispatched
	releasing              // Released is to be read back
	answered               // Answered is to be read back
)

// timed is a try and when it was wanted, or its step sent.
type timed struct {
	try try
	at  wick.Instant
}

// own is a try of this daemon.
type own struct {
	claim wick.Claim
	phase phase
	// since is when the try was wanted.
	since wick.Instant
	// sent is when the step was last appended, if it is inFlight still.
	sent     wick.Instant
	inFlight bool
}

// pending reports whether a step of the try has to get onto the log.
func (o *own) pending() bool { return o.phase != granted }

// Book decides for one daemon. It is used by one goroutine.
type Book struct {
	cfg    Config
	ledger ledger
	tries  map[try]*own
	// queue holds the tries with a step to append, in order; entries whose
	// step is not pending any more are skipped.
	queue []try
	// waits and flights hold the tries that wait for their claims and those
	// with a step in flight, in the order of time; outdated ones are skipped.
	waits, flights []timed
	// flushAt is the instant before which nothing is appended.
	flushAt wick.Instant
	backoff time.Duration
	// writer tells that this daemon writes checkpoints, stamped before when
	// it does not do so again.
	writer  bool
	stamped wick.Instant
	last    wick.Instant
}

// New returns a Book that knows no claims yet.
func New(cfg Config) *Book {
	return &Book{cfg: cfg.withDefaults(), ledger: newLedger(), tries: make(map[try]*own)}
}

// Offset returns the first offset of the claim stream that is still to be read.
func (b *Book) Offset() wick.Offset { return b.ledger.next() }

// Waiting counts the tries that wait for their claims.
func (b *Book) Waiting() int { return len(b.queue) }

// SetWriter tells whether this daemon writes the checkpoints. One daemon
// should; several do no harm.
func (b *Book) SetWriter(on bool) { b.writer = on }

// Want asks to claim a key; Key, Request and Print of c are used. The answer is
// Granted or Refused, at once or later. Each try has a Request of its own.
func (b *Book) Want(now wick.Instant, c wick.Claim) []Action {
	c.Step, c.Holder, c.Incarnation = wick.ClaimTaken, b.cfg.Self, b.cfg.Incarnation
	c.At, c.Life = 0, wick.Duration(b.cfg.Life)
	t := tryOf(c)
	if b.tries[t] != nil {
		return refuse(t, wick.Unknownf(wick.CodeClaimed, "this try was made before"))
	}
	if len(b.tries) >= b.cfg.Limit {
		return refuse(t, claimsDown(b.cfg.Patience))
	}
	if e, ok := b.ledger.live(c.Key, b.ledger.guess(now)); ok && final(e.claim, c) {
		return refuse(t, refusal(e.claim, c))
	}
	b.tries[t] = &own{claim: c, since: now}
	b.queue = append(b.queue, t)
	b.waits = append(b.waits, timed{t, now})
	return b.flush(now)
}

// Release gives up a try that was not dispatched, and never will be.
func (b *Book) Release(now wick.Instant, key wick.ClaimKey, request wick.RequestID) []Action {
	t := try{key, request}
	o := b.tries[t]
	switch {
	case o == nil:
		return nil
	case o.phase == waiting:
		delete(b.tries, t) // If its step comes up on the log, see unwanted.
		return nil
	case o.phase == granted:
		return b.turn(now, t, releasing, wick.ClaimReleased)
	}
	return nil
}

// Answered notes that a granted try was dispatched and answered.
func (b *Book) Answered(now wick.Instant, key wick.ClaimKey, request wick.RequestID) []Action {
	t := try{key, request}
	if o := b.tries[t]; o == nil || o.phase != granted {
		return nil
	}
	return b.turn(now, t, answered, wick.ClaimAnswered)
}

// Lost notes that a granted try was dispatched and will not be answered. Its
// key stays taken for its life.
func (b *Book) Lost(key wick.ClaimKey, request wick.RequestID) {
	if o := b.tries[try{key, request}]; o != nil && o.phase == granted {
		delete(b.tries, try{key, request})
	}
}

// turn moves a try on to a phase whose step has to get onto the log.
func (b *Book) turn(now wick.Instant, t try, p phase, step wick.ClaimStep) []Action {
	o := b.tries[t]
	o.phase, o.claim.Step, o.inFlight = p, step, false
	b.queue = append(b.queue, t)
	return b.flush(now)
}

// OnEntry takes an entry of wick.ClaimStream. Entries come in the order of
// their offsets; ones that were seen before are ignored.
func (b *Book) OnEntry(now wick.Instant, e wick.Entry) []Action {
	b.backoff = 0
	return b.concludeAll(now, b.ledger.read(now, e))
}

func (b *Book) concludeAll(now wick.Instant, verdicts []verdict) []Action {
	var acts []Action
	for _, v := range verdicts {
		if v.claim.Holder == b.cfg.Self && v.claim.Incarnation == b.cfg.Incarnation {
			acts = append(acts, b.conclude(now, v)...)
		}
	}
	return acts
}

// conclude draws the conclusion from what the log says of an own step.
func (b *Book) conclude(now wick.Instant, v verdict) []Action {
	t := tryOf(v.claim)
	o := b.tries[t]
	if v.claim.Step != wick.ClaimTaken {
		if o == nil || o.claim.Step != v.claim.Step {
			return nil
		}
		delete(b.tries, t)
		if v.claim.Step == wick.ClaimReleased {
			return []Action{Released{t.key, t.request}}
		}
		return nil
	}
	switch {
	case !v.holds && o != nil && o.phase == waiting:
		delete(b.tries, t)
		return refuse(t, refusal(v.other, v.claim))
	case !v.holds || o == nil && !v.fresh:
		return nil
	case o == nil:
		return b.unwanted(now, v.claim)
	case o.phase != waiting:
		return nil
	case now.Sub(o.since) >= b.cfg.Patience:
		delete(b.tries, t)
		return append(refuse(t, claimsDown(b.cfg.Patience)), b.unwanted(now, v.claim)...)
	}
	o.phase = granted
	return []Action{Granted{t.key, t.request, o.since.Add(b.cfg.Life / 2)}}
}

// unwanted releases a claim that came up on the log after its try was refused
// or given up, or came up twice.
func (b *Book) unwanted(now wick.Instant, c wick.Claim) []Action {
	t := tryOf(c)
	b.tries[t] = &own{claim: c, since: now}
	return b.turn(now, t, releasing, wick.ClaimReleased)
}

// OnAppendFailed notes that the log did not say that it took a record. The
// record may stand all the same, and appending its steps again does no harm.
func (b *Book) OnAppendFailed(now wick.Instant, rec wick.Record) []Action {
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	b.flushAt = max(b.flushAt, now.Add(b.backoff))
	if rec.Claims == nil {
		b.stamped = 0
		return nil
	}
	for _, c := range rec.Claims.Steps {
		t := tryOf(c)
		if o := b.tries[t]; o != nil && o.claim.Step == c.Step && o.inFlight {
			o.inFlight = false
			b.queue = append(b.queue, t)
		}
	}
	return nil
}

// Tick does what time asks for.
func (b *Book) Tick(now wick.Instant) []Action {
	b.last = now
	acts := b.giveUp(now)
	acts = append(acts, b.concludeAll(now, b.ledger.restart(now, forgetAfter*b.cfg.Checkpoint))...)
	b.resend(now)
	acts = append(acts, b.flush(now)...)
	return append(acts, b.checkpoint(now)...)
}

// giveUp refuses the tries that have waited for too long.
func (b *Book) giveUp(now wick.Instant) []Action {
	var acts []Action
	for len(b.waits) > 0 && now.Sub(b.waits[0].at) >= b.cfg.Patience {
		w := b.waits[0]
		b.waits = b.waits[1:]
		if o := b.tries[w.try]; o != nil && o.phase == waiting && o.since == w.at {
			delete(b.tries, w.try)
			acts = append(acts, refuse(w.try, claimsDown(b.cfg.Patience))...)
		}
	}
	return acts
}

// resend queues the steps again that were not read back in time.
func (b *Book) resend(now wick.Instant) {
	for len(b.flights) > 0 && now.Sub(b.flights[0].at) >= resendAfter {
		f := b.flights[0]
		b.flights = b.flights[1:]
		o := b.tries[f.try]
		if o == nil || !o.inFlight || o.sent != f.at {
			continue
		}
		if now.Sub(o.since) >= b.cfg.Life {
			delete(b.tries, f.try) // The claim has expired, so nobody minds.
			continue
		}
		o.inFlight = false
		b.queue = append(b.queue, f.try)
	}
}

// Next returns when Tick wants to run next at the latest.
func (b *Book) Next() wick.Instant {
	at := b.last.Add(resendAfter)
	if len(b.queue) > 0 {
		at = min(at, b.flushAt)
	}
	if len(b.waits) > 0 {
		at = min(at, b.waits[0].at.Add(b.cfg.Patience))
	}
	if len(b.flights) > 0 {
		at = min(at, b.flights[0].at.Add(resendAfter))
	}
	return max(at, b.last.Add(time.Millisecond))
}

// flush appends the queued steps, if the last append is long enough ago.
func (b *Book) flush(now wick.Instant) []Action {
	if now < b.flushAt {
		return nil
	}
	var steps []wick.Claim
	for len(b.queue) > 0 && len(steps) < b.cfg.Steps {
		o := b.tries[b.queue[0]]
		b.queue = b.queue[1:]
		if o == nil || !o.pending() || o.inFlight {
			continue
		}
		o.sent, o.inFlight = now, true
		b.flights = append(b.flights, timed{tryOf(o.claim), now})
		steps = append(steps, o.claim)
	}
	if len(steps) == 0 {
		return nil
	}
	b.flushAt = now.Add(b.cfg.Batch)
	return []Action{Append{wick.Record{Claims: &wick.Claims{Steps: steps}}}}
}

// checkpoint appends all live claims when the newest checkpoint is old.
func (b *Book) checkpoint(now wick.Instant) []Action {
	if !b.writer || now < b.stamped || b.ledger.age(now) < b.cfg.Checkpoint {
		return nil
	}
	b.stamped = now.Add(resendAfter)
	var acts []Action
	for _, part := range b.ledger.parts(b.cfg) {
		acts = append(acts, Append{wick.Record{ClaimState: &part}})
	}
	return acts
}

func refuse(t try, err *wick.Error) []Action {
	return []Action{Refused{t.key, t.request, err}}
}

func claimsDown(again time.Duration) *wick.Error {
	err := wick.NotRunf(wick.CodeClaimsDown, "no claim could be had on the log in time")
	err.RetryAfter = wick.Duration(again)
	return err
}

// final reports whether a claim refuses c at once. One that is only taken by the
// same command may be released by a record not read here yet, so that the log
// has to judge.
func final(held, c wick.Claim) bool {
	return held.Step == wick.ClaimAnswered || held.Print != c.Print
}

// refusal says what became of the command whose key is held by another try.
func refusal(held, c wick.Claim) *wick.Error {
	switch {
	case held.Print != c.Print:
		return wick.NotRunf(wick.CodeClaimed, "the key belongs to another command")
	case held.Step == wick.ClaimAnswered:
		return &wick.Error{
			Outcome: wick.Answered, Code: wick.CodeClaimed, Text: "an earlier try was answered",
		}
	}
	return wick.Unknownf(wick.CodeClaimed, "an earlier try holds the key")
}
