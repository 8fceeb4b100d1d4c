package direct

import (
	"encoding/binary"
	"slices"

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

// maxSharedParts bounds the parts of a prompt that are told apart in evidence. The
// prompts of callers have a handful.
const maxSharedParts = 32

// partFingerprints returns the fingerprints of the parts of a prompt that other
// requests may share: all but the last one.
func partFingerprints(parts []wick.PromptPart) []wick.Fingerprint {
	if len(parts) < 2 {
		return nil
	}
	list := make([]wick.Fingerprint, 0, min(len(parts)-1, maxSharedParts))
	for _, p := range parts[:len(parts)-1] {
		if f := partFingerprint(p.ID); len(list) < maxSharedParts && !slices.Contains(list, f) {
			list = append(list, f)
		}
	}
	return list
}

func partFingerprint(id wick.PartID) wick.Fingerprint {
	return wick.Fingerprint(xxhash.Sum64String("part " + string(id)))
}
