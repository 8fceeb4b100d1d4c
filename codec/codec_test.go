package codec

import (
	"reflect"
	"testing"
	"time"

	"currantwick"
)

func TestCBORRoundTrip(t *testing.T) {
	tests := []struct {
		name string
		in   wick.PeerMessage
	}{
		{"Grant", wick.PeerMessage{Grant: &wick.Grant{Store: "weights", From: "a", Wanted: 1.5}}},
		{"Error", wick.PeerMessage{Error: &wick.Error{
			Outcome: wick.NotRun, Code: wick.CodeOverload, RetryAfter: wick.Duration(time.Second),
		}}},
		{"Renewal", wick.PeerMessage{Renewal: &wick.Renewal{
			From: "a", Incarnation: 7, View: 3,
			Digests: []wick.Digest{{Endpoint: "r1", Ready: []wick.Ref{{Adapter: "x", Version: "v1"}}}},
		}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := EncodeCBOR(test.in)
			if err != nil {
				t.Fatal(err)
			}
			var got wick.PeerMessage
			if err := DecodeCBOR(data, &got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, test.in) {
				t.Errorf("got %+v, want %+v", got, test.in)
			}
		})
	}
}

func TestDecodeJSONRefuses(t *testing.T) {
	tests := []struct {
		name string
		in   string
	}{
		{"empty", ""},
		{"unknown field", `{"Grants":1}`},
		{"two values", `{"Error":{"Outcome":"NotRun","Code":"X"}}{}`},
		{"nothing set", `{}`},
		{"bad outcome", `{"Error":{"Outcome":"Perhaps","Code":"X"}}`},
		{"two set", `{"Fetch":{"Stream":"Config"},"Grant":{"Store":"s"}}`},
		{"bad duration", `{"Error":{"Outcome":"NotRun","Code":"X","RetryAfter":"1"}}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got wick.PeerMessage
			if err := DecodeJSON([]byte(test.in), &got); err == nil {
				t.Errorf("accepted as %+v", got)
			}
		})
	}
}
