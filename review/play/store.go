package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a record of a keyed topic.
type entry struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store, without limits and without expiry.
type store struct {
	mu     sync.Mutex
	topics map[string][]entry
	// grown is closed and replaced at each append.
	grown chan struct{}
	// answered has, by topic, a channel that is closed and replaced at each answer to a read.
	answered map[string]chan struct{}
}

func newStore() *store {
	return &store{topics: make(map[string][]entry), grown: make(chan struct{}), answered: make(map[string]chan struct{})}
}

// put appends a record if the topic ends at the offset at, or if at is negative.
func (s *store) put(topic string, at int, e entry) (end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end = len(s.topics[topic])
	if at >= 0 && at != end {
		return end, false
	}
	s.topics[topic] = append(s.topics[topic], e)
	close(s.grown)
	s.grown = make(chan struct{})
	return end, true
}

func (s *store) from(topic string, offset int) ([]entry, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[topic]
	return append([]entry(nil), list[min(offset, len(list)):]...), s.grown
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case names.NewestPath:
		s.newest(w, topic)
	case names.ReadPath:
		offset, _ := strconv.Atoi(q.Get("from")) // Daemons send a number.
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.read(w, r, topic, offset, time.Duration(wait)*time.Millisecond)
	case names.AppendPath:
		s.append(w, r, topic, q.Get("at"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	list, _ := s.from(topic, 0)
	last := make(map[string]int)
	for i, e := range list {
		last[e.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, i := range last {
		items = append(items, item{key, list[i].value, i})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(list)}) // The daemon may have left.
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string, offset int, wait time.Duration) {
	list, grown := s.from(topic, offset)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting && len(list) == 0; {
		select {
		case <-grown:
			list, grown = s.from(topic, offset)
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(offset+len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range list {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
		out = append(append(append(out, byte(len(e.key))), e.key...), e.value...)
	}
	_, _ = w.Write(out) // The daemon may have left.
	s.mu.Lock()
	defer s.mu.Unlock()
	if done := s.answered[topic]; done != nil {
		close(done)
		delete(s.answered, topic)
	}
}

// nextRead returns a channel that is closed once the next read of a topic was answered.
func (s *store) nextRead(topic string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered[topic] == nil {
		s.answered[topic] = make(chan struct{})
	}
	return s.answered[topic]
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic, at string) {
	const head = 5 // The length of the record, and that of its key.
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) < head || len(data) < head+int(data[head-1]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	offset := -1
	if at != "" {
		if offset, err = strconv.Atoi(at); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	n := head + int(data[head-1])
	end, ok := s.put(topic, offset, entry{string(data[head:n]), append([]byte(nil), data[n:]...)})
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end": end + 1})
}
