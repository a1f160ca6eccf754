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
	// claimReadWait is how long a read waits for a record that was just
	// appended.
	claimReadWait = 100 * time.Millisecond
	// logRetryAfter is the retry-after of a refusal while the log is
	// unavailable.
	logRetryAfter = 2 * time.Second
)

// claimer claims idempotency keys on the platform's log, so that at most one
// side process runs the request of a key.
type claimer struct {
	config     Config
	sequence   atomic.Uint64
	mu         sync.Mutex
	partitions map[int]*partition
}

// partition is the claim stream of the keys whose hash falls into it.
type partition struct {
	stream string
	// semaphore is held during log calls. Unlike a mutex, it can be awaited
	// with a deadline.
	semaphore chan struct{}
	// claims is the state up to the last record read.
	claims *dedup.Claims
	// pending holds the outcomes and releases that are not on the log yet.
	pending [][]byte
}

func newClaimer(config Config) *claimer {
	return &claimer{config: config, partitions: map[int]*partition{}}
}

func (claimer *claimer) partition(hash []byte) *partition {
	index := dedup.PartitionOf(hash, claimer.config.ClaimPartitions)
	claimer.mu.Lock()
	defer claimer.mu.Unlock()
	known, ok := claimer.partitions[index]
	if !ok {
		known = &partition{
			stream: dedup.StreamName(index), semaphore: make(chan struct{}, 1), claims: dedup.NewClaims(claimer.config.ClaimWindow),
		}
		claimer.partitions[index] = known
	}
	return known
}

func (partition *partition) lock(ctx context.Context) bool {
	select {
	case partition.semaphore <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (partition *partition) unlock() { <-partition.semaphore }

// claim decides whether a request with an idempotency key may run. It returns
// the stored outcome of an earlier run, or why the request must not run. With
// neither, the key is claimed for this run. No claim is written for a request
// that admit refuses.
func (claimer *claimer) claim(ctx context.Context, task *task, admit func() *fault.Fault) (*dedup.Outcome, *fault.Fault) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	partition := claimer.partition(task.request.GetIdempotencyKeyHash())
	if !partition.lock(ctx) {
		return nil, errLogUnavailable()
	}
	defer partition.unlock()
	organisation, hash := task.organisation, task.request.GetIdempotencyKeyHash()
	if existing, ok := partition.claims.ActiveClaim(time.Now(), organisation, hash); ok && existing.Outcome != nil {
		return resultOfClaim(task, existing)
	}
	if claimer.config.Log == nil {
		return nil, errLogUnavailable()
	}
	if err := claimer.appendPending(ctx, partition); err != nil {
		return nil, errLogUnavailable()
	}
	if _, ok := partition.claims.ActiveClaim(time.Now(), organisation, hash); ok {
		if err := claimer.readAll(ctx, partition); err != nil {
			return nil, errLogUnavailable()
		}
		if existing, ok := partition.claims.ActiveClaim(time.Now(), organisation, hash); ok {
			return resultOfClaim(task, existing)
		}
	}
	if refusal := admit(); refusal != nil {
		return nil, refusal
	}
	return claimer.append(ctx, partition, task)
}

// append writes the claim and reads the stream up to it. The first claim on the
// stream wins.
func (claimer *claimer) append(ctx context.Context, partition *partition, task *task) (*dedup.Outcome, *fault.Fault) {
	hash := task.request.GetIdempotencyKeyHash()
	task.claim = dedup.Claim{
		RequestID: task.attempt.RequestID, RequestDigest: task.request.GetRequestDigest(),
		Claimant: fmt.Sprintf("%s/%d/%d", claimer.config.UpstreamID, claimer.config.Incarnation, claimer.sequence.Add(1)),
	}
	record, err := dedup.ClaimRecord(task.organisation, hash, task.claim)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotRun)
	}
	offset, err := claimer.config.Log.Append(ctx, partition.stream, record)
	if err == nil {
		err = claimer.readTo(ctx, partition, offset)
	} else {
		// The reply may have been lost although the claim is on the log.
		err = claimer.findAppended(ctx, partition, task, err)
	}
	if err != nil {
		claimer.config.Logger.Warn("claim: log unavailable", zap.String("stream", partition.stream), zap.Error(err))
		claimer.releaseClaim(partition, task)
		return nil, errLogUnavailable()
	}
	existing, ok := partition.claims.FirstClaim(task.organisation, hash)
	if !ok {
		return nil, errOutcomeUnknown()
	}
	if existing.Claimant == task.claim.Claimant && existing.Outcome == nil {
		return nil, nil
	}
	return resultOfClaim(task, existing)
}

// resultOfClaim returns the result of a request whose key is held by an earlier
// claim.
func resultOfClaim(task *task, existing dedup.Claim) (*dedup.Outcome, *fault.Fault) {
	switch {
	case !existing.MatchesRequest(task.request.GetRequestDigest()):
		return nil, errKeyReused()
	case existing.Outcome != nil:
		return existing.Outcome, nil
	default:
		return nil, errOutcomeUnknown()
	}
}

func errLogUnavailable() *fault.Fault {
	return fault.New(fault.LogUnavailable, fault.NotRun,
		"the platform's log is out, so that the idempotency key cannot be claimed; come back after the time in retry-after").
		WithRetryAfter(logRetryAfter)
}

// storeOutcome stores how the run of a claim ended. The claim of a request that
// did not run is released; a claim whose request may have run is kept without
// an outcome.
func (claimer *claimer) storeOutcome(task *task, outcome *dedup.Outcome, reason *fault.Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	hash := task.request.GetIdempotencyKeyHash()
	partition := claimer.partition(hash)
	partition.semaphore <- struct{}{}
	defer partition.unlock()
	if outcome == nil {
		if reason.Ran() != fault.NotRun {
			return
		}
		claimer.releaseClaim(partition, task)
	} else {
		partition.claims.StoreOutcome(task.organisation, hash, task.attempt.RequestID, *outcome)
		record, err := dedup.OutcomeRecord(task.organisation, hash, task.attempt.RequestID, *outcome)
		if err == nil {
			partition.pending = append(partition.pending, record)
		}
	}
	_ = claimer.appendPending(ctx, partition)
}

// releaseClaim queues a release record for the claim of a request that did not
// run.
func (claimer *claimer) releaseClaim(partition *partition, task *task) {
	record, err := dedup.ReleaseRecord(task.organisation, task.request.GetIdempotencyKeyHash(), task.claim)
	if err == nil {
		partition.pending = append(partition.pending, record)
	}
}
