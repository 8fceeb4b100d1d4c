package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"currantwick"

	"github.com/anishathalye/porcupine"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// publish sends a change to one daemon, as apply does.
func (c *cluster) publish(d *daemon, change wick.Change) (wick.Verdict, int) {
	c.t.Helper()
	body, err := json.Marshal(change)
	if err != nil {
		c.t.Fatal(err)
	}
	status, answer := c.call(d, fasthttp.MethodPost, "/v1/changes", body)
	var v wick.Verdict
	if status == fasthttp.StatusOK || status == fasthttp.StatusUnprocessableEntity {
		if err := json.Unmarshal(answer, &v); err != nil {
			c.t.Errorf("verdict %s: %v", answer, err)
		}
	}
	return v, status
}

// call makes one exchange with the operators' interface of a daemon. The
// status is 0 if it failed.
func (c *cluster) call(d *daemon, method, path string, body []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + string(d.settings.Admin.Address) + path)
	req.Header.Set("Authorization", "Bearer "+token)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, 2*soon); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// swap is one try of an operator: put the object if it still has the revision
// that was read.
type swap struct{ read wick.Offset }

// swapped is how it ended: the revision of the object afterwards, as the
// verdict tells it.
type swapped struct {
	won bool
	now wick.Offset
}

// swaps is a register that changes only for those who read its newest value.
var swaps = porcupine.Model{
	Init: func() any { return wick.Offset(0) },
	Step: func(state, in, out any) (bool, any) {
		now, ask, got := state.(wick.Offset), in.(swap), out.(swapped)
		if got.won {
			return ask.read == now && got.now > now, got.now
		}
		return ask.read != now && got.now == now, now
	},
}

// TestRacingOperators lets operators change one object through different
// daemons, each from what it read or was told last.
func TestRacingOperators(t *testing.T) {
	const operators, tries = 4, 12
	c := newCluster(t, 3)
	c.ready()
	k := wick.ObjectKey{Kind: wick.KindModel, Name: "base"}
	start := time.Now()
	history := make([][]porcupine.Operation, operators)
	var group errgroup.Group
	for op := range operators {
		group.Go(func() error {
			read := wick.Offset(0)
			for i := range tries {
				change := wick.Change{
					ID:       wick.ChangeID(fmt.Sprintf("op-%d-%d", op, i)),
					Operator: wick.OperatorName(fmt.Sprintf("op-%d", op)),
					Puts:     wick.Objects{Models: []wick.Model{{Name: "base", Context: wick.Tokens(op + 1)}}},
					Based:    []wick.Based{{Key: k, Revision: read}},
				}
				call := time.Since(start)
				v, status := c.publish(c.daemons[(op+i)%len(c.daemons)], change)
				if status == 0 {
					return fmt.Errorf("%s: no answer", change.ID)
				}
				out := swapped{v.Accepted(), v.Offset}
				if !v.Accepted() {
					now, err := movedTo(v, k)
					if err != nil {
						return err
					}
					out.now = now
				}
				history[op] = append(history[op], porcupine.Operation{
					ClientId: op, Input: swap{read}, Call: int64(call), Output: out, Return: int64(time.Since(start)),
				})
				read = out.now
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	var all []porcupine.Operation
	won := 0
	for _, list := range history {
		for _, op := range list {
			if op.Output.(swapped).won {
				won++
			}
		}
		all = append(all, list...)
	}
	if !porcupine.CheckOperations(swaps, all) {
		t.Errorf("history of %d tries is not linearizable: %+v", len(all), all)
	}
	if won == 0 || won == len(all) {
		t.Errorf("%d of %d tries won, so that nobody raced", won, len(all))
	}
	t.Logf("%d of %d tries won", won, len(all))
}

// movedTo reads the object and its revision out of a loser's verdict.
func movedTo(v wick.Verdict, k wick.ObjectKey) (wick.Offset, error) {
	if len(v.Violations) != 1 || v.Violations[0].Key != k || v.Violations[0].Rule != wick.RuleMoved {
		return 0, fmt.Errorf("loser was told %+v", v)
	}
	var now wick.Offset
	_, text, _ := strings.Cut(v.Violations[0].Text, ", now at ")
	if text == "no revision" {
		return 0, nil
	}
	_, err := fmt.Sscanf(text, "revision %d", &now)
	return now, err
}
