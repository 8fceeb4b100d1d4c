// Package codec encodes and decodes domain types: JSON for people and the
// platform, CBOR between daemons. Decoded values that implement wick.Checker
// are checked.
package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"currantwick"

	"github.com/fxamacker/cbor/v2"
)

// maxNestingDepth bounds the nesting of CBOR values received from peers.
const maxNestingDepth = 16

var (
	cborEnc = mustEncMode()
	cborDec = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{TextMarshaler: cbor.TextMarshalerTextString}.EncMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: maxNestingDepth,
		TextUnmarshaler: cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}

// EncodeJSON returns v as one line of JSON.
func EncodeJSON(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode JSON: %w", err)
	}
	return data, nil
}

// DecodeJSON decodes one JSON value into v and checks it. Unknown fields and
// data after the value are errors.
func DecodeJSON(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("decode JSON: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode JSON: data after the value")
	}
	return check(v)
}

// EncodeCBOR returns v as CBOR.
func EncodeCBOR(v any) ([]byte, error) {
	data, err := cborEnc.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode CBOR: %w", err)
	}
	return data, nil
}

// DecodeCBOR decodes one CBOR value into v and checks it. Unknown fields are
// ignored, so that daemons of two releases can communicate during an upgrade.
func DecodeCBOR(data []byte, v any) error {
	if err := cborDec.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode CBOR: %w", err)
	}
	return check(v)
}

func check(v any) error {
	c, ok := v.(wick.Checker)
	if !ok {
		return nil
	}
	if err := c.Check(); err != nil {
		return fmt.Errorf("check: %w", err)
	}
	return nil
}
