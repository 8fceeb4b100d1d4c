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

// DecodeStrict decodes one JSON value written by a person into v, a pointer to
// a struct, over the values that v already holds. It continues after an invalid
// field, so that the error joins all of them, each a *wick.FieldError with the
// path of its field. Field names must match exactly. It does not call Check.
func DecodeStrict(data []byte, v any) error {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return fmt.Errorf("decode JSON: %w", addLine(data, err))
	}
	d := &strictDecoder{}
	d.value("", raw, reflect.ValueOf(v).Elem())
	return errors.Join(d.errs...)
}

// addLine adds the line number of a syntax error.
func addLine(data []byte, err error) error {
	var se *json.SyntaxError
	if !errors.As(err, &se) {
		return err
	}
	end := min(int(se.Offset), len(data))
	line := bytes.Count(data[:end], []byte("\n")) + 1
	return fmt.Errorf("line %d: %w", line, err)
}

// strictDecoder collects the errors of one value.
type strictDecoder struct {
	errs []error
}

func (d *strictDecoder) addError(path, format string, args ...any) {
	if path == "" {
		path = "value"
	}
	d.errs = append(d.errs, &wick.FieldError{Field: path, Text: fmt.Sprintf(format, args...)})
}

var (
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// hasUnmarshaler reports whether values of a type decode themselves.
func hasUnmarshaler(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler)
}

func (d *strictDecoder) value(path string, raw json.RawMessage, to reflect.Value) {
	switch t := to.Type(); {
	case hasUnmarshaler(t):
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

func (d *strictDecoder) leaf(path string, raw json.RawMessage, to reflect.Value) {
	err := json.Unmarshal(raw, to.Addr().Interface())
	var te *json.UnmarshalTypeError
	switch {
	case errors.As(err, &te):
		d.addError(path, "want %s, not %s", kindName(to.Type()), te.Value)
	case err != nil:
		d.addError(path, "%v", err)
	}
}

// kindName describes a type in terms of JSON.
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

func (d *strictDecoder) list(path string, raw json.RawMessage, to reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.addError(path, "want a list")
		return
	}
	out := reflect.MakeSlice(to.Type(), len(items), len(items))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	to.Set(out)
}

func (d *strictDecoder) object(path string, raw json.RawMessage, to reflect.Value) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		d.addError(path, "want an object")
		return
	}
	t := to.Type()
	for i := range t.NumField() {
		name := fieldName(t.Field(i))
		if item, ok := fields[name]; ok && name != "" {
			delete(fields, name)
			d.value(joinPath(path, name), item, to.Field(i))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		d.addError(joinPath(path, name), "unknown field")
	}
}

// fieldName returns the JSON name of a field, or "" if it is not decoded.
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
