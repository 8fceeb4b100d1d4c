package loads

import (
	"runtime"
	"runtime/metrics"
	"slices"
	"time"

	"currantwick"
)

// Machine describes the load of the machine during a run. If Limit is set, the
// figures show the limits of the machine, not of the system under test.
type Machine struct {
	// Late is the 99th percentile of the delay with which requests were sent.
	Late wick.Duration `json:"Late"`
	// Wait is the 99th percentile of the time that runnable goroutines waited for
	// a processor.
	Wait wick.Duration `json:"Wait"`
	// Busy is the share of the processors that this process used.
	Busy float64 `json:"Busy"`
	// Limit is set when the machine limited the figures.
	Limit bool `json:"Limit"`
}

// Thresholds above which the machine is assumed to limit the figures.
const (
	maxLate = 20 * time.Millisecond
	maxWait = 10 * time.Millisecond
	maxBusy = 0.8
)

const (
	metricWait = "/sched/latencies:seconds"
	metricUser = "/cpu/classes/user:cpu-seconds"
	metricGC   = "/cpu/classes/gc/total:cpu-seconds"
)

// watch holds the machine's metrics at the start of a run.
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
	runtime.GC() // The runtime updates the CPU metrics at a collection.
	metrics.Read(s)
	h := s[0].Value.Float64Histogram()
	return slices.Clone(h.Counts), s[1].Value.Float64() + s[2].Value.Float64(), h.Buckets
}

// end returns the machine's load since the start of the run.
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
	m.Limit = m.Late.Std() > maxLate || m.Wait.Std() > maxWait || m.Busy > maxBusy
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
