package codec

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"currantwick"
)

// DecodeStrict reads one JSON value that a person wrote into v, a pointer to a
// struct, over what v already holds. It goes on after a fault, so that the
// error joins all of them, each a *wick.FieldError with the path of its field.
// Field names must match exactly. It does not call Check.
func DecodeStrict(data []byte, v any) error {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return fmt.Errorf("decode JSON: %w", place(data, err))
	}
	d := &strict{}
	d.value("", raw, reflect.ValueOf(v).Elem())
	return errors.Join(d.errs...)
}

// place adds the line of a syntax error.
func place(data []byte, err error) error {
	var se *json.SyntaxError
	if !errors.As(err, &se) {
		return err
	}
	end := min(int(se.Offset), len(data))
	line := bytes.Count(data[:end], []byte("\n")) + 1
	return fmt.Errorf("line %d: %w", line, err)
}

// strict collects the faults of one value.
type strict struct {
	errs []error
}

func (d *strict) fault(path, format string, args ...any) {
	if path == "" {
		path = "value"
	}
	d.errs = append(d.errs, &wick.FieldError{Field: path, Text: fmt.Sprintf(format, args...)})
}

var (
	jsonReader = reflect.TypeFor[json.Unmarshaler]()
	textReader = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// reads reports whether values of a type read themselves.
func reads(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(jsonReader) || p.Implements(textReader)
}

func (d *strict) value(path string, raw json.RawMessage, to reflect.Value) {
	switch t := to.Type(); {
	case reads(t):
		d.leaf(path, raw, to)
	case t.Kind() == reflect.Pointer && !isNull(raw):
		if to.IsNil() {
			to.Set(reflect.New(t.Elem()))
		}
		d.value(path, raw, to.Elem())
	case t.Kind() == reflect.Struct:
		d.object(path, raw, to)
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		d.list(path, raw, to)
	default:
		d.leaf(path, raw, to)
	}
}

func isNull(raw json.RawMessage) bool { return string(bytes.TrimSpace(raw)) == "null" }

func (d *strict) leaf(path string, raw json.RawMessage, to reflect.Value) {
	err := json.Unmarshal(raw, to.Addr().Interface())
	var te *json.UnmarshalTypeError
	switch {
	case errors.As(err, &te):
		d.fault(path, "want %s, not %s", kindName(to.Type()), te.Value)
	case err != nil:
		d.fault(path, "%v", err)
	}
}

// kindName names a type as a reader of JSON thinks of it.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint8:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return t.String()
}

func (d *strict) list(path string, raw json.RawMessage, to reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.fault(path, "want a list")
		return
	}
	out := reflect.MakeSlice(to.Type(), len(items), len(items))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	to.Set(out)
}

func (d *strict) object(path string, raw json.RawMessage, to reflect.Value) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		d.fault(path, "want an object")
		return
	}
	t := to.Type()
	for i := range t.NumField() {
		name := fieldName(t.Field(i))
		if item, ok := fields[name]; ok && name != "" {
			delete(fields, name)
			d.value(join(path, name), item, to.Field(i))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		d.fault(join(path, name), "unknown field")
	}
}

// fieldName returns the name of a field in JSON, or "" if it has none.
func fieldName(f reflect.StructField) string {
	if !f.IsExported() {
		return ""
	}
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	switch name {
	case "-":
		return ""
	case "":
		return f.Name
	}
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
