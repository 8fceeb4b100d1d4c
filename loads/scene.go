// Package loads measures the system under load. It generates requests from a
// seed, sends them without waiting for the answers to earlier ones, injects the
// faults of a scene, and compares the figures of the chosen policies with those
// of the baseline policies. The figures describe load stalls, batch
// utilization, peak load, head-of-line blocking, stragglers, and the recovery after
// a shift of popularity and a restart of runners.
package loads

import (
	"embed"
	"fmt"
	"slices"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/fakes"
)

//go:embed scenes/*.json
var scenes embed.FS

// Scene describes a deployment, its load and the faults that are injected.
type Scene struct {
	Name    string        `json:"Name"`
	Daemons int           `json:"Daemons"`
	Domains []wick.Domain `json:"Domains"`
	// Adapters is the number of adapters, and Skew the exponent of the Zipf
	// distribution of their popularity.
	Adapters int     `json:"Adapters"`
	Skew     float64 `json:"Skew"`
	// Drift is the interval at which one of the most popular tenth of the adapters
	// swaps its popularity with a random other; 0 means never.
	Drift wick.Duration `json:"Drift,omitempty"`
	// Store and Engine configure the fakes; all engines are alike.
	Store  fakes.StoreConfig  `json:"Store"`
	Engine fakes.EngineConfig `json:"Engine"`
	// Pools are the pools of runners. Faults are injected into the first one.
	Pools []Pool `json:"Pools"`
	// Services is the number of plain services, which are not inference engines,
	// and ServiceTime how long they take for a call.
	Services    int           `json:"Services"`
	ServiceTime wick.Duration `json:"ServiceTime"`
	Kinds       []Kind        `json:"Kinds"`
	// Phases run one after the other.
	Phases []Phase `json:"Phases"`
}

// Pool is a pool of identical runners.
type Pool struct {
	Name    wick.PoolName `json:"Name"`
	Runners int           `json:"Runners"`
}

// Kind is a kind of request.
type Kind struct {
	// Name is also the name of the priority.
	Name wick.PriorityName `json:"Name"`
	// Pool is the pool that runs the requests; empty for non-idempotent calls of
	// the plain services.
	Pool wick.PoolName `json:"Pool,omitempty"`
	// Rate is the average number of requests per second.
	Rate wick.PerSecond `json:"Rate"`
	// Adapters limits the requests to that many adapters, those with the lowest
	// numbers; 0 means all.
	Adapters int `json:"Adapters,omitempty"`
	// Prompt and Answer are average lengths. Lengths are distributed uniformly from
	// 0.5 to 1.5 times the average.
	Prompt wick.Tokens `json:"Prompt,omitempty"`
	Answer wick.Tokens `json:"Answer,omitempty"`
	// Long marks long-running requests, which must not slow down the others.
	Long      bool          `json:"Long,omitempty"`
	Level     wick.Level    `json:"Level"`
	Sheddable bool          `json:"Sheddable,omitempty"`
	Deadline  wick.Duration `json:"Deadline"`
}

// IsCall reports whether the requests are calls of plain services.
func (k Kind) IsCall() bool { return k.Pool == "" }

// PhaseName names a phase of a scene.
type PhaseName string

// The phases of scenes.
const (
	// PhaseWarmup precedes the measured phases. It counts only in Machine, in
	// Trial.Codes, and in the wrong adapters that engines report, the evictions
	// and the runs of commands.
	PhaseWarmup PhaseName = "Warm"
	// PhaseCalm has the usual load.
	PhaseCalm PhaseName = "Calm"
	// PhaseCrest has the peak load.
	PhaseCrest PhaseName = "Crest"
	// PhaseStraggle has some runners slowed down.
	PhaseStraggle PhaseName = "Straggle"
	// PhaseShift begins with a shuffle of the adapters' popularity and a restart of
	// runners without loaded adapters.
	PhaseShift PhaseName = "Shift"
	// PhaseDrain lets the backlog of the previous phase drain. Its requests count
	// only in the figures named "all", LoadsPerRequest and LoadsVsClairvoyant.
	PhaseDrain PhaseName = "Rest"
)

// Phase is a part of a scene with its load and faults.
type Phase struct {
	Name PhaseName     `json:"Name"`
	For  wick.Duration `json:"For"`
	// Rate multiplies the rate of all requests; 0 means 1.
	Rate float64 `json:"Rate,omitempty"`
	// Slow multiplies the step time of the first SlowRunners runners of the first
	// pool.
	Slow        float64 `json:"Slow,omitempty"`
	SlowRunners int     `json:"SlowRunners,omitempty"`
	// Shuffle is how many of the most popular adapters swap their popularity with
	// random others when the phase begins. It is ignored in the first phase.
	Shuffle int `json:"Shuffle,omitempty"`
	// Restarts is how many runners of the first pool restart without loaded
	// adapters when the phase begins.
	Restarts int `json:"Restarts,omitempty"`
}

// Check implements wick.Checker.
func (s Scene) Check() error {
	switch {
	case s.Name == "":
		return &wick.FieldError{Field: "Name", Text: "must not be empty"}
	case s.Daemons < 1 || len(s.Domains) == 0:
		return &wick.FieldError{Field: "Daemons, Domains", Text: "at least one"}
	case s.Adapters < 1 || s.Skew < 0:
		return &wick.FieldError{Field: "Adapters, Skew", Text: "must be positive"}
	case len(s.Pools) == 0 || len(s.Kinds) == 0 || len(s.Phases) == 0:
		return &wick.FieldError{Field: "Pools, Kinds, Phases", Text: "at least one"}
	}
	for _, k := range s.Kinds {
		if err := s.checkKind(k); err != nil {
			return fmt.Errorf("kind %s: %w", k.Name, err)
		}
	}
	for _, p := range s.Phases {
		if p.For <= 0 || p.Rate < 0 || p.Slow < 0 {
			return fmt.Errorf("phase %s: For must be positive, Rate and Slow must not be negative", p.Name)
		}
		if p.Shuffle < 0 || p.Shuffle > s.Adapters {
			return fmt.Errorf("phase %s: Shuffle must be from 0 to the number of adapters", p.Name)
		}
		if p.SlowRunners > s.Pools[0].Runners || p.Restarts > s.Pools[0].Runners {
			return fmt.Errorf("phase %s: SlowRunners and Restarts must not exceed the runners of the first pool", p.Name)
		}
	}
	return nil
}

func (s Scene) checkKind(k Kind) error {
	if k.Rate <= 0 || k.Deadline <= 0 {
		return &wick.FieldError{Field: "Rate, Deadline", Text: "must be positive"}
	}
	if k.Adapters < 0 || k.Adapters > s.Adapters {
		return &wick.FieldError{Field: "Adapters", Text: "must be 0 to those of the scene"}
	}
	if k.IsCall() {
		if s.Services < 1 {
			return &wick.FieldError{Field: "Pool", Text: "is empty, but there are no services"}
		}
		return nil
	}
	if !slices.ContainsFunc(s.Pools, func(p Pool) bool { return p.Name == k.Pool }) {
		return &wick.FieldError{Field: "Pool", Text: "there is no pool " + string(k.Pool)}
	}
	if k.Answer < 2 || k.Prompt < 2 {
		return &wick.FieldError{Field: "Prompt, Answer", Text: "at least 2"}
	}
	return nil
}

// Length returns how long the scene takes, without the wait for the last answers.
func (s Scene) Length() time.Duration {
	var d time.Duration
	for _, p := range s.Phases {
		d += p.For.Std()
	}
	return d
}

// runners returns the number of runners in all pools.
func (s Scene) runners() int {
	n := 0
	for _, p := range s.Pools {
		n += p.Runners
	}
	return n
}

// Parse decodes a scene from JSON.
func Parse(data []byte) (Scene, error) {
	var s Scene
	if err := codec.DecodeJSON(data, &s); err != nil {
		return s, fmt.Errorf("scene: %w", err)
	}
	return s, nil
}

// Builtin returns the built-in scene with a name.
func Builtin(name string) (Scene, error) {
	data, err := scenes.ReadFile("scenes/" + name + ".json")
	if err != nil {
		return Scene{}, fmt.Errorf("scene %s: %w", name, err)
	}
	return Parse(data)
}
