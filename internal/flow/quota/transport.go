package quota

import (
	"context"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Transport carries draws and refunds to the shards of one organisation, which
// are numbered from 0, at whichever process hosts them.
type Transport interface {
	// Draw draws tokens from a shard. A refusal is a Grant without tokens and
	// with RetryAfter; an error means that the outcome is unknown. Draw returns
	// soon after ctx ends.
	Draw(ctx context.Context, shard int, want, least conf.Tokens) (Grant, error)
	// Return refunds tokens of a grant. It may be repeated after an error.
	Return(ctx context.Context, shard int, refund Refund) error
}

// Refund states what a Client returns of one grant. See Shard.Return.
type Refund struct {
	ID          uint64
	Incarnation uint64
	// Tokens is the total refunded for the grant so far.
	Tokens  conf.Tokens
	Settled bool
}
