package loads

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"currantwick/setup"
)

// Variant is a named choice of policies.
type Variant struct {
	Name   string       `json:"Name"`
	Policy setup.Policy `json:"Policy"`
}

// Trial is one run of a variant.
type Trial struct {
	Variant string   `json:"Variant"`
	Seed    uint64   `json:"Seed"`
	Figures []Figure `json:"Figures"`
	Machine Machine  `json:"Machine"`
	// Codes counts the requests without a complete and correct answer by phase,
	// kind, ending and error code.
	Codes map[string]int `json:"Codes,omitempty"`
}

// Spread is the median and the range of a figure over the trials of a variant.
type Spread struct {
	Median float64 `json:"Median"`
	Least  float64 `json:"Least"`
	Most   float64 `json:"Most"`
}

// Summary compares the variants of a scene.
type Summary struct {
	Scene    string    `json:"Scene"`
	Variants []Variant `json:"Variants"`
	Trials   []Trial   `json:"Trials"`
}

// NewTrial returns the summary of one run.
func NewTrial(cfg Config, variant string, o RunResult) Trial {
	t := Trial{
		Variant: variant, Seed: cfg.Seed, Machine: o.Machine,
		Figures: Figures(cfg.Scene, o), Codes: map[string]int{},
	}
	for _, a := range o.Answers {
		if a.Ending != Complete {
			k := cfg.Scene.Kinds[a.Kind].Name
			t.Codes[fmt.Sprintf("%s %s %s %s", cfg.Scene.Phases[a.Phase].Name, k, a.Ending, a.Code)]++
		}
	}
	return t
}

// spread returns the spread of a figure over the trials of a variant.
func (s Summary) spread(variant string, figure int) Spread {
	var all []float64
	for _, t := range s.Trials {
		if t.Variant == variant {
			all = append(all, t.Figures[figure].Value)
		}
	}
	if len(all) == 0 {
		return Spread{}
	}
	slices.Sort(all)
	median := all[len(all)/2]
	if len(all)%2 == 0 {
		median = (median + all[len(all)/2-1]) / 2
	}
	return Spread{median, all[0], all[len(all)-1]}
}

// Write writes the summary as a Markdown table of medians and ranges, followed by
// the trials in which the machine was the limit.
func (s Summary) Write(out io.Writer) error {
	if len(s.Trials) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.Debug)
	fmt.Fprintf(w, "| %s", s.Scene)
	for _, v := range s.Variants {
		fmt.Fprintf(w, "\t %s", v.Name)
	}
	fmt.Fprintln(w, "\t")
	fmt.Fprint(w, "|---")
	for range s.Variants {
		fmt.Fprint(w, "\t---")
	}
	fmt.Fprintln(w, "\t")
	for i, f := range s.Trials[0].Figures {
		fmt.Fprintf(w, "| %s", f.Name)
		for _, v := range s.Variants {
			fmt.Fprintf(w, "\t %s", s.spread(v.Name, i))
		}
		fmt.Fprintln(w, "\t")
	}
	for _, t := range s.Trials {
		if t.Machine.Limit {
			fmt.Fprintf(w, "The machine was the limit: %s, seed %d: 99th percentiles of send delay %v and scheduling delay %v, CPU %.0f%%.\n",
				t.Variant, t.Seed, t.Machine.Late, t.Machine.Wait, 100*t.Machine.Busy)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

// String returns the median with the range.
func (s Spread) String() string {
	return fmt.Sprintf("%s (%s to %s)", formatNumber(s.Median), formatNumber(s.Least), formatNumber(s.Most))
}

func formatNumber(v float64) string {
	switch {
	case v == float64(int64(v)):
		return fmt.Sprintf("%.0f", v)
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3f", v)
}
