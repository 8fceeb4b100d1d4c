// Package loads measures the system under load: it draws requests from a seed,
// sends them whether or not earlier ones were answered, causes the faults that
// a scene names, and tells how well the five measures were met, the chosen
// policies beside the plain ones.
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

// Scene describes one user's load and faults.
type Scene struct {
	Name    string        `json:"Name"`
	Daemons int           `json:"Daemons"`
	Domains []wick.Domain `json:"Domains"`
	// Adapters is how many adapters there are, and Skew the exponent of
	// their popularity.
	Adapters int     `json:"Adapters"`
	Skew     float64 `json:"Skew"`
	// Drift is the time after which one of the most popular tenth of the
	// adapters changes places with any other; 0 means never.
	Drift wick.Duration `json:"Drift,omitempty"`
	// Store and Engine configure the stand-ins; all engines are alike.
	Store  fakes.StoreConfig  `json:"Store"`
	Engine fakes.EngineConfig `json:"Engine"`
	// Pools are the runners.
	Pools []Pool `json:"Pools"`
	// Services is how many plain services there are, and ServiceTime how long
	// they take over a call.
	Services    int           `json:"Services"`
	ServiceTime wick.Duration `json:"ServiceTime"`
	Kinds       []Kind        `json:"Kinds"`
	// Phases follow one another.
	Phases []Phase `json:"Phases"`
}

// Pool is a number of like runners.
type Pool struct {
	Name    wick.PoolName `json:"Name"`
	Runners int           `json:"Runners"`
}

// Kind is a kind of requests.
type Kind struct {
	// Name is also the name of the priority.
	Name wick.PriorityName `json:"Name"`
	// Pool is where requests run; empty for calls of the services that must
	// not be repeated.
	Pool wick.PoolName `json:"Pool,omitempty"`
	// Rate is how many come a second, on average.
	Rate wick.PerSecond `json:"Rate"`
	// Adapters bounds the adapters that requests name to the first so many; 0
	// means all.
	Adapters int `json:"Adapters,omitempty"`
	// Prompt and Answer are average lengths; lengths are spread evenly from
	// half to one and a half times that.
	Prompt wick.Tokens `json:"Prompt,omitempty"`
	Answer wick.Tokens `json:"Answer,omitempty"`
	// Long tells that the requests are the long work beside which the others
	// must stay quick.
	Long      bool          `json:"Long,omitempty"`
	Level     wick.Level    `json:"Level"`
	Sheddable bool          `json:"Sheddable,omitempty"`
	Deadline  wick.Duration `json:"Deadline"`
}

// IsCall reports whether the requests are calls of plain services.
func (k Kind) IsCall() bool { return k.Pool == "" }

// PhaseName names a phase of a scene.
type PhaseName string

// The phases that the measures are taken from.
const (
	// PhaseWarm is not measured.
	PhaseWarm PhaseName = "Warm"
	// PhaseCalm is the ordinary load.
	PhaseCalm PhaseName = "Calm"
	// PhaseCrest is the top of a swing.
	PhaseCrest PhaseName = "Crest"
	// PhaseStraggle has some runners slowed.
	PhaseStraggle PhaseName = "Straggle"
	// PhaseShift has the popularity shifted and runners restarted cold.
	PhaseShift PhaseName = "Shift"
	// PhaseRest lets what the phase before left behind pass; it is not
	// measured.
	PhaseRest PhaseName = "Rest"
)

// Phase is a stretch of time with its faults.
type Phase struct {
	Name PhaseName     `json:"Name"`
	For  wick.Duration `json:"For"`
	// Rate multiplies the rate of all requests; 0 means 1.
	Rate float64 `json:"Rate,omitempty"`
	// Slow multiplies the time of each step of SlowRunners of the first pool.
	Slow        float64 `json:"Slow,omitempty"`
	SlowRunners int     `json:"SlowRunners,omitempty"`
	// Shuffle is how many of the most popular adapters change places with any
	// others as the phase begins.
	Shuffle int `json:"Shuffle,omitempty"`
	// Restarts is how many runners of the first pool restart cold as the phase
	// begins.
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
			return fmt.Errorf("phase %s: For must be positive, Rate and Slow not negative", p.Name)
		}
		if p.Shuffle < 0 || p.Shuffle > s.Adapters {
			return fmt.Errorf("phase %s: Shuffle must be 0 to the adapters", p.Name)
		}
		if p.SlowRunners > s.Pools[0].Runners || p.Restarts > s.Pools[0].Runners {
			return fmt.Errorf("phase %s: more runners than the first pool has", p.Name)
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

// Length returns how long the scene takes without the drain.
func (s Scene) Length() time.Duration {
	var d time.Duration
	for _, p := range s.Phases {
		d += p.For.Std()
	}
	return d
}

// runners returns how many runners there are.
func (s Scene) runners() int {
	n := 0
	for _, p := range s.Pools {
		n += p.Runners
	}
	return n
}

// Parse reads a scene.
func Parse(data []byte) (Scene, error) {
	var s Scene
	if err := codec.DecodeJSON(data, &s); err != nil {
		return s, fmt.Errorf("scene: %w", err)
	}
	return s, nil
}

// Named returns one of the scenes that come with the program.
func Named(name string) (Scene, error) {
	data, err := scenes.ReadFile("scenes/" + name + ".json")
	if err != nil {
		return Scene{}, fmt.Errorf("scene %s: %w", name, err)
	}
	return Parse(data)
}
