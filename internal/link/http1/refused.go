package http1

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// maxRefused is the number of refused requests with which a connection is closed instead
// of reused. It bounds the memory of a connection to an upstream that refuses much.
const maxRefused = 64

// refusedRequests holds hashes of the ids of the requests that a connection has refused.
// Requests whose hashes are equal by chance are kept apart needlessly.
type refusedRequests []uint64

// add adds a refused request. The id is empty if the request has none.
func (refused *refusedRequests) add(id string) {
	if hash := xxh3.HashString(id); !slices.Contains(*refused, hash) {
		*refused = append(*refused, hash)
	}
}

// admits reports whether the connection may carry a request: one without an id only if
// nothing was refused, since its refusal cannot be told from a copy of another one.
func (refused refusedRequests) admits(id string) bool {
	return len(refused) == 0 || id != "" && !slices.Contains(refused, xxh3.HashString(id))
}

// full reports whether the connection must be closed instead of reused.
func (refused refusedRequests) full() bool { return len(refused) >= maxRefused }

// MarkRefused records that the response refuses its request or fails it, so that it may be
// repeated. The connection then carries no request with the same ID again. It must be
// called before Body is read to its end.
func (response *Response) MarkRefused() { response.body.conn.refused.add(response.body.requestID) }
