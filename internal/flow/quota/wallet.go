package quota

import (
	"context"
	"errors"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// WalletConfig configures a Wallet.
type WalletConfig struct {
	// Source reaches the shards.
	Source Source
	// Shards is the number of the organisation's shards.
	Shards int
	// Own lists the shards hosted by this process; they are asked first.
	Own []int
	// Rate and Burst are the whole organisation's.
	Rate  model.Tokens
	Burst model.Tokens
	// Seed makes the order of shards and the jitter reproducible.
	Seed uint64
}

// Wallet is the consumer of one organisation's tokens at one side process. Its
// methods may be called concurrently.
type Wallet struct{}

// Debit is what Take took for one request.
type Debit struct{}

// NewWallet returns a wallet that holds nothing.
func NewWallet(_ WalletConfig) *Wallet { return &Wallet{} }

// Take waits until it has gathered tokens, in the order of the calls. The
// caller dispatches at once if Debit.Live still holds, and calls Settle when
// the request has ended.
func (wallet *Wallet) Take(_ context.Context, _ model.Tokens) (Debit, error) {
	return Debit{}, errors.New("not built yet")
}

// Settle returns the unused tokens of a request that has ended. It is called
// once for each Debit, with 0 if the request was not dispatched.
func (wallet *Wallet) Settle(_ Debit, _ model.Tokens) {}

// Resize follows a configuration change.
func (wallet *Wallet) Resize(_, _ model.Tokens) {}

// EstimateWait returns how long a request of this cost would wait in Take.
func (wallet *Wallet) EstimateWait(_ model.Tokens) time.Duration { return 0 }

// Close returns everything that is held. Waiting calls of Take fail.
func (wallet *Wallet) Close(_ context.Context) {}

// Live reports whether the request may still be dispatched at now.
func (debit Debit) Live(_ time.Time) bool { return false }
