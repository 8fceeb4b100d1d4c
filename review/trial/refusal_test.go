package trial

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-503"] = late503 }

const (
	// commands is the number of commands, commandTime the time between two of them, and
	// failedShare the share of them that runners fail.
	commands    = 75
	commandTime = 50 * time.Millisecond
	failedShare = 0.45
)

// late503 sends commands. With trouble, runners fail a share of them with status 503 after
// they ran. A caller that gets 503 sends its command once more, as another attempt.
func late503(d *deployment) (bool, error) {
	var runners []*runner
	for i := range 3 {
		r := newRunner(d, i, "desk", 6, 0)
		r.answer = func(w http.ResponseWriter, _ *http.Request, id string) {
			time.Sleep(workTime / 4)
			if d.trouble && rand.Float64() < failedShare {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			fmt.Fprintf(w, "confirmed %s", id)
		}
		runners = append(runners, r)
	}
	if err := d.start(removalConfig, runners, 2); err != nil {
		return false, err
	}
	ran := func(id string) int {
		n := 0
		for _, r := range runners {
			n += r.runs(id)
		}
		return n
	}
	var mu sync.Mutex
	broken, doubled := 0, 0
	var errs []error
	var group sync.WaitGroup
	for n := range commands {
		group.Go(func() {
			times := 0
			for try := range 2 {
				id := fmt.Sprintf("%08x%08x", 0xe000+try, n)
				status, err := command(d.daemons[(n+try)%2].front, id)
				mu.Lock()
				if err != nil {
					errs = append(errs, err)
				}
				times += ran(id)
				refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
				if refused && ran(id) > 0 {
					broken++
				}
				mu.Unlock()
				d.notef("command %d, attempt %s: status %d, ran %d times", n, id, status, ran(id))
				if !refused {
					break
				}
			}
			if times > 1 {
				mu.Lock()
				defer mu.Unlock()
				doubled++
			}
		})
		time.Sleep(commandTime)
	}
	group.Wait()
	d.notef("%d attempts were answered 503 or 429 and had run; %d of %d commands ran twice", broken, doubled, commands)
	return broken > 0, errors.Join(errs...)
}

// command sends a command on a new channel and returns the status of its answer.
func command(at, id string) (int, error) {
	c, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /book/2 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\nCurrantwick-Attempt-Identifier: %s\r\nCurrantwick-Time-Remaining: 600\r\n\r\nbook", id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
