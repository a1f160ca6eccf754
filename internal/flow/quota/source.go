package quota

import (
	"context"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// Transport reaches the shards of one organisation, numbered from 0, wherever
// they are hosted.
type Transport interface {
	// Draw asks a shard for tokens. A refusal is a Grant without tokens and
	// with RetryAfter; an error means that the outcome is unknown. Draw
	// returns soon after ctx ends.
	Draw(ctx context.Context, shard int, want, least model.Tokens) (Grant, error)
	// Return gives tokens of a grant back. It may be repeated after an error.
	Return(ctx context.Context, shard int, refund Refund) error
}

// Refund is what a Wallet returns for one grant. See Shard.Return.
type Refund struct {
	ID          uint64
	Incarnation uint64
	// Tokens is the total returned for the grant so far.
	Tokens  model.Tokens
	Settled bool
}
