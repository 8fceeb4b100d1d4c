package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/procs"

	"golang.org/x/sync/errgroup"
)

// tenants are two teams whose limits count requests.
const tenants = `"tenants":[
	{"name":"over","accessKeys":["key-over"],"ratePerS":20,"burst":20},
	{"name":"under","accessKeys":["key-under"],"ratePerS":200,"burst":200}],`

// TestAllotments guards against a team that gets its limit on each daemon, and against
// refusals of a team that is far below its limit, with daemons as processes.
func TestAllotments(t *testing.T) {
	s := startSystem(t, 2)
	s.waitReady(t, startTimeout)
	s.version++
	s.store.PutConfig(strings.Replace(s.config(), `"routes":`, tenants+`"routes":`, 1))
	send := func(id, key string, d *procs.Daemon) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+string(d.Settings.CallerAddress)+"/unsafe/x", strings.NewReader(id))
		if err != nil {
			t.Error(err)
			return 0
		}
		r.Host = host
		r.Header.Set("Currantwick-Attempt-Identifier", id)
		r.Header.Set("Currantwick-Time-Remaining", "3000")
		r.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); resp.StatusCode == http.StatusTooManyRequests && (err != nil || after <= 0) {
			t.Errorf("429 with Retry-After %q", resp.Header.Get("Retry-After"))
		}
		return resp.StatusCode
	}
	probes := 0
	s.poll(t, startTimeout, func() error {
		for _, d := range s.daemons {
			probes++
			if status := send(fmt.Sprintf("probe-%d", probes), "key-under", d); status != http.StatusOK {
				return fmt.Errorf("%s answers %d", d.Settings.Host, status)
			}
		}
		return nil
	})
	const watch, every = 8 * time.Second, 10 * time.Millisecond
	tests := []struct {
		key string
		// interval is the time between two requests; where picks the daemon of a request.
		interval time.Duration
		where    func(i int) int
	}{
		{"key-over", every, func(i int) int { return i % len(s.daemons) }},
		{"key-under", 5 * every, func(int) int { return len(s.daemons) - 1 }},
	}
	statuses := make([]map[int]int, len(tests))
	var teams errgroup.Group
	begin := time.Now()
	for n, test := range tests {
		teams.Go(func() error {
			var sends errgroup.Group
			results := make(chan int, watch/every)
			for i := 0; time.Since(begin) < watch; i++ {
				sends.Go(func() error {
					results <- send(fmt.Sprintf("%s-%d", test.key, i), test.key, s.daemons[test.where(i)])
					return nil
				})
				sleep(test.interval)
			}
			err := sends.Wait()
			close(results)
			counts := make(map[int]int)
			for status := range results {
				counts[status]++
			}
			statuses[n] = counts
			return err
		})
	}
	if err := teams.Wait(); err != nil {
		t.Fatal(err)
	}
	took := time.Since(begin).Seconds()
	over, under := statuses[0], statuses[1]
	t.Logf("in %.1f s by status: over its limit %v, under it %v", took, over, under)
	ran := 0
	for i := range int(watch / every) {
		ran += len(s.ledger.ran(wick.RequestID(fmt.Sprintf("key-over-%d", i))))
	}
	if most := (20*took + 20) * 1.1; float64(ran) > most {
		t.Errorf("%d requests of the team over its limit ran, want at most %.0f", ran, most)
	}
	if over[http.StatusTooManyRequests] == 0 || over[http.StatusOK] == 0 {
		t.Error("the team over its limit got no refusals or no answers")
	}
	if under[http.StatusTooManyRequests] > 0 || under[http.StatusOK] == 0 {
		t.Error("the team under its limit was refused, or got no answers")
	}
	for _, v := range s.ledger.violations() {
		t.Error(v)
	}
}
