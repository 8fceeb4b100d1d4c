package verbs

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"currantwick"
	"currantwick/codec"
)

// splitObjects is how many objects one of several changes holds, so that each
// fits into a record of the log.
const splitObjects = 1000

// draft is a configuration as it stands in a file, and as get prints it.
type draft struct {
	// AsOf is the offset at which the objects were read; 0 in a file written
	// by hand.
	AsOf    wick.Offset  `json:"AsOf,omitempty"`
	Objects wick.Objects `json:"Objects"`
	// Revisions are those of the objects when they were read.
	Revisions []wick.Based `json:"Revisions,omitempty"`
	// Deletes names objects that must not exist any more.
	Deletes []wick.ObjectKey `json:"Deletes,omitempty"`
}

// readDraft reads a configuration file; "-" stands for the standard input.
func readDraft(env Env, file string) (draft, error) {
	var data []byte
	var err error
	switch file {
	case "":
		return draft{}, errors.New("-file must be set")
	case "-":
		data, err = io.ReadAll(env.In)
	default:
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return draft{}, fmt.Errorf("read configuration: %w", err)
	}
	var d draft
	if err := codec.DecodeStrict(data, &d); err != nil {
		return draft{}, fmt.Errorf("file %s:\n%w", file, err)
	}
	return d, nil
}

func (d draft) byKey() map[wick.ObjectKey]wick.Object {
	out := make(map[wick.ObjectKey]wick.Object)
	for o := range d.Objects.All {
		out[o.Key()] = o
	}
	return out
}

// difference is how a configuration becomes another.
type difference struct {
	// puts and deletes are in the order in which references allow them.
	puts    []wick.Object
	deletes []wick.ObjectKey
	// old holds the objects that the puts replace.
	old map[wick.ObjectKey]wick.Object
}

func (d difference) empty() bool { return len(d.puts) == 0 && len(d.deletes) == 0 }

// diff returns what makes the configuration now into what d wants. With prune,
// objects that d does not name go.
func (d draft) diff(now draft, prune bool) difference {
	old := now.byKey()
	out := difference{old: make(map[wick.ObjectKey]wick.Object)}
	wanted := make(map[wick.ObjectKey]bool)
	for o := range d.Objects.All {
		was, ok := old[o.Key()]
		wanted[o.Key()] = true
		if ok && was == o {
			continue
		}
		out.puts = append(out.puts, o)
		if ok {
			out.old[o.Key()] = was
		}
	}
	out.deletes = slices.Clone(d.Deletes)
	if !prune {
		return out
	}
	var gone []wick.ObjectKey
	for o := range now.Objects.All {
		if !wanted[o.Key()] && !slices.Contains(out.deletes, o.Key()) {
			gone = append(gone, o.Key())
		}
	}
	slices.Reverse(gone) // Users go before what they use.
	out.deletes = append(out.deletes, gone...)
	return out
}

// changes turns a difference into one change, or into several ones that the
// log takes one by one.
func (d difference) changes(id wick.ChangeID, by wick.OperatorName, split bool) []wick.Change {
	each := len(d.puts) + len(d.deletes)
	if split {
		each = splitObjects
	}
	var out []wick.Change
	for part := range slices.Chunk(d.puts, max(each, 1)) {
		out = append(out, wick.Change{Operator: by, Puts: objectsOf(part)})
	}
	for part := range slices.Chunk(d.deletes, max(each, 1)) {
		if !split && len(out) == 1 {
			out[0].Deletes = part
			continue
		}
		out = append(out, wick.Change{Operator: by, Deletes: part})
	}
	for i := range out {
		out[i].ID = id
		if len(out) > 1 {
			out[i].ID = wick.ChangeID(fmt.Sprintf("%s.%d", id, i+1))
		}
	}
	return out
}

func objectsOf(list []wick.Object) wick.Objects {
	var out wick.Objects
	for _, o := range list {
		switch v := o.(type) {
		case wick.Model:
			out.Models = append(out.Models, v)
		case wick.Adapter:
			out.Adapters = append(out.Adapters, v)
		case wick.Version:
			out.Versions = append(out.Versions, v)
		case wick.Priority:
			out.Priorities = append(out.Priorities, v)
		case wick.Store:
			out.Stores = append(out.Stores, v)
		case wick.Pool:
			out.Pools = append(out.Pools, v)
		case wick.Endpoint:
			out.Endpoints = append(out.Endpoints, v)
		case wick.Route:
			out.Routes = append(out.Routes, v)
		}
	}
	return out
}

// based returns the revisions at which a change's objects were read.
func (d draft) based(c wick.Change) []wick.Based {
	read := make(map[wick.ObjectKey]wick.Offset, len(d.Revisions))
	for _, b := range d.Revisions {
		read[b.Key] = b.Revision
	}
	var out []wick.Based
	for o := range c.Puts.All {
		out = append(out, wick.Based{Key: o.Key(), Revision: read[o.Key()]})
	}
	for _, k := range c.Deletes {
		out = append(out, wick.Based{Key: k, Revision: read[k]})
	}
	return out
}

// print writes one line an object, with the fields that differ.
func (d difference) print(w io.Writer) {
	for _, o := range d.puts {
		was, ok := d.old[o.Key()]
		if !ok {
			fmt.Fprintf(w, "+ %s\n", o.Key())
			continue
		}
		fmt.Fprintf(w, "~ %s\n", o.Key())
		for _, line := range fields(was, o) {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
	for _, k := range d.deletes {
		fmt.Fprintf(w, "- %s\n", k)
	}
}

// fields lists the fields in which two objects differ.
func fields(was, now wick.Object) []string {
	a, b := fieldsOf(was), fieldsOf(now)
	var out []string
	for name, v := range b {
		if string(a[name]) != string(v) {
			out = append(out, fmt.Sprintf("%s: %s -> %s", name, cmp.Or(string(a[name]), "none"), v))
		}
	}
	for name, v := range a {
		if _, ok := b[name]; !ok {
			out = append(out, fmt.Sprintf("%s: %s -> none", name, v))
		}
	}
	slices.Sort(out)
	return out
}

func fieldsOf(o wick.Object) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage)
	data, err := codec.EncodeJSON(o)
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		out["Error"] = json.RawMessage(err.Error())
	}
	return out
}

// newChangeID draws an id that no other change has.
func newChangeID() wick.ChangeID {
	var b [8]byte
	_, _ = rand.Read(b[:]) // It never fails.
	return wick.ChangeID("change-" + hex.EncodeToString(b[:]))
}
