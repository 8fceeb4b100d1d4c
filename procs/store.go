package procs

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"currantwick"
	"currantwick/pause"
)

// Topics of the store.
const (
	topicConfig  = "keyed.op"
	topicRunners = "keyed.servers"
)

// record is a keyed record.
type record struct {
	key   string
	value []byte
}

// StoreMode is how the store handles calls.
type StoreMode string

// The modes of the store.
const (
	StoreServes StoreMode = "Serves"
	// StoreFails answers every call with an error.
	StoreFails StoreMode = "Fails"
	// StoreDropsAnswers executes calls and drops their answers.
	StoreDropsAnswers StoreMode = "Forgets"
	// StoreLags executes calls late.
	StoreLags StoreMode = "Lags"
)

// storeLag is how late StoreLags executes a call. It is longer than the time that
// daemons allow beyond the wait that they request, so all calls without a wait
// time out.
const storeLag = time.Second

// Store is a fake of the platform's store.
type Store struct {
	// alias maps the addresses that daemons publish to those at which others
	// reach them, which may be a proxy's.
	alias map[wick.Address]wick.Address

	mu     sync.Mutex
	mode   StoreMode
	topics map[string][]record
	// appended is closed and replaced when a record is appended.
	appended chan struct{}
}

// NewStore returns an empty store that replaces the keys of alias by their
// values in the records that daemons append.
func NewStore(alias map[wick.Address]wick.Address) *Store {
	return &Store{alias: alias, mode: StoreServes, topics: make(map[string][]record), appended: make(chan struct{})}
}

// SetMode sets how the store handles calls from now on.
func (s *Store) SetMode(m StoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// PutConfig publishes a configuration.
func (s *Store) PutConfig(configuration string) {
	s.put(topicConfig, -1, record{"config", []byte(configuration)})
}

// PutRevision publishes a version of an adapter.
func (s *Store) PutRevision(l wick.Loaded) {
	w := l.Weights
	value := fmt.Sprintf(`{"model":%q,"adapter":%q,"version":%d}`, w.Model, w.Adapter, l.Revision)
	s.put(topicConfig, -1, record{fmt.Sprintf("version/%s.%s", w.Model, w.Adapter), []byte(value)})
}

// PutRunner publishes the record of a runner; an empty value removes it.
func (s *Store) PutRunner(name wick.EndpointName, value string) {
	s.put(topicRunners, -1, record{string(name), []byte(value)})
}

// put appends records if the topic ends at the offset at, or if at is negative.
// It returns the end of the topic before the append and whether it appended.
func (s *Store) put(topic string, at int, records ...record) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at >= 0 && at != end {
		return end, false
	}
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.appended)
	s.appended = make(chan struct{})
	return end, true
}

func (s *Store) recordsFrom(topic string, from int) ([]record, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[topic]
	return slices.Clone(list[min(from, len(list)):]), s.appended
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case StoreServes:
		s.serve(w, r)
	case StoreFails:
		w.WriteHeader(http.StatusServiceUnavailable)
	case StoreDropsAnswers:
		s.serve(discard{}, r)
		panic(http.ErrAbortHandler)
	case StoreLags:
		// Read the body before the caller times out and closes the connection.
		data, _ := io.ReadAll(r.Body)
		pause.For(context.Background(), storeLag) // The call is executed after its sender has timed out.
		r.Body = io.NopCloser(strings.NewReader(string(data)))
		s.serve(w, r)
	}
}

// discard is a response writer that drops the answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case "/currantwick/log-newest":
		s.newest(w, topic)
	case "/currantwick/log-read":
		from, err := strconv.Atoi(q.Get("from"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		wait, _ := strconv.Atoi(q.Get("waitMs")) // Without the parameter, don't wait.
		s.read(w, topic, from, time.Duration(wait)*time.Millisecond)
	case "/currantwick/log-append":
		s.append(w, topic, q.Get("at"), r.Body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// lengthBytes is the size of the length before a record.
const lengthBytes = 4

func (s *Store) append(w http.ResponseWriter, topic, at string, body io.Reader) {
	data, err := io.ReadAll(body)
	records, ok := s.decode(data)
	if err != nil || !ok {
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
	if offset, ok = s.put(topic, offset, records...); !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, offset)
}

// decode decodes the records of one call, and reports whether they are complete. A
// record is a length, that of the key, the key and the value.
func (s *Store) decode(data []byte) ([]record, bool) {
	var list []record
	for len(data) > 0 {
		if len(data) <= lengthBytes {
			return nil, false
		}
		n, keyLength := int(binary.BigEndian.Uint32(data)), int(data[lengthBytes])
		data = data[lengthBytes:]
		if n > len(data) || n < 1+keyLength {
			return nil, false
		}
		list = append(list, record{string(data[1 : 1+keyLength]), s.replaceAliases(data[1+keyLength : n])})
		data = data[n:]
	}
	return list, len(list) > 0
}

func (s *Store) replaceAliases(value []byte) []byte {
	text := string(value)
	for from, to := range s.alias {
		text = strings.ReplaceAll(text, `"`+string(from)+`"`, `"`+string(to)+`"`)
	}
	return []byte(text)
}

func (s *Store) newest(w http.ResponseWriter, topic string) {
	list, _ := s.recordsFrom(topic, 0)
	last := make(map[string]int)
	for i, r := range list {
		last[r.key] = i
	}
	items := []map[string]any{}
	for key, i := range last {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(list[i].value), "offset": i})
	}
	// The client may have disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(list)})
}

func (s *Store) read(w http.ResponseWriter, topic string, from int, wait time.Duration) {
	list, appended := s.recordsFrom(topic, from)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting && len(list) == 0; {
		select {
		case <-appended:
			list, appended = s.recordsFrom(topic, from)
		case <-timer.C:
			waiting = false
		}
	}
	// The header holds the end offset of the records that follow and the first
	// offset that the store still has, here always 0.
	out := binary.BigEndian.AppendUint64(nil, uint64(from+len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range list {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	_, _ = w.Write(out) // The client may have disconnected.
}
