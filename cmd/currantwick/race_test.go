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

// publish publishes a change through one daemon, as apply does.
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

// call sends one request to the admin API of a daemon. The status is 0 if the
// request failed.
func (c *cluster) call(d *daemon, method, path string, body []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + string(d.settings.Admin.Address) + path)
	req.Header.Set("Authorization", "Bearer "+token)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, 2*waitTimeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// casInput is one compare-and-set by an operator: put the object if it still has
// the revision that was read.
type casInput struct{ read wick.Offset }

// casOutput is its result: whether the put was accepted, and the object's
// revision afterwards according to the verdict.
type casOutput struct {
	accepted bool
	now      wick.Offset
}

// casModel is a compare-and-set register: it changes only for operators that read
// its newest revision.
var casModel = porcupine.Model{
	Init: func() any { return wick.Offset(0) },
	Step: func(state, in, out any) (bool, any) {
		now, ask, got := state.(wick.Offset), in.(casInput), out.(casOutput)
		if got.accepted {
			return ask.read == now && got.now > now, got.now
		}
		return ask.read != now && got.now == now, now
	},
}

// TestConcurrentOperators checks that concurrent changes of one object through
// different daemons are linearizable, so that no operator overwrites a revision
// that it has not seen.
func TestConcurrentOperators(t *testing.T) {
	const operators, tries = 4, 12
	c := newCluster(t, 3)
	c.awaitView()
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
				out := casOutput{v.Accepted(), v.Offset}
				if !v.Accepted() {
					now, err := movedTo(v, k)
					if err != nil {
						return err
					}
					out.now = now
				}
				history[op] = append(history[op], porcupine.Operation{
					ClientId: op, Input: casInput{read}, Call: int64(call), Output: out, Return: int64(time.Since(start)),
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
	accepted := 0
	for _, list := range history {
		for _, op := range list {
			if op.Output.(casOutput).accepted {
				accepted++
			}
		}
		all = append(all, list...)
	}
	if !porcupine.CheckOperations(casModel, all) {
		t.Errorf("history of %d attempts is not linearizable: %+v", len(all), all)
	}
	if accepted == 0 || accepted == len(all) {
		t.Errorf("%d of %d attempts were accepted, so there was no conflict", accepted, len(all))
	}
	t.Logf("%d of %d attempts were accepted", accepted, len(all))
}

// movedTo returns the object's current revision from the verdict on a rejected
// change.
func movedTo(v wick.Verdict, k wick.ObjectKey) (wick.Offset, error) {
	if len(v.Violations) != 1 || v.Violations[0].Key != k || v.Violations[0].Rule != wick.RuleConflict {
		return 0, fmt.Errorf("unexpected verdict on a rejected change: %+v", v)
	}
	var now wick.Offset
	_, text, _ := strings.Cut(v.Violations[0].Text, ", now at ")
	if text == "no revision" {
		return 0, nil
	}
	_, err := fmt.Sscanf(text, "revision %d", &now)
	return now, err
}
