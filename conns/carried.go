package conns

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried bounds the identifiers that a connection remembers. A connection that
// has carried as many requests is not reused.
const maxCarried = 256

// carried is the set of identifiers of the requests that a connection has carried. A
// late copy of a response has the identifier of its request, so it can't be told from
// the response to the same request sent again on that connection. The zero value is
// empty.
type carried struct {
	// hashes are the hashes of the identifiers. A collision only keeps a request off
	// the connection.
	hashes []uint64
}

func (s *carried) add(id string) { s.hashes = append(s.hashes, xxhash.Sum64String(id)) }

func (s *carried) has(id string) bool { return slices.Contains(s.hashes, xxhash.Sum64String(id)) }

func (s *carried) full() bool { return len(s.hashes) >= maxCarried }
