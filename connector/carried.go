package connector

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried limits the requests of one connection, which remembers the ids of all.
const maxCarried = 512

// carriedIDs are the ids of the requests that a connection has carried, as hashes; the zero value is none.
type carriedIDs []uint64

// add records that the connection carries a request of the id.
func (c *carriedIDs) add(id string) {
	*c = append(*c, xxhash.Sum64String(id))
}

// has reports whether the connection has carried the id. An id with the hash of another one may be taken for it.
func (c carriedIDs) has(id string) bool {
	return slices.Contains(c, xxhash.Sum64String(id))
}

// full reports whether the connection can't remember one more request.
func (c carriedIDs) full() bool {
	return len(c) >= maxCarried
}
