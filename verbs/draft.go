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

// splitObjects bounds the objects per change with -split, so that a change
// fits into a log record.
const splitObjects = 1000

// configFile is the format of configuration files and of the output of get.
type configFile struct {
	// AsOf is the offset at which the objects were read; 0 in a file written
	// by hand.
	AsOf    wick.Offset  `json:"AsOf,omitempty"`
	Objects wick.Objects `json:"Objects"`
	// Revisions are the revisions at which the objects were read.
	Revisions []wick.Based `json:"Revisions,omitempty"`
	// Deletes names the objects to delete.
	Deletes []wick.ObjectKey `json:"Deletes,omitempty"`
}

// readConfigFile reads a configuration file; "-" means standard input.
func readConfigFile(env Env, file string) (configFile, error) {
	var data []byte
	var err error
	switch file {
	case "":
		return configFile{}, errors.New("-file must be set")
	case "-":
		data, err = io.ReadAll(env.In)
	default:
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return configFile{}, fmt.Errorf("read configuration: %w", err)
	}
	var d configFile
	if err := codec.DecodeStrict(data, &d); err != nil {
		return configFile{}, fmt.Errorf("file %s:\n%w", file, err)
	}
	return d, nil
}

func (d configFile) byKey() map[wick.ObjectKey]wick.Object {
	out := make(map[wick.ObjectKey]wick.Object)
	for o := range d.Objects.All {
		out[o.Key()] = o
	}
	return out
}

// difference holds what to put and delete to turn one configuration into
// another.
type difference struct {
	// puts and deletes are each in an order that keeps references valid.
	puts    []wick.Object
	deletes []wick.ObjectKey
	// old holds the objects that the puts replace.
	old map[wick.ObjectKey]wick.Object
}

func (d difference) empty() bool { return len(d.puts) == 0 && len(d.deletes) == 0 }

// diff returns the difference from current to d. With prune, it deletes the
// objects that d does not name.
func (d configFile) diff(current configFile, prune bool) difference {
	old := current.byKey()
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
	var removed []wick.ObjectKey
	for o := range current.Objects.All {
		if !wanted[o.Key()] && !slices.Contains(out.deletes, o.Key()) {
			removed = append(removed, o.Key())
		}
	}
	slices.Reverse(removed) // Delete objects before the ones that they reference.
	out.deletes = append(out.deletes, removed...)
	return out
}

// changes converts a difference to one change, or with split to several of at
// most splitObjects objects each.
func (d difference) changes(id wick.ChangeID, by wick.OperatorName, split bool) []wick.Change {
	size := len(d.puts) + len(d.deletes)
	if split {
		size = splitObjects
	}
	var out []wick.Change
	for part := range slices.Chunk(d.puts, max(size, 1)) {
		out = append(out, wick.Change{Operator: by, Puts: objectsOf(part)})
	}
	for part := range slices.Chunk(d.deletes, max(size, 1)) {
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
func (d configFile) based(c wick.Change) []wick.Based {
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

// print writes one line per object, followed by the fields that differ.
func (d difference) print(w io.Writer) {
	for _, o := range d.puts {
		was, ok := d.old[o.Key()]
		if !ok {
			fmt.Fprintf(w, "+ %s\n", o.Key())
			continue
		}
		fmt.Fprintf(w, "~ %s\n", o.Key())
		for _, line := range changedFields(was, o) {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
	for _, k := range d.deletes {
		fmt.Fprintf(w, "- %s\n", k)
	}
}

// changedFields describes the fields in which two objects differ.
func changedFields(before, after wick.Object) []string {
	a, b := encodedFields(before), encodedFields(after)
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

func encodedFields(o wick.Object) map[string]json.RawMessage {
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

// newChangeID returns a random id, which no other change has.
func newChangeID() wick.ChangeID {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Read never fails.
	return wick.ChangeID("change-" + hex.EncodeToString(b[:]))
}
