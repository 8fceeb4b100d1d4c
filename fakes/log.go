package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"currantwick"
	"currantwick/pause"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// LogConfig configures a Log.
type LogConfig struct {
	// Address is where the log listens; port 0 picks a free port.
	Address wick.Address `json:"Address"`
	// AppendRate limits the appends per second; 0 for no limit.
	AppendRate wick.PerSecond `json:"AppendRate,omitempty"`
	// KeepCount is how many records a stream keeps; 0 for no limit.
	KeepCount int `json:"KeepCount,omitempty"`
	// KeepFor is how long a record is kept; 0 for no limit.
	KeepFor wick.Duration `json:"KeepFor,omitempty"`
	// MaxWait limits how long a reader waits; 30 s by default.
	MaxWait wick.Duration `json:"MaxWait,omitempty"`
}

// Limits of the log. The first two are defaults, used where the settings or a
// request name none; the others are fixed.
const (
	defaultMaxWait = 30 * time.Second
	defaultLimit   = 1000
	appendBurst    = 50
	maxAppendWait  = time.Second
	maxRecord      = 1 << 20 // bytes
)

// LogControl sets faults of a log. Fields that are not set change nothing.
type LogControl struct {
	// Down makes the log refuse every append and read.
	Down *bool `json:"Down,omitempty"`
	// Slow delays each append and read.
	Slow *wick.Duration `json:"Slow,omitempty"`
	// LoseAnswers is how many of the next appends are stored but get no
	// answer.
	LoseAnswers *int `json:"LoseAnswers,omitempty"`
	// Silence makes all open connections permanently silent.
	Silence bool `json:"Silence,omitempty"`
}

// LogStats holds the counters of a log.
type LogStats struct {
	Appends int `json:"Appends"`
	Reads   int `json:"Reads"`
	// Refused counts appends and reads during an outage or over the rate.
	Refused int `json:"Refused"`
	// Last is the newest offset of each stream.
	Last map[wick.StreamName]wick.Offset `json:"Last"`
}

// Appended is the answer to an append.
type Appended struct {
	Offset wick.Offset `json:"Offset"`
}

// Log is a fake of the platform's append-only log.
type Log struct {
	cfg    LogConfig
	server *server
	limit  *rate.Limiter

	mu          sync.Mutex
	streams     map[wick.StreamName]*logStream
	down        bool
	slow        time.Duration
	loseAnswers int
	stats       LogStats
}

// logEntry is an entry of a stream; the log doesn't decode its record.
type logEntry struct {
	Offset wick.Offset     `json:"Offset"`
	Time   int64           `json:"Time"`
	Record json.RawMessage `json:"Record"`
}

type logStream struct {
	entries []logEntry // oldest first, without gaps
	last    wick.Offset
	// changed is closed and replaced at the next append, outage, recovery or
	// Close.
	changed chan struct{}
}

// StartLog starts a log.
func StartLog(cfg LogConfig) (*Log, error) {
	if cfg.MaxWait <= 0 {
		cfg.MaxWait = wick.Duration(defaultMaxWait)
	}
	limit := rate.Inf
	if cfg.AppendRate > 0 {
		limit = rate.Limit(cfg.AppendRate)
	}
	l := &Log{cfg: cfg, limit: rate.NewLimiter(limit, appendBurst)}
	l.streams = map[wick.StreamName]*logStream{}
	l.server = newServer(l.handle)
	if err := l.server.open(cfg.Address); err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return l, nil
}

// Address returns where the log listens.
func (l *Log) Address() wick.Address { return l.server.Address() }

// Close stops the log.
func (l *Log) Close() error {
	l.mu.Lock()
	l.down = true
	l.wakeAll()
	l.mu.Unlock()
	return l.server.Close()
}

// Control sets faults.
func (l *Log) Control(c LogControl) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Down != nil {
		l.down = *c.Down
		l.wakeAll()
	}
	if c.Slow != nil {
		l.slow = c.Slow.Std()
	}
	if c.LoseAnswers != nil {
		l.loseAnswers = *c.LoseAnswers
	}
	if c.Silence {
		l.server.silence()
	}
}

// wakeAll wakes all waiting readers; l.mu is held.
func (l *Log) wakeAll() {
	for _, s := range l.streams {
		s.wake()
	}
}

func (s *logStream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Stats returns a copy of the log's counters.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.stats
	out.Last = map[wick.StreamName]wick.Offset{}
	for name, s := range l.streams {
		out.Last[name] = s.last
	}
	return out
}

// stream returns the named stream and creates it if needed; l.mu is held.
func (l *Log) stream(name wick.StreamName) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	name, isStream := strings.CutPrefix(path, "/streams/")
	switch {
	case path == "/stats":
		reply(ctx, l.Stats())
	case path == "/control":
		var c LogControl
		if decodeControl(ctx, &c) {
			l.Control(c)
		}
	case !isStream || name == "":
		refuse(ctx, fasthttp.StatusNotFound, "no such path")
	case !l.admit(ctx):
		refuse(ctx, fasthttp.StatusServiceUnavailable, "the log is down")
	case ctx.IsPost():
		l.append(ctx, wick.StreamName(name))
	default:
		l.read(ctx, wick.StreamName(name))
	}
}

// admit applies the delay of the active faults to a request, and reports
// whether the log accepts it.
func (l *Log) admit(ctx context.Context) bool {
	l.mu.Lock()
	d := l.slow
	l.mu.Unlock()
	alive := pause.For(ctx, d)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || !alive {
		l.stats.Refused++
		return false
	}
	return true
}

func (l *Log) append(ctx *fasthttp.RequestCtx, name wick.StreamName) {
	body := ctx.PostBody()
	if len(body) > maxRecord || !json.Valid(body) {
		refuse(ctx, fasthttp.StatusBadRequest, "a record is JSON of at most %d bytes", maxRecord)
		return
	}
	r := l.limit.Reserve()
	if d := r.Delay(); d > maxAppendWait || !pause.For(ctx, d) {
		r.Cancel()
		l.mu.Lock()
		l.stats.Refused++
		l.mu.Unlock()
		refuse(ctx, fasthttp.StatusTooManyRequests, "too many appends a second")
		return
	}
	want := string(ctx.Request.Header.Peek(headerLast))
	off, lost, ok := l.add(name, append(json.RawMessage(nil), body...), want)
	switch {
	case !ok:
		refuse(ctx, fasthttp.StatusPreconditionFailed, "the last offset is %d", off)
	case lost:
		connOf(ctx).drop()
	default:
		reply(ctx, Appended{off})
	}
}

// add appends a record if want is empty or equals the stream's last offset. It
// reports whether the answer must be lost, and whether the record was appended.
func (l *Log) add(name wick.StreamName, rec json.RawMessage, want string) (off wick.Offset, lost, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if want != "" && want != fmt.Sprint(s.last) {
		return s.last, false, false
	}
	s.last++
	s.entries = append(s.entries, logEntry{s.last, time.Now().UnixMilli(), rec})
	l.trim(s)
	s.wake()
	l.stats.Appends++
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return s.last, true, true
	}
	return s.last, false, true
}

// trim drops the entries beyond the retention; l.mu is held.
func (l *Log) trim(s *logStream) {
	if n := len(s.entries) - l.cfg.KeepCount; l.cfg.KeepCount > 0 && n > 0 {
		s.entries = s.entries[n:]
	}
	if l.cfg.KeepFor <= 0 {
		return
	}
	oldest := time.Now().Add(-l.cfg.KeepFor.Std()).UnixMilli()
	for len(s.entries) > 0 && s.entries[0].Time < oldest {
		s.entries = s.entries[1:]
	}
}

func (l *Log) read(ctx *fasthttp.RequestCtx, name wick.StreamName) {
	args := ctx.QueryArgs()
	from := wick.Offset(args.GetUintOrZero("from"))
	limit := args.GetUintOrZero("limit")
	if limit <= 0 {
		limit = defaultLimit
	}
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	entries, ok := l.waitEntries(ctx, name, from, limit, min(wait, l.cfg.MaxWait.Std()))
	if !ok {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "the log is down")
		return
	}
	reply(ctx, entries)
}

// waitEntries returns entries from an offset on, and waits for the first one.
func (l *Log) waitEntries(ctx context.Context, name wick.StreamName, from wick.Offset, limit int, wait time.Duration) ([]logEntry, bool) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		entries, changed, ok := l.from(name, from, limit)
		if !ok || len(entries) > 0 {
			return entries, ok
		}
		select {
		case <-changed:
		case <-t.C:
			return entries, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (l *Log) from(name wick.StreamName, from wick.Offset, limit int) ([]logEntry, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		l.stats.Refused++
		return nil, nil, false
	}
	l.stats.Reads++
	s := l.stream(name)
	l.trim(s)
	out := []logEntry{}
	if len(s.entries) == 0 {
		return out, s.changed, true
	}
	first := s.entries[0].Offset
	skip := min(wick.Offset(len(s.entries)), max(from, first)-first)
	rest := s.entries[skip:]
	return append(out, rest[:min(limit, len(rest))]...), s.changed, true
}
