package wick

import "fmt"

// option is one field of a union, of which exactly one is set.
type option struct {
	set bool
	// check is nil where the value has no invariant of its own, or where
	// somebody else judges it.
	check func() error
}

// some returns the option of a field that checks itself.
func some[T Checker](p *T) option {
	if p == nil {
		return option{}
	}
	return option{set: true, check: (*p).Check}
}

// oneOf reports a union of which not exactly one field is set, or the fault of
// the one that is.
func oneOf(name string, options ...option) error {
	set := 0
	var err error
	for _, o := range options {
		if !o.set {
			continue
		}
		set++
		if o.check != nil {
			err = o.check()
		}
	}
	if set != 1 {
		return fmt.Errorf("%s holds %d values, want 1", name, set)
	}
	return err
}
