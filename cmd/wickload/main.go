// Command wickload measures the system under the load and faults of a scene, and
// compares the chosen policies with the baseline ones.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"currantwick"
	"currantwick/loads"
	"currantwick/setup"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "wickload:", err)
		os.Exit(1)
	}
}

// options are the values of the flags.
type options struct {
	scene          string
	seeds          int
	first          uint64
	variants       string
	json           string
	bound          time.Duration
	entries        string
	measureControl bool
}

func run(ctx context.Context, args []string) error {
	var o options
	set := flag.NewFlagSet("wickload", flag.ContinueOnError)
	set.StringVar(&o.scene, "scene", "abay", "`name` of a built-in scene, or a .json file")
	set.IntVar(&o.seeds, "seeds", 3, "number of seeds to run each variant with")
	set.Uint64Var(&o.first, "first", 1, "first seed")
	set.StringVar(&o.variants, "variants", "chosen,baseline",
		"comma-separated variants to compare: chosen, baseline, or the names of the policies to set to the baseline, joined by +")
	set.StringVar(&o.json, "json", "", "`file` to write the results of each run to, as JSON")
	set.DurationVar(&o.bound, "bound", 30*time.Minute, "time limit; no run is started that would exceed it")
	set.StringVar(&o.entries, "entries", "",
		"comma-separated entry `addresses` of a running system with the scene's routes, to send the load to without faults")
	set.BoolVar(&o.measureControl, "control", false, "measure the cost of the control plane instead, which takes about three minutes")
	if err := set.Parse(args); err != nil {
		return err
	}
	if o.measureControl {
		return measureControl(ctx, os.Stdout)
	}
	scene, err := readScene(o.scene)
	if err != nil {
		return err
	}
	summary, err := compare(ctx, scene, o)
	return errors.Join(err, report(summary, o))
}

func readScene(name string) (loads.Scene, error) {
	if !strings.HasSuffix(name, ".json") {
		return loads.Builtin(name)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return loads.Scene{}, fmt.Errorf("read scene: %w", err)
	}
	return loads.Parse(data)
}

// compare runs all variants with the first seed, then all with the next one.
func compare(ctx context.Context, scene loads.Scene, o options) (loads.Summary, error) {
	out := loads.Summary{Scene: scene.Name}
	for _, name := range strings.Split(o.variants, ",") {
		p, err := parseVariant(name)
		if err != nil {
			return out, err
		}
		out.Variants = append(out.Variants, loads.Variant{Name: name, Policy: p})
	}
	end := time.Now().Add(o.bound)
	for seed := o.first; seed < o.first+uint64(o.seeds); seed++ {
		for _, v := range out.Variants {
			if time.Until(end) < scene.Length() {
				return out, errors.New("time limit reached: some runs are missing")
			}
			cfg := loads.Config{Scene: scene, Seed: seed, Policy: v.Policy, Entries: addresses(o.entries)}
			result, err := loads.Run(ctx, cfg)
			if err != nil {
				return out, fmt.Errorf("%s, seed %d: %w", v.Name, seed, err)
			}
			out.Trials = append(out.Trials, loads.NewTrial(cfg, v.Name, result))
			fmt.Fprintf(os.Stderr, "%s, %s, seed %d done\n", scene.Name, v.Name, seed)
		}
	}
	return out, nil
}

func addresses(list string) []wick.Address {
	var out []wick.Address
	for one := range strings.SplitSeq(list, ",") {
		if one != "" {
			out = append(out, wick.Address(one))
		}
	}
	return out
}

// parseVariant returns the policies of a variant.
func parseVariant(name string) (setup.Policy, error) {
	if name == "baseline" {
		return setup.Uniform(setup.Baseline), nil
	}
	p := setup.Uniform(setup.Chosen)
	if name == "chosen" {
		return p, nil
	}
	for one := range strings.SplitSeq(name, "+") {
		if !setBaseline(&p, one) {
			return p, fmt.Errorf("unknown variant or policy %q", one)
		}
	}
	return p, nil
}

// setBaseline sets the named policy to its baseline. It returns false if there is
// no such policy.
func setBaseline(p *setup.Policy, name string) bool {
	for n, choice := range p.Each {
		if n == name {
			*choice = setup.Baseline
			return true
		}
	}
	return false
}

func report(s loads.Summary, o options) error {
	if err := s.Write(os.Stdout); err != nil {
		return err
	}
	if o.json == "" {
		return nil
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if err := os.WriteFile(o.json, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}
