package trial

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// documentSize is the size of an answer, and readPause how long a client does not
	// read in the middle of it.
	documentSize = 384 << 10
	readPause    = 3 * time.Second
	// readers is the number of clients.
	readers = 8
	// maxLost is how many requests from kept channels may go without an answer.
	maxLost = 3
)

const readerConfig = `{"version":3,"routes":[
{"name":"r-doc","host":"desk.example","pathPrefix":"/doc/","kind":"safe","timeoutMs":20000,"objectiveMs":1000,"priority":1,"service":"desk","attempts":2}],
"services":[{"name":"desk","healthPath":"/health","connectionLimit":100,"protocol":"h1","transportSecurity":false}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}`

// slowReader has clients on kept channels that stop reading for a while in the middle of
// an answer. Without the disruption they read on.
func slowReader(d *deployment) (bool, error) {
	var runners []*runner
	for i := range 2 {
		r := newRunner(d, i, "desk", 16, 0)
		r.answer = func(w http.ResponseWriter, q *http.Request, id string) {
			size := documentSize
			if q.URL.Path == "/doc/short" {
				size = 800
			}
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write(document(id, size)) // A failed write shows at the client.
		}
		runners = append(runners, r)
	}
	if err := d.start(readerConfig, runners, 2); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	var failed error
	for i := range readers {
		group.Go(func() {
			whole, err := d.readSlowly(d.daemons[i%2], fmt.Sprintf("%016x", 0xa000+i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			}
			if !whole {
				lost++
			}
		})
	}
	group.Wait()
	if failed != nil {
		return false, failed
	}
	ran := 0
	for i := range readers {
		for _, r := range runners {
			ran += r.runs(fmt.Sprintf("%016x-2", 0xa000+i))
		}
	}
	d.notef("%d of %d requests on kept channels were run by sound runners, %d have no whole answer and their channel is closed", ran, readers, lost)
	return lost > maxLost, nil
}

// document returns the body of an answer.
func document(id string, size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = id[i%len(id)]
	}
	return b
}

// readSlowly sends a short request and then one with a long answer on the same channel.
// It reports whether the second answer was whole.
func (d *deployment) readSlowly(p *daemon, id string) (bool, error) {
	c, err := net.Dial("tcp", p.front)
	if err != nil {
		return false, err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	if err := sendGet(c, "/doc/short", id+"-1"); err != nil {
		return false, err
	}
	body, _, err := readAnswer(in, id+"-1", nil)
	if err != nil || len(body) != 800 {
		return false, fmt.Errorf("short answer of %d bytes: %w", len(body), err)
	}
	d.notef("client %s got its first answer on the channel", id)
	if err := sendGet(c, "/doc/long", id+"-2"); err != nil {
		return false, err
	}
	d.notef("client %s sent the request for a long answer", id)
	body, status, err := readAnswer(in, id+"-2", func() {
		if d.trouble {
			d.notef("client %s does not read for %v", id, readPause)
			time.Sleep(readPause)
			d.notef("client %s reads on", id)
		}
	})
	d.notef("client %s: status %d, %d of %d bytes, error: %v", id, status, len(body), documentSize, err)
	return err == nil && status == http.StatusOK && len(body) == documentSize, nil
}

func sendGet(c net.Conn, path, id string) error {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: desk.example\r\nCurrantwick-Attempt-Identifier: %s\r\nCurrantwick-Time-Remaining: 15000\r\n\r\n", path, id)
	return err
}

// readAnswer reads an answer; pause is called after its first bytes.
func readAnswer(in *bufio.Reader, id string, pause func()) ([]byte, int, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, 0, err
	}
	if got := resp.Header.Get("Currantwick-Attempt-Identifier"); got != id {
		return nil, resp.StatusCode, errors.New("the answer has the identifier " + got)
	}
	first := make([]byte, 256)
	n, err := io.ReadFull(resp.Body, first)
	if err != nil {
		return first[:n], resp.StatusCode, err
	}
	if pause != nil {
		pause()
	}
	rest, err := io.ReadAll(resp.Body)
	return append(first, rest...), resp.StatusCode, err
}
