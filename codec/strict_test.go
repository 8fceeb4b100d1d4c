package codec

import (
	"encoding/json"
	"strings"
	"testing"

	"currantwick"
)

func TestDecodeStrict(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want []string // lines of the error text
	}{
		{"good", `{"Name":"r","Pool":"p","Ref":{"Adapter":"a","Version":"v"}}`, nil},
		{"empty", ``, []string{"decode JSON: line 1: unexpected end of JSON input"}},
		{"broken", "{\n\"Name\":\n}", []string{"decode JSON: line 3: invalid character '}' looking for beginning of value"}},
		{"no object", `[1]`, []string{"value: want an object"}},
		{"null", `null`, []string{"value: want an object"}},
		{
			"several invalid fields",
			`{"Name":1,"name":"x","MaxTokens":"many","Ref":{"Adapter":[],"Other":1},"NonIdempotent":"yes"}`,
			[]string{
				"Name: want a string, not number", "Ref.Adapter: want a string, not array",
				"Ref.Other: unknown field", "MaxTokens: want a whole number, not string",
				"NonIdempotent: want true or false, not string", "name: unknown field",
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got wick.Route
			err := DecodeStrict([]byte(test.in), &got)
			if want := strings.Join(test.want, "\n"); err == nil && want != "" || err != nil && err.Error() != want {
				t.Errorf("got %v\nwant %s", err, want)
			}
		})
	}
	var objects wick.Objects
	err := DecodeStrict([]byte(`{"Routes":[{"Name":"a"},{"Nome":"b"}],"Priorities":[{"Deadline":"1"}]}`), &objects)
	want := "Priorities[0].Deadline: duration \"1\": want a number with a unit, such as 250ms\nRoutes[1].Nome: unknown field"
	if err == nil || err.Error() != want {
		t.Errorf("got %v\nwant %s", err, want)
	}
}

func FuzzDecodeStrict(f *testing.F) {
	f.Add([]byte(`{"ID":"c","Operator":"o","Puts":{"Models":[{"Name":"m","Context":1}]}}`))
	f.Add([]byte(`{"Based":[{"Key":null,"Revision":-1}],"Deletes":[[]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, plain wick.Change
		if DecodeStrict(data, &got) != nil {
			return
		}
		if err := json.Unmarshal(data, &plain); err != nil {
			t.Errorf("accepted what encoding/json refuses: %v", err)
		}
	})
}
