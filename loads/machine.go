package loads

import (
	"runtime"
	"runtime/metrics"
	"slices"
	"time"

	"currantwick"
)

// Machine tells whether the machine and not the system was the limit.
type Machine struct {
	// Late is how late the load was sent, for the slowest in a hundred.
	Late wick.Duration `json:"Late"`
	// Wait is how long ready goroutines waited for a processor, for the
	// slowest in a hundred.
	Wait wick.Duration `json:"Wait"`
	// Busy is the share of the processors that this process used.
	Busy float64 `json:"Busy"`
	// Limit tells that the figures are the machine's.
	Limit bool `json:"Limit"`
}

// Bounds beyond which the machine is taken to be the limit.
const (
	lateMost = 20 * time.Millisecond
	waitMost = 10 * time.Millisecond
	busyMost = 0.8
)

const (
	metricWait = "/sched/latencies:seconds"
	metricUser = "/cpu/classes/user:cpu-seconds"
	metricGC   = "/cpu/classes/gc/total:cpu-seconds"
)

// watch notes the state of the machine at the start of a run.
type watch struct {
	start time.Time
	waits []uint64
	cpu   float64
}

func watchMachine() watch {
	waits, cpu, _ := readMetrics()
	return watch{time.Now(), waits, cpu}
}

func readMetrics() (waits []uint64, cpu float64, bounds []float64) {
	s := []metrics.Sample{{Name: metricWait}, {Name: metricUser}, {Name: metricGC}}
	runtime.GC() // the processor metrics are brought up to date by a collection
	metrics.Read(s)
	h := s[0].Value.Float64Histogram()
	return slices.Clone(h.Counts), s[1].Value.Float64() + s[2].Value.Float64(), h.Buckets
}

// end compares the state with that at the start.
func (w watch) end(answers []Answer) Machine {
	waits, cpu, bounds := readMetrics()
	var all uint64
	for i := range waits {
		waits[i] -= w.waits[i]
		all += waits[i]
	}
	m := Machine{
		Late: wick.Duration(lateness(answers)),
		Busy: (cpu - w.cpu) / (time.Since(w.start).Seconds() * float64(runtime.GOMAXPROCS(0))),
	}
	var sum uint64
	for i, n := range waits {
		if sum += n; sum*100 >= all*99 {
			m.Wait = wick.Duration(bounds[i] * float64(time.Second))
			break
		}
	}
	m.Limit = m.Late.Std() > lateMost || m.Wait.Std() > waitMost || m.Busy > busyMost
	return m
}

func lateness(answers []Answer) time.Duration {
	if len(answers) == 0 {
		return 0
	}
	var all []time.Duration
	for _, a := range answers {
		all = append(all, a.Late)
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}
