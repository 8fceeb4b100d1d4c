package node

import (
	"context"
	"errors"
	"fmt"

	"currantwick"
	"currantwick/config"
	"currantwick/ctrl"
)

var _ wick.Operator = (*Node)(nil)

// Publish implements wick.Operator.
func (n *Node) Publish(ctx context.Context, c wick.Change) (wick.Verdict, error) {
	if err := c.Check(); err != nil {
		return wick.Verdict{}, wick.NotRunf(wick.CodeBadRequest, "%v", err)
	}
	reply := make(chan wick.Verdict, 1)
	n.thread.Post(ctrl.VerdictAwaited{Change: c.ID, Reply: reply})
	defer n.thread.Post(ctrl.VerdictAbandoned{Change: c.ID})
	if _, err := n.cfg.Log.Append(ctx, wick.ConfigStream, wick.Record{Change: &c}); err != nil {
		return wick.Verdict{}, fmt.Errorf("append change: %w", err)
	}
	return awaitReply(ctx, n.thread, reply)
}

// Validate implements wick.Operator.
func (n *Node) Validate(c wick.Change) []wick.Violation {
	return config.Validate(n.Snapshot().Config, c)
}

// Select implements wick.Operator.
func (n *Node) Select(kind wick.ObjectKind, name string) wick.Checkpoint {
	return n.Snapshot().Config.Select(kind, name)
}

// Audit implements wick.Operator.
func (n *Node) Audit(ctx context.Context, from wick.Offset, limit int) ([]wick.Entry, error) {
	list, err := n.cfg.Log.Read(ctx, wick.AuditStream, from, limit)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, nil // No new entries.
	}
	if err != nil {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}
	return list, nil
}

// Status implements wick.Operator.
func (n *Node) Status(ctx context.Context) (wick.Status, error) {
	reply := make(chan wick.Status, 1)
	n.thread.Post(ctrl.StatusRequested{Reply: reply})
	return awaitReply(ctx, n.thread, reply)
}

// Drain implements wick.Operator.
func (n *Node) Drain(context.Context) error {
	n.drainOnce.Do(func() { close(n.drain) })
	return nil
}

// DeclareLost implements wick.Operator.
func (n *Node) DeclareLost(ctx context.Context, hosts []wick.HostName) ([]wick.Run, error) {
	reply := make(chan []wick.Run, 1)
	n.thread.Post(ctrl.RunsRequested{Hosts: hosts, Reply: reply})
	runs, err := awaitReply(ctx, n.thread, reply)
	if err != nil {
		return nil, fmt.Errorf("find runs on lost hosts: %w", err)
	}
	if len(runs) == 0 {
		return nil, nil
	}
	return runs, n.appendRunsEnded(ctx, runs)
}

// appendRunsEnded appends to the log that runs have ended.
func (n *Node) appendRunsEnded(ctx context.Context, runs []wick.Run) error {
	rec := wick.Record{RunsEnded: &wick.RunsEnded{Runs: runs}}
	if _, err := n.cfg.Log.Append(ctx, wick.ViewStream, rec); err != nil {
		return fmt.Errorf("append RunsEnded record: %w", err)
	}
	return nil
}

// CheckReady implements wick.Operator.
func (n *Node) CheckReady() *wick.Error { return n.Snapshot().CheckAccepting() }
