package node

import (
	"context"
	"fmt"

	"currantwick"
	"currantwick/ctrl"
)

// Complete implements wick.Front.
func (n *Node) Complete(ctx context.Context, req wick.CallerRequest, emit func(wick.Frame) error) error {
	return n.relay.Complete(ctx, req, emit)
}

// Invoke implements wick.Front.
func (n *Node) Invoke(ctx context.Context, req wick.CallerRequest) (wick.Reply, error) {
	return n.relay.Invoke(ctx, req)
}

// EntryPoints implements wick.Front.
func (n *Node) EntryPoints(near wick.Domain) wick.EntryList { return n.relay.EntryPoints(near) }

// recordCompletion reports a completion received by this daemon to the control
// thread.
func (n *Node) recordCompletion(pool wick.PoolName, ref wick.Ref) {
	n.thread.Post(ctrl.RequestSeen{Pool: pool, Ref: ref})
}

// HandleSubmit implements wick.PeerServer.
func (n *Node) HandleSubmit(ctx context.Context, from wick.HostName, sub wick.Submission, emit func(wick.Frame) error) error {
	return n.owner.HandleSubmit(ctx, from, sub, emit)
}

// HandleCall implements wick.PeerServer.
func (n *Node) HandleCall(ctx context.Context, from wick.HostName, msg wick.PeerMessage) (wick.PeerMessage, error) {
	switch {
	case msg.Renewal != nil:
		if msg.Renewal.From != from {
			return wick.PeerMessage{}, wick.NotRunf(wick.CodeUnauthorized, "%s renews for %s", from, msg.Renewal.From)
		}
		reply := make(chan wick.RenewalAck, 1)
		n.thread.Post(ctrl.RenewalReceived{Renewal: *msg.Renewal, Reply: reply})
		ack, err := awaitReply(ctx, n.thread, reply)
		return wick.PeerMessage{RenewalAck: &ack}, err
	case msg.Fetch != nil:
		reply := make(chan wick.Fetched, 1)
		n.thread.Post(ctrl.FetchRequested{Fetch: *msg.Fetch, Reply: reply})
		got, err := awaitReply(ctx, n.thread, reply)
		return wick.PeerMessage{Fetched: &got}, err
	case msg.Grant != nil:
		reply := make(chan wick.Grant, 1)
		n.thread.Post(ctrl.LoadsRequested{Grant: *msg.Grant, Reply: reply})
		got, err := awaitReply(ctx, n.thread, reply)
		return wick.PeerMessage{Grant: &got}, err
	case msg.Suspects != nil:
		n.thread.Post(ctrl.SuspectsReceived{List: msg.Suspects})
		return wick.PeerMessage{Suspects: []wick.Suspect{}}, nil
	}
	return wick.PeerMessage{}, wick.NotRunf(wick.CodeBadRequest, "no such message")
}

// awaitReply waits for a reply of the control thread.
func awaitReply[T any](ctx context.Context, t *ctrl.Thread, reply <-chan T) (T, error) {
	var none T
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return none, fmt.Errorf("wait for the control thread: %w", ctx.Err())
	case <-t.Done():
		return none, wick.NotRunf(wick.CodeStopping, "the daemon has stopped")
	}
}
