package loads

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantwick"
)

// FigureName is the name of a figure in the table of results.
type FigureName string

// The figures of a run. Shares are from 0 to 1, times are in milliseconds. Short
// requests are those of the first pool that are not long. Latencies are measured
// from the time when a request was due to be sent. Only complete answers are in
// time, and Stalled covers the calm, straggler and shift phases.
const (
	LoadsPerRequest    FigureName = "load stalls: loads a request"
	LoadsVsClairvoyant FigureName = "load stalls: times a clairvoyant cache"
	Stalled            FigureName = "load stalls: short over 1 s to first token, share"
	BatchFill          FigureName = "batch: fill of steps, calm, share"
	BatchTokens        FigureName = "batch: tokens of full speed, calm, share"
	CrestTokens        FigureName = "crest: tokens of full speed, share"
	CrestShort         FigureName = "crest: short first token in time, share"
	CrestLong          FigureName = "crest: long first token in time, share"
	ShortFirst50       FigureName = "head of line: short first token 50th, ms"
	ShortFirst99       FigureName = "head of line: short first token 99th, ms"
	OtherPoolsFirst99  FigureName = "head of line: second pool first token 99th, ms"
	CommandLast99      FigureName = "head of line: command 99th, ms"
	LongFirst99        FigureName = "long first token 99th, ms"
	StraggleLast99     FigureName = "stragglers: short end 99th, ms"
	StraggleVsCalm     FigureName = "stragglers: that as times the calm one"
	ShiftShort         FigureName = "after shift and restart: short in time, share"
	ShiftFirst99       FigureName = "after shift and restart: short first token 99th, ms"
	InTime             FigureName = "all: first token in time, share"
	RefusedShare       FigureName = "all: refused as not run, share"
	FailedCount        FigureName = "all: failed or broken off"
	WrongCount         FigureName = "all: wrong answers"
	EvictedCount       FigureName = "all: adapters evicted while serving"
	MostCommandRuns    FigureName = "all: most runs of one command"
)

// Figure is one figure of a run.
type Figure struct {
	Name  FigureName `json:"Name"`
	Value float64    `json:"Value"`
}

// stallThreshold is the time to the first token above which a request has stalled.
// A request without a complete answer counts as stalled too.
const stallThreshold = time.Second

// Bounds of the histograms in microseconds, and their significant digits.
const (
	minMicros = 1
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// sample holds counts and latencies of a set of answers.
type sample struct {
	all     int
	inTime  int
	stalled int
	first   *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
}

func newSample() *sample {
	return &sample{
		first: hdrhistogram.New(minMicros, maxMicros, digits),
		last:  hdrhistogram.New(minMicros, maxMicros, digits),
	}
}

// record records a latency, clamped to the histogram's bounds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(d.Microseconds(), minMicros), maxMicros)
	if err := h.RecordValue(v); err != nil {
		return
	}
}

func (s *sample) add(k Kind, a Answer) {
	s.all++
	if a.Ending != Complete {
		return
	}
	if a.First <= k.Deadline.Std() {
		s.inTime++
	}
	if a.First > stallThreshold {
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

// group is a class of requests that are measured together.
type group int

const (
	groupShort group = iota
	groupLong
	// groupOtherPools holds the requests to all pools but the first.
	groupOtherPools
	groupCommand
	groupCount
)

func (s Scene) group(k Kind) group {
	switch {
	case k.IsCall():
		return groupCommand
	case k.Pool != s.Pools[0].Name:
		return groupOtherPools
	case k.Long:
		return groupLong
	}
	return groupShort
}

// tallies holds the samples of a run.
type tallies struct {
	phase map[PhaseName]*[groupCount]*sample
	all   *sample
	// endings counts the requests outside of the warm-up by how they ended.
	endings map[Ending]int
}

func (s Scene) tally(answers []Answer) tallies {
	t := tallies{map[PhaseName]*[groupCount]*sample{}, newSample(), map[Ending]int{}}
	for _, a := range answers {
		k := s.Kinds[a.Kind]
		name := s.Phases[a.Phase].Name
		p := t.phase[name]
		if p == nil {
			p = &[groupCount]*sample{}
			for g := range p {
				p[g] = newSample()
			}
			t.phase[name] = p
		}
		p[s.group(k)].add(k, a)
		if name != PhaseWarmup {
			t.all.add(k, a)
			t.endings[a.Ending]++
		}
	}
	return t
}

// phaseSample returns the sample of a group in a phase, or an empty one if there
// is none.
func (t tallies) phaseSample(p PhaseName, g group) *sample {
	if x := t.phase[p]; x != nil {
		return x[g]
	}
	return newSample()
}

// Figures computes the figures of a run. Answers of the warm-up phase are left
// out, but fill the clairvoyant cache.
func Figures(s Scene, o RunResult) []Figure {
	t := s.tally(o.Answers)
	calm, straggle := t.phaseSample(PhaseCalm, groupShort), t.phaseSample(PhaseStraggle, groupShort)
	crest, shift := t.phaseSample(PhaseCrest, groupShort), t.phaseSample(PhaseShift, groupShort)
	crestLong := t.phaseSample(PhaseCrest, groupLong)
	adapterLoads, best, uses := s.adapterLoads(o)
	calmCounters, crestCounters := s.countersIn(o, PhaseCalm), s.countersIn(o, PhaseCrest)
	straggle99 := millis(straggle.last, 99)
	slots := float64(s.Engine.BatchSlots)
	stalled := newSample()
	for _, x := range []*sample{calm, straggle, shift} {
		stalled.all += x.all
		stalled.stalled += x.stalled + x.all - int(x.first.TotalCount())
	}
	return []Figure{
		{LoadsPerRequest, ratio(adapterLoads, uses)},
		{LoadsVsClairvoyant, ratio(adapterLoads, best)},
		{Stalled, stalled.share(stalled.stalled)},
		{BatchFill, ratio(float64(calmCounters.BatchSum), float64(calmCounters.Steps)*slots)},
		{BatchTokens, ratio(float64(calmCounters.Tokens), s.fullTokens(PhaseCalm))},
		{CrestTokens, ratio(float64(crestCounters.Tokens), s.fullTokens(PhaseCrest))},
		{CrestShort, crest.share(crest.inTime)},
		{CrestLong, crestLong.share(crestLong.inTime)},
		{ShortFirst50, millis(calm.first, 50)},
		{ShortFirst99, millis(calm.first, 99)},
		{OtherPoolsFirst99, millis(t.phaseSample(PhaseCalm, groupOtherPools).first, 99)},
		{CommandLast99, millis(t.phaseSample(PhaseCalm, groupCommand).last, 99)},
		{LongFirst99, millis(t.phaseSample(PhaseCalm, groupLong).first, 99)},
		{StraggleLast99, straggle99},
		{StraggleVsCalm, ratio(straggle99, millis(calm.last, 99))},
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

// adapterLoads returns the adapter loads of the measured phases, the loads that a
// clairvoyant cache with the same number of slots would have needed for the same
// requests, and the number of requests for adapters.
func (s Scene) adapterLoads(o RunResult) (adapterLoads, best, uses float64) {
	for i, p := range s.Phases {
		if p.Name != PhaseWarmup {
			adapterLoads += float64(o.Phases[i].Loads)
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
			if s.Phases[a.Phase].Name == PhaseWarmup {
				first = len(list)
			}
		}
		best += float64(Clairvoyant(list, s.slots(p.Name), first))
		uses += float64(len(list) - first)
	}
	return adapterLoads, best, uses
}

// countersIn returns the engines' counters summed over the phases with a name.
func (s Scene) countersIn(o RunResult, name PhaseName) counters {
	var out counters
	for i, p := range s.Phases {
		if p.Name == name {
			out = out.plus(o.Phases[i])
		}
	}
	return out
}

func (s Scene) total(o RunResult) counters {
	var out counters
	for _, p := range o.Phases {
		out = out.plus(p)
	}
	return out
}

// fullTokens returns the number of tokens that the first pool would generate with
// full batches in the phases with a name.
func (s Scene) fullTokens(name PhaseName) float64 {
	var d wick.Duration
	for _, p := range s.Phases {
		if p.Name == name {
			d += p.For
		}
	}
	return s.fullRate(s.Pools[0].Name) * d.Std().Seconds()
}
