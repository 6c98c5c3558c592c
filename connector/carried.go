package connector

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried limits the requests of one connection, which remembers the ids of all.
const maxCarried = 512

// carriedID is the hash of a request's id. An id with the hash of another one counts as carried with it.
type carriedID uint64

func carriedIDOf(id string) carriedID {
	return carriedID(xxhash.Sum64String(id))
}

// carriedIDs are the ids of the requests that a connection has carried; the zero value is none.
type carriedIDs []carriedID

// add records that the connection carries a request of the id.
func (c *carriedIDs) add(id carriedID) {
	*c = append(*c, id)
}

// has reports whether the connection has carried the id.
func (c carriedIDs) has(id carriedID) bool {
	return slices.Contains(c, id)
}

// full reports whether the connection can't remember one more request.
func (c carriedIDs) full() bool {
	return len(c) >= maxCarried
}
