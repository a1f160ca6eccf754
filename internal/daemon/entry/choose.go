package entry

import (
	"fmt"
	"time"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/flow/ring"
)

// nextAttempt chooses the upstream of the next attempt.
func (job *job) nextAttempt(number uint32) (*attempt, *fault.Fault) {
	entry := job.exchange.entry
	// An upstream whose side process vanishes from the instance list between
	// two refreshes is chosen once and then avoided.
	for range entry.config.Limits.MaxAttempts {
		decision, ok := job.choose()
		if !ok {
			entry.config.Counters.Add("no-upstream", 1)
			return nil, noUpstream(job.service.name)
		}
		instance, ok := entry.config.InstanceSource.SideProcess(decision.Upstream)
		if !ok {
			job.service.policy.RequestEnded(decision.Upstream)
			job.tried = append(job.tried, decision.Upstream)
			job.rank++
			continue
		}
		job.place(decision.Upstream)
		job.logDecision(&decision, number)
		return &attempt{
			job:         job,
			number:      number,
			upstream:    decision.Upstream,
			address:     instance.Address,
			incarnation: job.expected(&decision),
			from:        job.next,
		}, nil
	}
	return nil, noUpstream(job.service.name)
}

// expected returns the incarnation that the attempt is bound to. Work that may
// run twice accepts any.
func (job *job) expected(decision *policy.Decision) uint64 {
	if job.idempotent() {
		return 0
	}
	return decision.Incarnation
}

func (job *job) choose() (policy.Decision, bool) {
	now := time.Now()
	job.routing.Avoid = job.tried
	if len(job.claim) > 0 {
		return job.chooseByClaim(now)
	}
	if job.resumeAt != "" {
		pinned := job.routing
		pinned.RequiredUpstream, pinned.Avoid = job.resumeAt, nil
		if decision, ok := job.service.policy.Choose(now, pinned); ok {
			return decision, true
		}
	}
	return job.service.policy.Choose(now, job.routing)
}

// chooseByClaim takes the first usable upstream in the rendezvous order of the
// partition of the Idempotency-Key, so that copies of a request meet. The order
// is that of the partition and not of the key, because whoever claims a key
// reads the partition's whole stream.
func (job *job) chooseByClaim(now time.Time) (policy.Decision, bool) {
	var ids []string
	for _, spec := range job.service.specs {
		if spec.Half.CompatibleWith(job.routing.Half) {
			ids = append(ids, spec.ID)
		}
	}
	partition := []byte(dedup.StreamName(dedup.PartitionOf(job.claim, dedup.DefaultPartitions)))
	for ; ; job.rank++ {
		index := ring.Rendezvous(partition, ids, job.rank)
		if index < 0 {
			return policy.Decision{}, false
		}
		pinned := job.routing
		pinned.RequiredUpstream, pinned.Avoid = ids[index], nil
		if decision, ok := job.service.policy.Choose(now, pinned); ok {
			return decision, true
		}
	}
}

// place notes where the request goes. The first upstream becomes a part of the
// request id, so that any instance can ask it for the outcome.
func (job *job) place(upstream string) {
	exchange := job.exchange
	if !exchange.placed {
		exchange.placed = true
		exchange.id += "-" + placeMark(upstream)
	}
	if !job.idempotent() {
		exchange.entry.places.add(exchange.id, upstream)
	}
}

// placeMark returns the part of a request id that stands for an upstream.
func placeMark(upstream string) string {
	return fmt.Sprintf("%08x", uint32(xxh3.HashString(upstream)))
}

// alternatives writes the scores of a decision to the log.
type alternatives []policy.Candidate

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (alternatives alternatives) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, alternative := range alternatives {
		encoder.AppendString(fmt.Sprintf("%s=%.1f", alternative.Upstream, alternative.Score))
	}
	return nil
}

func (job *job) logDecision(decision *policy.Decision, number uint32) {
	exchange := job.exchange
	exchange.entry.config.Counters.Add("decisions-"+decision.Reason.String(), 1)
	exchange.entry.config.Logger.Info("route: chose upstream",
		zap.String("request-id", exchange.id),
		zap.Uint32("attempt", number),
		zap.String("upstream", decision.Upstream),
		zap.Stringer("reason", decision.Reason),
		zap.Array("scores", alternatives(decision.Candidates())),
		zap.String("adapter", exchange.adapter),
		zap.Uint32("version", exchange.version),
		zap.String("organisation", exchange.organisation.Name),
	)
}
