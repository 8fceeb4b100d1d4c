package trial

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store with keyed topics of one partition. It
// keeps all records; the newest ones are listed without the keys that were dropped.
type store struct {
	d *deployment

	mu     sync.Mutex
	topics map[string][]keyedRecord
	// appended is closed and replaced at each append.
	appended chan struct{}
}

type keyedRecord struct {
	key   string
	value []byte
}

func newStore(d *deployment) *store {
	return &store{d: d, topics: make(map[string][]keyedRecord), appended: make(chan struct{})}
}

// put appends a record; an empty value drops the key.
func (s *store) put(topic, key, value string) int {
	offset, _ := s.putAt(topic, -1, keyedRecord{key, []byte(value)})
	return offset
}

// putAt appends a record if the topic ends at an offset, or if that is negative. It
// returns the end of the topic before.
func (s *store) putAt(topic string, at int, r keyedRecord) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at >= 0 && at != end {
		return end, false
	}
	s.topics[topic] = append(s.topics[topic], r)
	close(s.appended)
	s.appended = make(chan struct{})
	return end, true
}

// from returns the records of a topic from an offset on.
func (s *store) from(topic string, offset int) ([]keyedRecord, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[topic]
	return slices.Clone(list[min(offset, len(list)):]), s.appended
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case "/currantwick/log-newest":
		s.newest(w, topic)
	case "/currantwick/log-read":
		from, err := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("waitMs")) // Without it there is no wait.
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.read(w, topic, from, time.Duration(wait)*time.Millisecond)
	case "/currantwick/log-append":
		s.append(w, r, topic, q.Get("at"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	list, _ := s.from(topic, 0)
	last := make(map[string]int)
	for i, r := range list {
		last[r.key] = i
	}
	items := []map[string]any{}
	for key, i := range last {
		if len(list[i].value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(list[i].value), "offset": i})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, text(map[string]any{"items": items, "more": false, "end": len(list)}))
}

func (s *store) read(w http.ResponseWriter, topic string, from int, wait time.Duration) {
	list, appended := s.from(topic, from)
	for end := time.Now().Add(wait); len(list) == 0; {
		timer := time.NewTimer(time.Until(end))
		select {
		case <-appended:
			list, appended = s.from(topic, from)
			timer.Stop()
			continue
		case <-timer.C:
		}
		break
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(from+len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range list {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	_, _ = w.Write(out) // The caller may have left.
}

// lengthBytes is the size of a record's length.
const lengthBytes = 4

func (s *store) append(w http.ResponseWriter, r *http.Request, topic, at string) {
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) <= lengthBytes || len(data) < lengthBytes+1+int(data[lengthBytes]) {
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
	data = data[lengthBytes:]
	n := 1 + int(data[0])
	end, ok := s.putAt(topic, offset, keyedRecord{string(data[1:n]), data[n:]})
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, end)
		return
	}
	if strings.HasPrefix(string(data[1:n]), "term/") {
		s.d.notef("store: offset %d is %s = %s", end, data[1:n], data[n:])
	}
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, end, end+1)
}
