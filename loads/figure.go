package loads

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantwick"
)

// FigureName names a figure of a run.
type FigureName string

// The figures of a run. Shares are 0 to 1, times are in milliseconds. Short
// requests are those of the first pool that are not long; shares and times of
// requests count from when they were due to be sent.
const (
	LoadsPerRequest FigureName = "load stalls: loads a request"
	LoadsOfBest     FigureName = "load stalls: times a clairvoyant cache"
	Stalled         FigureName = "load stalls: short over 1 s to first token, share"
	BatchFill       FigureName = "batch: fill of steps, calm, share"
	BatchTokens     FigureName = "batch: tokens of full speed, calm, share"
	CrestTokens     FigureName = "crest: tokens of full speed, share"
	CrestShort      FigureName = "crest: short first token in time, share"
	CrestLong       FigureName = "crest: long first token in time, share"
	ShortFirst50    FigureName = "head of line: short first token 50th, ms"
	ShortFirst99    FigureName = "head of line: short first token 99th, ms"
	QuickFirst99    FigureName = "head of line: second pool first token 99th, ms"
	CommandLast99   FigureName = "head of line: command 99th, ms"
	LongFirst99     FigureName = "long first token 99th, ms"
	StraggleLast99  FigureName = "stragglers: short end 99th, ms"
	StraggleOfCalm  FigureName = "stragglers: that as times the calm one"
	ShiftShort      FigureName = "after shift and restart: short in time, share"
	ShiftFirst99    FigureName = "after shift and restart: short first token 99th, ms"
	InTime          FigureName = "all: first token in time, share"
	RefusedShare    FigureName = "all: refused as not run, share"
	FailedCount     FigureName = "all: failed or broken off"
	WrongCount      FigureName = "all: wrong answers"
	EvictedCount    FigureName = "all: adapters evicted while serving"
	MostCommandRuns FigureName = "all: most runs of one command"
)

// Figure is one figure of a run.
type Figure struct {
	Name  FigureName `json:"Name"`
	Value float64    `json:"Value"`
}

// stallFrom is the time to the first token from which a request has stalled.
const stallFrom = time.Second

// Bounds and precision of the histograms, in microseconds.
const (
	leastMicros = 1
	mostMicros  = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
)

// sample is a set of answers and what was measured of them.
type sample struct {
	all     int
	inTime  int
	stalled int
	first   *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
}

func newSample() *sample {
	return &sample{
		first: hdrhistogram.New(leastMicros, mostMicros, digits),
		last:  hdrhistogram.New(leastMicros, mostMicros, digits),
	}
}

// record notes a time. One that is out of the histogram's bounds counts as the
// bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(d.Microseconds(), leastMicros), mostMicros)
	if err := h.RecordValue(v); err != nil {
		return
	}
}

func (s *sample) add(k Kind, a Answer) {
	s.all++
	if a.Ending != Whole {
		return
	}
	if a.First <= k.Deadline.Std() {
		s.inTime++
	}
	if a.First > stallFrom {
		s.stalled++
	}
	record(s.first, a.First)
	record(s.last, a.Last)
}

func (s *sample) share(n int) float64 {
	if s.all == 0 {
		return 0
	}
	return float64(n) / float64(s.all)
}

func millis(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// group tells the requests that are measured together.
type group int

const (
	groupShort group = iota
	groupLong
	groupQuick
	groupCommand
	groups
)

func (s Scene) group(k Kind) group {
	switch {
	case k.IsCall():
		return groupCommand
	case k.Pool != s.Pools[0].Name:
		return groupQuick
	case k.Long:
		return groupLong
	}
	return groupShort
}

// tallies are the samples of a run.
type tallies struct {
	phase map[PhaseName]*[groups]*sample
	all   *sample
	// endings counts the measured requests by how they ended.
	endings map[Ending]int
}

func (s Scene) tally(answers []Answer) tallies {
	t := tallies{map[PhaseName]*[groups]*sample{}, newSample(), map[Ending]int{}}
	for _, a := range answers {
		k := s.Kinds[a.Kind]
		name := s.Phases[a.Phase].Name
		p := t.phase[name]
		if p == nil {
			p = &[groups]*sample{}
			for g := range p {
				p[g] = newSample()
			}
			t.phase[name] = p
		}
		p[s.group(k)].add(k, a)
		if name != PhaseWarm {
			t.all.add(k, a)
			t.endings[a.Ending]++
		}
	}
	return t
}

// of returns a sample of a phase, empty if there was none.
func (t tallies) of(p PhaseName, g group) *sample {
	if x := t.phase[p]; x != nil {
		return x[g]
	}
	return newSample()
}

// Figures takes the figures from a run.
func Figures(s Scene, o Outcome) []Figure {
	t := s.tally(o.Answers)
	calm, straggle := t.of(PhaseCalm, groupShort), t.of(PhaseStraggle, groupShort)
	crest, shift := t.of(PhaseCrest, groupShort), t.of(PhaseShift, groupShort)
	crestLong := t.of(PhaseCrest, groupLong)
	loads, best, uses := s.loads(o)
	calmSeen, crestSeen := s.seenIn(o, PhaseCalm), s.seenIn(o, PhaseCrest)
	straggle99 := millis(straggle.last, 99)
	slots := float64(s.Engine.BatchSlots)
	stalled := newSample()
	for _, x := range []*sample{calm, straggle, shift} {
		stalled.all += x.all
		stalled.stalled += x.stalled + x.all - int(x.first.TotalCount())
	}
	return []Figure{
		{LoadsPerRequest, ratio(loads, uses)},
		{LoadsOfBest, ratio(loads, best)},
		{Stalled, stalled.share(stalled.stalled)},
		{BatchFill, ratio(float64(calmSeen.BatchSum), float64(calmSeen.Steps)*slots)},
		{BatchTokens, ratio(float64(calmSeen.Tokens), s.fullTokens(PhaseCalm))},
		{CrestTokens, ratio(float64(crestSeen.Tokens), s.fullTokens(PhaseCrest))},
		{CrestShort, crest.share(crest.inTime)},
		{CrestLong, crestLong.share(crestLong.inTime)},
		{ShortFirst50, millis(calm.first, 50)},
		{ShortFirst99, millis(calm.first, 99)},
		{QuickFirst99, millis(t.of(PhaseCalm, groupQuick).first, 99)},
		{CommandLast99, millis(t.of(PhaseCalm, groupCommand).last, 99)},
		{LongFirst99, millis(t.of(PhaseCalm, groupLong).first, 99)},
		{StraggleLast99, straggle99},
		{StraggleOfCalm, ratio(straggle99, millis(calm.last, 99))},
		{ShiftShort, shift.share(shift.inTime)},
		{ShiftFirst99, millis(shift.first, 99)},
		{InTime, t.all.share(t.all.inTime)},
		{RefusedShare, t.all.share(t.endings[Refused])},
		{FailedCount, float64(t.endings[Failed])},
		{WrongCount, float64(t.endings[Wrong] + s.total(o).WrongModel)},
		{EvictedCount, float64(s.total(o).Violations)},
		{MostCommandRuns, float64(o.MostRuns)},
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// loads returns the loads of the measured phases, those that a clairvoyant
// cache of the same slots would have needed for all requests sent, and how
// many requests for adapters were sent.
func (s Scene) loads(o Outcome) (loads, best, uses float64) {
	for i, p := range s.Phases {
		if p.Name != PhaseWarm {
			loads += float64(o.Phases[i].Loads)
		}
	}
	for _, p := range s.Pools {
		var list []int
		first := 0
		for _, a := range o.Answers {
			if s.Kinds[a.Kind].Pool != p.Name {
				continue
			}
			list = append(list, a.Adapter)
			if s.Phases[a.Phase].Name == PhaseWarm {
				first = len(list)
			}
		}
		best += float64(Clairvoyant(list, s.slots(p.Name), first))
		uses += float64(len(list) - first)
	}
	return loads, best, uses
}

// seenIn returns what the engines counted in all phases of a name.
func (s Scene) seenIn(o Outcome, name PhaseName) seen {
	var out seen
	for i, p := range s.Phases {
		if p.Name == name {
			out = out.plus(o.Phases[i])
		}
	}
	return out
}

func (s Scene) total(o Outcome) seen {
	var out seen
	for _, p := range o.Phases {
		out = out.plus(p)
	}
	return out
}

// fullTokens returns how many tokens the first pool generates with full batches
// in the phases of a name.
func (s Scene) fullTokens(name PhaseName) float64 {
	var d wick.Duration
	for _, p := range s.Phases {
		if p.Name == name {
			d += p.For
		}
	}
	return s.fullRate(s.Pools[0].Name) * d.Std().Seconds()
}
