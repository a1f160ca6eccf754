package side

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
)

const (
	// claimTimeout bounds the log calls of one claim.
	claimTimeout = 2 * time.Second
	// readWait is how long a read waits for a record that was just appended.
	readWait = 100 * time.Millisecond
	// logRetryAfter is what callers are told while the log is out.
	logRetryAfter = 2 * time.Second
)

// claimer claims idempotency keys on the log.
type claimer struct {
	config   Config
	sequence atomic.Uint64
	mu       sync.Mutex
	byIndex  map[int]*partition
}

// partition is the claim stream of some of the keys.
type partition struct {
	stream string
	// busy is held during log calls.
	busy chan struct{}
	fold *dedup.Claims
	// pending are outcomes and releases that are not on the log yet.
	pending [][]byte
}

func newClaimer(config Config) *claimer {
	return &claimer{config: config, byIndex: map[int]*partition{}}
}

func (claimer *claimer) partition(hash []byte) *partition {
	index := dedup.PartitionOf(hash, claimer.config.ClaimPartitions)
	claimer.mu.Lock()
	defer claimer.mu.Unlock()
	known, ok := claimer.byIndex[index]
	if !ok {
		known = &partition{
			stream: dedup.StreamName(index), busy: make(chan struct{}, 1), fold: dedup.NewClaims(claimer.config.ClaimWindow),
		}
		claimer.byIndex[index] = known
	}
	return known
}

func (partition *partition) lock(ctx context.Context) bool {
	select {
	case partition.busy <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (partition *partition) unlock() { <-partition.busy }

// claim decides whether a request with an idempotency key may run. It returns
// the stored outcome of an earlier run, or why the request does not run; with
// neither, the key is claimed for this run. Requests that admit refuses are not
// claimed.
func (claimer *claimer) claim(ctx context.Context, ticket *ticket, admit func() *fault.Fault) (*dedup.Outcome, *fault.Fault) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	partition := claimer.partition(ticket.request.GetIdempotencyKeyHash())
	if !partition.lock(ctx) {
		return nil, logUnavailable()
	}
	defer partition.unlock()
	organisation, hash := ticket.organisation, ticket.request.GetIdempotencyKeyHash()
	if holder, ok := partition.fold.ActiveClaim(time.Now(), organisation, hash); ok && holder.Outcome != nil {
		return judge(ticket, holder)
	}
	if claimer.config.Log == nil {
		return nil, logUnavailable()
	}
	if err := claimer.settlePending(ctx, partition); err != nil {
		return nil, logUnavailable()
	}
	if _, ok := partition.fold.ActiveClaim(time.Now(), organisation, hash); ok {
		if err := claimer.readAll(ctx, partition); err != nil {
			return nil, logUnavailable()
		}
		if holder, ok := partition.fold.ActiveClaim(time.Now(), organisation, hash); ok {
			return judge(ticket, holder)
		}
	}
	if refusal := admit(); refusal != nil {
		return nil, refusal
	}
	return claimer.append(ctx, partition, ticket)
}

// append writes the claim and reads the stream up to it; the first claim wins.
func (claimer *claimer) append(ctx context.Context, partition *partition, ticket *ticket) (*dedup.Outcome, *fault.Fault) {
	hash := ticket.request.GetIdempotencyKeyHash()
	ticket.claim = dedup.Claim{
		RequestID: ticket.attempt.RequestID, RequestDigest: ticket.request.GetRequestDigest(),
		Claimant: fmt.Sprintf("%s/%d/%d", claimer.config.UpstreamID, claimer.config.Incarnation, claimer.sequence.Add(1)),
	}
	record, err := dedup.ClaimRecord(ticket.organisation, hash, ticket.claim)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotRun)
	}
	offset, err := claimer.config.Log.Append(ctx, partition.stream, record)
	if err == nil {
		err = claimer.readTo(ctx, partition, offset)
	} else {
		// The reply may be lost although the claim is on the log.
		err = claimer.readBack(ctx, partition, ticket, err)
	}
	if err != nil {
		claimer.config.Logger.Warn("claim: log unavailable", zap.String("stream", partition.stream), zap.Error(err))
		claimer.abandon(partition, ticket)
		return nil, logUnavailable()
	}
	holder, ok := partition.fold.FirstClaim(ticket.organisation, hash)
	if !ok {
		return nil, outcomeUnknown()
	}
	if holder.Claimant == ticket.claim.Claimant && holder.Outcome == nil {
		return nil, nil
	}
	return judge(ticket, holder)
}

// judge answers a request whose key is held by an earlier claim.
func judge(ticket *ticket, holder dedup.Claim) (*dedup.Outcome, *fault.Fault) {
	switch {
	case !holder.MatchesRequest(ticket.request.GetRequestDigest()):
		return nil, keyReused()
	case holder.Outcome != nil:
		return holder.Outcome, nil
	default:
		return nil, outcomeUnknown()
	}
}

func logUnavailable() *fault.Fault {
	return fault.New(fault.LogUnavailable, fault.NotRun,
		"the platform's log is out, so that the idempotency key cannot be claimed; come back after the time in retry-after").
		WithRetryAfter(logRetryAfter)
}

// settle stores how the run of a claim ended. A request that did not run gives
// its claim up; one whose end is unknown keeps it without an outcome.
func (claimer *claimer) settle(ticket *ticket, outcome *dedup.Outcome, reason *fault.Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	hash := ticket.request.GetIdempotencyKeyHash()
	partition := claimer.partition(hash)
	partition.busy <- struct{}{}
	defer partition.unlock()
	if outcome == nil {
		if reason.Ran() != fault.NotRun {
			return
		}
		claimer.abandon(partition, ticket)
	} else {
		partition.fold.StoreOutcome(ticket.organisation, hash, ticket.attempt.RequestID, *outcome)
		record, err := dedup.OutcomeRecord(ticket.organisation, hash, ticket.attempt.RequestID, *outcome)
		if err == nil {
			partition.pending = append(partition.pending, record)
		}
	}
	_ = claimer.settlePending(ctx, partition)
}

// abandon plans the release of a claim whose request did not run.
func (claimer *claimer) abandon(partition *partition, ticket *ticket) {
	record, err := dedup.ReleaseRecord(ticket.organisation, ticket.request.GetIdempotencyKeyHash(), ticket.claim)
	if err == nil {
		partition.pending = append(partition.pending, record)
	}
}
