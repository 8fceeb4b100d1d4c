package wick

import "fmt"

// unionField describes one field of a union: a struct of which exactly one field
// is set.
type unionField struct {
	set bool
	// check is nil if the value has no invariants, or if they are validated
	// elsewhere.
	check func() error
}

// checkedField describes a field whose value implements Checker.
func checkedField[T Checker](p *T) unionField {
	if p == nil {
		return unionField{}
	}
	return unionField{set: true, check: (*p).Check}
}

// oneOf returns an error unless exactly one field is set and its value passes
// its check.
func oneOf(name string, fields ...unionField) error {
	set := 0
	var err error
	for _, o := range fields {
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
