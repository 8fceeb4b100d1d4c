package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// storeDelay is the time of one answer of the store, as on the sheet of the small
// deployments.
const storeDelay = 4 * time.Millisecond

// store is a stand-in for the platform's store: a log with keyed topics of one
// partition each. It loses nothing and answers every call.
type store struct {
	mu     sync.Mutex
	topics map[string][]entry
	// changed is closed and replaced when a record is appended.
	changed chan struct{}
}

// entry is a keyed record; an empty value drops the key.
type entry struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: make(map[string][]entry), changed: make(chan struct{})}
}

// serve serves the store on a listener until it is closed.
func (s *store) serve(g *errgroup.Group, l net.Listener) {
	g.Go(func() error {
		_ = http.Serve(l, s) // Ends with the listener.
		return nil
	})
}

// put appends a record, if the topic ends at the offset at or at is negative. It
// returns the offset of the record and whether it was appended.
func (s *store) put(topic string, at int, e entry) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at >= 0 && at != end {
		return end, false
	}
	s.topics[topic] = append(s.topics[topic], e)
	close(s.changed)
	s.changed = make(chan struct{})
	return end, true
}

// from returns the records from an offset on, and a channel that is closed with the
// next change.
func (s *store) from(topic string, at int) ([]entry, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[topic]
	return slices.Clone(list[min(at, len(list)):]), s.changed
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case names.Append:
		s.appendRecords(w, topic, q.Get("at"), body)
	case names.Read:
		at, aerr := strconv.Atoi(q.Get("from"))
		wait, werr := strconv.Atoi(q.Get("waitMs"))
		if aerr != nil || werr != nil && q.Get("waitMs") != "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.read(w, r, topic, at, time.Duration(wait)*time.Millisecond)
	case names.Newest:
		s.newest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) appendRecords(w http.ResponseWriter, topic, at string, body []byte) {
	offset := -1
	if at != "" {
		n, err := strconv.Atoi(at)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		offset = n
	}
	const prefix = 5 // The length of the record and that of its key.
	if len(body) < prefix || len(body) != 4+int(binary.BigEndian.Uint32(body)) || len(body) < prefix+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := prefix + int(body[4])
	offset, ok := s.put(topic, offset, entry{string(body[prefix:n]), slices.Clone(body[n:])})
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, offset)
		return
	}
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, offset+1)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string, at int, wait time.Duration) {
	list, changed := s.from(topic, at)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting && len(list) == 0; {
		select {
		case <-changed:
			list, changed = s.from(topic, at)
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(at+len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range list {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
		out = append(append(append(out, byte(len(e.key))), e.key...), e.value...)
	}
	_, _ = w.Write(out) // The caller may have left.
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	list, _ := s.from(topic, 0)
	last := make(map[string]int)
	for i, e := range list {
		last[e.key] = i
		if len(e.value) == 0 {
			delete(last, e.key)
		}
	}
	items := make([]map[string]any, 0, len(last))
	for key, i := range last {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(list[i].value), "offset": i})
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may have left.
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(list)})
}
