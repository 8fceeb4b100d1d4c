package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// traceWindow is how far in time lines about a request's endpoint and
	// adapter may be from the request's own lines. It covers the longest wait
	// for a load and the difference between the clocks of two hosts, which may
	// be seconds.
	traceWindow = 10 * time.Second
	// maxLine bounds the bytes of one line.
	maxLine = 1 << 20
)

// Line is one line of a daemon's log.
type Line struct {
	Time     time.Time `json:"time"`
	Host     string    `json:"host"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Endpoint string    `json:"endpoint"`
	Weights  string    `json:"weights"`
	// Text is the line as it was written.
	Text string `json:"-"`
}

// Trace returns the log lines related to a request, sorted by time: the lines
// with its id, and lines without a request id that are within traceWindow of one
// of these and name the same endpoint, except lines about another adapter.
func Trace(request string, from ...io.Reader) ([]Line, error) {
	var all []Line
	for _, r := range from {
		list, err := readLines(r)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	own := slices.DeleteFunc(slices.Clone(all), func(l Line) bool { return l.Request != request })
	if len(own) == 0 {
		return nil, nil
	}
	lines := slices.DeleteFunc(all, func(l Line) bool { return !related(l, own) })
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// related reports whether a line belongs to the trace of a request. own holds
// the lines with the request's id.
func related(l Line, own []Line) bool {
	for _, o := range own {
		near := l.Time.Sub(o.Time).Abs() <= traceWindow
		switch {
		case l.Request == o.Request:
			return true
		case l.Request != "" || !near || l.Endpoint == "" || l.Endpoint != o.Endpoint:
		case l.Weights == "" || cmp.Or(o.Weights, l.Weights) == l.Weights:
			return true
		}
	}
	return false
}

// readLines parses the lines of a log. It skips text before the JSON, such as a
// collector's timestamp, and lines without valid JSON.
func readLines(r io.Reader) ([]Line, error) {
	var list []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		at := bytes.IndexByte(sc.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(sc.Bytes()[at:], &l); err != nil {
			continue
		}
		l.Text = string(sc.Bytes()[at:])
		list = append(list, l)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return list, nil
}
