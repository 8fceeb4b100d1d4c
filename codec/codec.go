// Package codec turns domain types into bytes and back: JSON for what people
// and the platform read, CBOR between daemons. Whatever it decodes has checked
// itself.
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

// maxNested bounds the depth of CBOR values that peers may send.
const maxNested = 16

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
		MaxNestedLevels: maxNested,
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

// DecodeJSON reads one JSON value into v, refusing unknown fields and anything
// after the value, and checks it.
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

// DecodeCBOR reads one CBOR value into v and checks it. Unknown fields are
// passed over, so that daemons of two releases can talk during an upgrade.
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
