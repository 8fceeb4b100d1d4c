package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestOrders checks that the fake runner is as strict as the platform's protocol,
// as the soak test misses every fault that the fake accepts.
func TestOrders(t *testing.T) {
	const good = `{"operation":%q,"model":"m","adapter":%q,"holder":%q,"fencingToken":%d,"expected":%d}`
	load := func(name string, token, expected int) string {
		return fmt.Sprintf(good, "load", name, "front-1", token, expected)
	}
	tests := []struct {
		name   string
		orders []string
		status int
		broken int
	}{
		{"a load", []string{load("a", 5, 0)}, http.StatusAccepted, 0},
		{"a load of a loaded adapter", []string{load("a", 5, 0), load("a", 5, 1)}, http.StatusOK, 0},
		{"a wrong expected number of orders", []string{load("a", 5, 3)}, http.StatusConflict, 0},
		{"a lower token", []string{load("a", 5, 0), load("b", 4, 1)}, http.StatusPreconditionFailed, 0},
		{"two holders with the same token", []string{load("a", 5, 0), fmt.Sprintf(good, "load", "b", "front-2", 5, 1)}, http.StatusAccepted, 1},
		{"more loads than slots", []string{load("a", 5, 0), load("b", 5, 1), load("c", 5, 2)}, http.StatusBadRequest, 1},
		{"an unload frees a slot", []string{load("a", 5, 0), load("b", 5, 1), fmt.Sprintf(good, "unload", "a", "front-1", 5, 2), load("c", 5, 3)}, http.StatusAccepted, 0},
		{"no token", []string{`{"operation":"load","model":"m","adapter":"a","holder":"front-1"}`}, http.StatusBadRequest, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := new(ledger)
			r := newRunner(runnerConfig{Name: "i-1", Model: "m", Adapters: 2, Fenced: true, Ledger: ledger}, true)
			status := 0
			for _, o := range test.orders {
				w := httptest.NewRecorder()
				r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/currantwick/order", strings.NewReader(o)))
				status = w.Code
			}
			if broken := len(ledger.violations()); status != test.status || broken != test.broken {
				t.Errorf("status %d and %d violations, want %d and %d: %v", status, broken, test.status, test.broken, ledger.violations())
			}
		})
	}
}

func TestRequests(t *testing.T) {
	tests := []struct {
		name   string
		header map[string]string
		mode   runnerMode
		status int
		runs   int
	}{
		{"a call", nil, runnerServes, http.StatusOK, 1},
		{"a full runner", nil, runnerFull, http.StatusServiceUnavailable, 0},
		{"a failing runner", nil, runnerFails, http.StatusInternalServerError, 1},
		{"another incarnation", map[string]string{"Currantwick-Expect-Instance": "i-0"}, runnerServes, http.StatusMisdirectedRequest, 0},
		{"an adapter that is not loaded", map[string]string{"Currantwick-Model": "m/a"}, runnerServes, http.StatusMisdirectedRequest, 0},
		{"the base model", map[string]string{"Currantwick-Model": "m"}, runnerServes, http.StatusOK, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := new(ledger)
			r := newRunner(runnerConfig{Name: "i-1", Model: "m", Adapters: 2, Ledger: ledger}, true)
			r.setMode(test.mode)
			req := httptest.NewRequest(http.MethodPost, "/safe/x", strings.NewReader("body"))
			req.Header.Set("Currantwick-Attempt-Identifier", "q")
			for name, v := range test.header {
				req.Header.Set(name, v)
			}
			w := httptest.NewRecorder()
			r.ServeHTTP(w, req)
			if runs := len(ledger.ran("q")); w.Code != test.status || runs != test.runs {
				t.Errorf("status %d after %d runs, want %d after %d", w.Code, runs, test.status, test.runs)
			}
		})
	}
}
