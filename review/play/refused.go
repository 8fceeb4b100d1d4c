package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// caseRefused sends commands while runners fail a part of them, after they ran, with
// status 503. A caller that is told 503 sends its command once more.
func caseRefused(s *system) (bool, error) {
	const commands, every, share = 75, 50 * time.Millisecond, 0.45
	ran := new(runs)
	err := s.startPlain(3, 15*time.Millisecond, ran, func(w http.ResponseWriter, id string) {
		if s.trouble && rand.Float64() < share {
			s.record.line("runner answers %s with 503, after it ran", id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "done "+id) // The daemon may have left.
	})
	if err != nil {
		return false, err
	}
	if err := s.startDaemons(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	broken, doubled := 0, 0
	var group errgroup.Group
	for n := range commands {
		group.Go(func() error {
			times := 0
			for try := range 2 {
				c, err := connect(s.daemons[(n+try)%3].front, 0)
				if err != nil {
					return err
				}
				defer c.conn.Close()
				r := request{method: http.MethodPost, path: fmt.Sprintf("/switch/%d", n), id: newID(), body: fmt.Sprintf("head %d red", n), timeLeft: 3 * time.Second}
				if err := c.send(r); err != nil {
					return err
				}
				resp, _, err := c.answer(nil)
				if err != nil {
					s.record.line("caller: command %d, attempt %s: %v", n, r.id, err)
					break
				}
				s.record.line("caller: command %d, attempt %s: status %d, seal %q", n, r.id, resp.StatusCode, resp.Header.Get(names.Seal))
				times += ran.of(r.id)
				if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
					break
				}
				if ran.of(r.id) > 0 {
					mu.Lock()
					broken++
					mu.Unlock()
				}
			}
			if times > 1 {
				mu.Lock()
				doubled++
				mu.Unlock()
			}
			return nil
		})
		sleep(every)
	}
	if err := group.Wait(); err != nil {
		return false, err
	}
	s.record.line("result: %d attempts were answered 503 and had run; %d of %d commands ran twice", broken, doubled, commands)
	return broken > 0, nil
}
