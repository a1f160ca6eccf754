package entry

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// job is the work of one request, independent of the attempts made at it.
type job struct {
	exchange *exchange
	// ready is when the request was read, from which its wait counts.
	ready   time.Time
	service *service
	sink    sink
	// template is the message for the side process, but for what differs from
	// one attempt to the next.
	template *wirepb.RunRequest
	routing  policy.Request
	// claim is the hash of the caller's Idempotency-Key, or empty.
	claim []byte
	// next is the index of the first token that the caller has not received.
	next int64
	// tried lists the upstreams of earlier attempts.
	tried []string
	// rank is the place in the rendezvous order that a claim has reached.
	rank int
	// resumeAt is the upstream that may still hold the broken answer.
	resumeAt string
	// doubtful says that an earlier attempt may have run.
	doubtful  bool
	retries   int
	handbacks int
}

// newJob returns a job for the exchange, whose caller and route are known.
func newJob(exchange *exchange, sink sink) (*job, *fault.Fault) {
	service, ok := exchange.entry.fleet.service(exchange.route.Service)
	if !ok {
		return nil, noUpstream(exchange.route.Service)
	}
	spec := exchange.route
	job := &job{exchange: exchange, ready: time.Now(), service: service, sink: sink}
	job.routing = policy.Request{Half: exchange.organisation.Half}
	job.template = &wirepb.RunRequest{
		ConfigVersion:  exchange.config.Version(),
		Organisation:   exchange.organisation.Name,
		KeyId:          exchange.keyID,
		Route:          spec.Name,
		Class:          wirepb.Class(spec.Class),
		Adapter:        exchange.adapter,
		AdapterVersion: exchange.version,
		Idempotent:     spec.Idempotent,
		Headers:        forwarded(exchange.request.Header),
	}
	return job, nil
}

// idempotent reports whether the work may run twice.
func (job *job) idempotent() bool { return job.template.GetIdempotent() && len(job.claim) == 0 }

func noUpstream(service string) *fault.Fault {
	return fault.New(fault.NoUpstream, fault.NotRun, "no upstream of service %s is usable; come back later", service)
}

// request returns the message for one attempt.
func (job *job) request(ctx context.Context, number uint32, incarnation uint64) *wirepb.RunRequest {
	request := &wirepb.RunRequest{
		RequestId:          job.exchange.id,
		Attempt:            number,
		ConfigVersion:      job.template.ConfigVersion,
		Organisation:       job.template.Organisation,
		KeyId:              job.template.KeyId,
		Route:              job.template.Route,
		Class:              job.template.Class,
		Adapter:            job.template.Adapter,
		AdapterVersion:     job.template.AdapterVersion,
		PromptTokens:       job.template.PromptTokens,
		MaxTokens:          job.template.MaxTokens,
		Idempotent:         job.idempotent(),
		IdempotencyKeyHash: job.claim,
		RequestDigest:      job.template.RequestDigest,
		Method:             job.template.Method,
		Path:               job.template.Path,
		Headers:            job.template.Headers,
		Body:               job.template.Body,
		Stream:             job.template.Stream,
		PrefixHash:         job.template.PrefixHash,
		ResumeFrom:         job.next,
		Incarnation:        incarnation,
		WaitBudgetUs:       job.waitLeft().Microseconds(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeBudgetUs = time.Until(deadline).Microseconds()
	}
	return request
}

// waitLeft returns how long the request may still wait for its dispatch.
func (job *job) waitLeft() time.Duration {
	longest := job.exchange.route.MaxWait
	if longest <= 0 {
		longest = job.exchange.entry.config.Limits.RequestTimeout
	}
	return longest - time.Since(job.ready)
}

// setTokens sets what the work costs and what routing needs to know of it.
func (job *job) setTokens(prompt, limit conf.Tokens) {
	job.template.PromptTokens, job.template.MaxTokens = int64(prompt), int64(limit)
	job.routing.PromptTokens = prompt
}
