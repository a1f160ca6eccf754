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

// nextAttempt chooses and records the upstream of the next attempt.
func (job *job) nextAttempt(number uint32) (*attempt, *fault.Fault) {
	entry := job.exchange.entry
	// A chosen upstream may have left the instance list since the last refresh. It
	// is then avoided in the next choice.
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
			job.rendezvousRank++
			continue
		}
		job.recordUpstream(decision.Upstream)
		job.logDecision(&decision, number)
		return &attempt{
			job:         job,
			number:      number,
			upstream:    decision.Upstream,
			address:     instance.Address,
			incarnation: job.expectedIncarnation(&decision),
			resumeFrom:  job.nextToken,
		}, nil
	}
	return nil, noUpstream(job.service.name)
}

// expectedIncarnation returns the incarnation of the side process that the
// attempt is bound to, or 0 for any. Work that may run twice accepts any.
func (job *job) expectedIncarnation(decision *policy.Decision) uint64 {
	if job.idempotent() {
		return 0
	}
	return decision.Incarnation
}

func (job *job) choose() (policy.Decision, bool) {
	now := time.Now()
	job.routing.Avoid = job.tried
	if len(job.idempotencyKeyHash) > 0 {
		return job.chooseByIdempotencyKey(now)
	}
	if job.resumeUpstream != "" {
		pinned := job.routing
		pinned.RequiredUpstream, pinned.Avoid = job.resumeUpstream, nil
		if decision, ok := job.service.policy.Choose(now, pinned); ok {
			return decision, true
		}
	}
	return job.service.policy.Choose(now, job.routing)
}

// chooseByIdempotencyKey takes the first usable upstream in the rendezvous order
// of the key's partition, so that copies of a request reach the same side
// process. The order is by partition and not by key, because a side process that
// claims a key reads the partition's whole stream.
func (job *job) chooseByIdempotencyKey(now time.Time) (policy.Decision, bool) {
	var ids []string
	for _, spec := range job.service.specs {
		if spec.Half.CompatibleWith(job.routing.Half) {
			ids = append(ids, spec.ID)
		}
	}
	partition := []byte(dedup.StreamName(dedup.PartitionOf(job.idempotencyKeyHash, dedup.DefaultPartitions)))
	for ; ; job.rendezvousRank++ {
		index := ring.Rendezvous(partition, ids, job.rendezvousRank)
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

// recordUpstream records the upstream that the request is sent to. The tag of the
// first upstream becomes a part of the request id, so that any instance can ask
// this upstream for the outcome.
func (job *job) recordUpstream(upstream string) {
	exchange := job.exchange
	if !exchange.idHasUpstream {
		exchange.idHasUpstream = true
		exchange.id += "-" + upstreamTag(upstream)
	}
	if !job.idempotent() {
		exchange.entry.history.add(exchange.id, upstream)
	}
}

// upstreamTag returns the part of a request id that identifies an upstream.
func upstreamTag(upstream string) string {
	return fmt.Sprintf("%08x", uint32(xxh3.HashString(upstream)))
}

// candidateScores writes the scores of a decision's candidates to the log.
type candidateScores []policy.Candidate

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (candidateScores candidateScores) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, candidate := range candidateScores {
		encoder.AppendString(fmt.Sprintf("%s=%.1f", candidate.Upstream, candidate.Score))
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
		zap.Array("scores", candidateScores(decision.Candidates())),
		zap.String("adapter", exchange.adapter),
		zap.Uint32("version", exchange.version),
		zap.String("organisation", exchange.organisation.Name),
	)
}
