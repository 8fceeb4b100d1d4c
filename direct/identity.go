package direct

import (
	"encoding/binary"

	"currantwick"

	"github.com/cespare/xxhash/v2"
)

// fingerprintOf returns the fingerprint of a request. It is the same for every
// attempt of every caller to run the same work, whatever their ids.
func fingerprintOf(x *wick.Exchange) wick.Fingerprint {
	h := xxhash.New()
	for _, field := range []string{x.Method, x.Host, x.Target, string(x.Model), string(x.Adapter), string(x.Body)} {
		// A length before each field keeps ("ab", "c") apart from ("a", "bc").
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // Never fails.
		h.WriteString(field)
	}
	return wick.Fingerprint(h.Sum64())
}
