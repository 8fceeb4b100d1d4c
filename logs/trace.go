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
	// around is how far from a request's lines those about its endpoint and
	// adapter may be: the longest wait for a load, and the clocks of two hosts,
	// which may differ by seconds.
	around = 10 * time.Second
	// maxLine bounds one line.
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

// Trace returns the lines about a request in order of time: its own, and those
// about an endpoint that it was sent to, or about its adapter there, shortly
// before and after.
func Trace(request string, from ...io.Reader) ([]Line, error) {
	var all []Line
	for _, r := range from {
		list, err := read(r)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	own := slices.DeleteFunc(slices.Clone(all), func(l Line) bool { return l.Request != request })
	if len(own) == 0 {
		return nil, nil
	}
	lines := slices.DeleteFunc(all, func(l Line) bool { return !concerns(l, own) })
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// concerns tells whether a line belongs to the story of a request's own lines.
func concerns(l Line, own []Line) bool {
	for _, o := range own {
		near := l.Time.Sub(o.Time).Abs() <= around
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

// read returns the lines of a log. What is before a line's JSON, such as a
// collector's own time, is passed over, and so is a line without any.
func read(r io.Reader) ([]Line, error) {
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
