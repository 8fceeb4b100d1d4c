package fakes

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"currantwick"
	"currantwick/pause"

	"github.com/valyala/fasthttp"
)

// fence holds the newest fencing token that an engine has seen.
type fence struct {
	view wick.ViewNumber
	// last maps each adapter to the highest sequence number of its orders in
	// the view. It is kept by adapter since orders for different adapters may
	// arrive out of order.
	last map[string]wick.Sequence
}

// isStale reports whether an order with the same or a newer token has arrived
// before. If not, it records the token.
func (f *fence) isStale(t wick.FencingToken, name string) bool {
	if t.View < f.view || t.View == f.view && t.Sequence <= f.last[name] && f.last != nil {
		return true
	}
	if t.View > f.view || f.last == nil {
		f.last = map[string]wick.Sequence{}
	}
	f.view = t.View
	f.last[name] = t.Sequence
	return false
}

// loading is a load in progress. done closes at its end, after err is set.
type loading struct {
	done chan struct{}
	err  error
}

// orderError is the refusal of an order with its HTTP status.
type orderError struct {
	status int
	text   string
}

// Error implements error.
func (e *orderError) Error() string { return e.text }

type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// order executes an order and answers it, unless a fault loses the answer.
func (e *Engine) order(ctx *fasthttp.RequestCtx, kind wick.OrderKind) {
	var o loraOrder
	if !decodeBody(ctx, &o) {
		return
	}
	token := wick.FencingToken{
		View:     wick.ViewNumber(headerNumber(ctx, headerView)),
		Sequence: wick.Sequence(headerNumber(ctx, headerSequence)),
	}
	within := time.Duration(headerNumber(ctx, headerWithin)) * time.Millisecond
	err := e.executeOrder(ctx, kind, o, token, within)
	if e.loseAnswer(err) {
		connOf(ctx).drop()
		return
	}
	var refused *orderError
	if errors.As(err, &refused) {
		refuse(ctx, refused.status, "%s", refused.text)
		return
	}
	if err != nil {
		refuse(ctx, fasthttp.StatusInternalServerError, "%v", err)
	}
}

// loseAnswer reports whether the answer to an order must be lost. Only answers
// to successful orders are lost and counted.
func (e *Engine) loseAnswer(err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || e.faults.loseAnswers == 0 {
		return false
	}
	e.faults.loseAnswers--
	return true
}

func (e *Engine) executeOrder(ctx context.Context, kind wick.OrderKind, o loraOrder, t wick.FencingToken, within time.Duration) error {
	start := time.Now()
	e.mu.Lock()
	delay := e.faults.delayOrders
	e.mu.Unlock()
	if !pause.For(ctx, delay) {
		return fmt.Errorf("order: %w", ctx.Err())
	}
	if kind == wick.OrderUnload {
		return e.unload(o, t, start, within)
	}
	l, err := e.load(o, t, start, within)
	if l == nil || err != nil {
		return err
	}
	<-l.done
	return l.err
}

// checkOrder checks an order's deadline and fencing token; e.mu is held.
func (e *Engine) checkOrder(o loraOrder, t wick.FencingToken, start time.Time, within time.Duration) error {
	if within > 0 && time.Since(start) > within {
		e.stats.Expired++
		return &orderError{fasthttp.StatusServiceUnavailable, "order came too late"}
	}
	if e.cfg.ChecksFencing && e.fenced.isStale(t, o.Name) {
		e.stats.OldFencing++
		return &orderError{fasthttp.StatusConflict, "old fencing number"}
	}
	return nil
}

// load starts a load or joins the one in progress. It returns nil if the adapter
// is resident.
func (e *Engine) load(o loraOrder, t wick.FencingToken, start time.Time, within time.Duration) (*loading, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOrder(o, t, start, within); err != nil {
		return nil, err
	}
	if e.resident[o.Name] {
		return nil, nil
	}
	if l, ok := e.loading[o.Name]; ok {
		return l, nil
	}
	if len(e.resident)+len(e.loading) >= int(e.cfg.AdapterSlots) {
		e.stats.SlotsFull++
		return nil, &orderError{fasthttp.StatusInsufficientStorage, "all adapter slots are taken"}
	}
	l := &loading{done: make(chan struct{})}
	e.loading[o.Name] = l
	boot := e.boot
	e.group.Go(func() error {
		e.fetch(o, l, boot)
		return nil
	})
	return l, nil
}

// fetch reads the weights and makes the adapter resident, unless the engine has
// restarted since the load began.
func (e *Engine) fetch(o loraOrder, l *loading, boot int) {
	err := e.readWeights(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(l.done)
	switch {
	case e.boot != boot:
		l.err = &orderError{fasthttp.StatusInternalServerError, "engine restarted"}
		return
	case err == nil && e.faults.failLoads > 0:
		e.faults.failLoads--
		err = &orderError{fasthttp.StatusInternalServerError, "load failed"}
	}
	delete(e.loading, o.Name)
	if err != nil {
		e.stats.FailedLoads++
		l.err = err
		return
	}
	e.resident[o.Name] = true
	e.stats.Loads++
}

// weightsTimeout limits a read from the weight store of another process.
const weightsTimeout = 60 * time.Second

func (e *Engine) readWeights(o loraOrder) error {
	if e.cfg.Weights != nil {
		return e.cfg.Weights.Load(e.lifetime)
	}
	if e.cfg.Store == "" {
		return nil
	}
	uri := "http://" + string(e.cfg.Store) + "/load?source=" + o.Path
	status, _, err := fasthttp.GetTimeout(nil, uri, weightsTimeout)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("weight store: status %d", status)
	}
	return nil
}

// unload frees the slot of an adapter. The system must never unload an adapter
// that requests run on or wait for, so the engine counts it as a violation.
func (e *Engine) unload(o loraOrder, t wick.FencingToken, start time.Time, within time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOrder(o, t, start, within); err != nil {
		return err
	}
	if !e.resident[o.Name] {
		return &orderError{fasthttp.StatusNotFound, o.Name + " is not resident"}
	}
	inUse := 0
	for _, s := range e.running {
		if s.model == o.Name {
			inUse++
		}
	}
	for _, s := range e.waiting {
		if s.model == o.Name {
			inUse++
		}
	}
	if inUse > 0 {
		e.stats.Violations++
		e.stats.Evicted += inUse
	}
	delete(e.resident, o.Name)
	e.stats.Unloads++
	return nil
}

// parseRef splits the name of a resident adapter into adapter and version.
func parseRef(name string) wick.Ref {
	adapter, version, _ := strings.Cut(name, "@")
	return wick.Ref{Adapter: wick.AdapterName(adapter), Version: wick.VersionName(version)}
}
