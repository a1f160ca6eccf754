package entry

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// job is the work of one request, independent of its attempts.
type job struct {
	exchange *exchange
	// waitStart is the time at which the request had been read. The wait for
	// dispatch counts from then.
	waitStart time.Time
	service   *service
	sink      sink
	// template is the message to the side process without the fields that differ
	// between attempts.
	template *wirepb.RunRequest
	routing  policy.Request
	// idempotencyKeyHash is the hash of the organisation and the caller's
	// Idempotency-Key, or empty.
	idempotencyKeyHash []byte
	// nextToken is the index of the first token that the caller has not received.
	nextToken int64
	// tried lists the upstreams of earlier attempts.
	tried []string
	// rendezvousRank is the position reached in the rendezvous order of the
	// Idempotency-Key's partition.
	rendezvousRank int
	// resumeUpstream is the upstream that may be able to resume the interrupted
	// response, or empty.
	resumeUpstream string
	// mayHaveRun means that an earlier attempt may have run.
	mayHaveRun bool
	retries    int
	handbacks  int
}

// newJob returns a job for an exchange whose caller and route are known.
func newJob(exchange *exchange, sink sink) (*job, *fault.Fault) {
	service, ok := exchange.entry.services.service(exchange.route.Service)
	if !ok {
		return nil, noUpstream(exchange.route.Service)
	}
	spec := exchange.route
	job := &job{exchange: exchange, waitStart: time.Now(), service: service, sink: sink}
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
		Headers:        forwardedHeaders(exchange.request.Header),
	}
	return job, nil
}

// idempotent reports whether the work may run twice. A request with an
// Idempotency-Key may not.
func (job *job) idempotent() bool {
	return job.template.GetIdempotent() && len(job.idempotencyKeyHash) == 0
}

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
		IdempotencyKeyHash: job.idempotencyKeyHash,
		RequestDigest:      job.template.RequestDigest,
		Method:             job.template.Method,
		Path:               job.template.Path,
		Headers:            job.template.Headers,
		Body:               job.template.Body,
		Stream:             job.template.Stream,
		PrefixHash:         job.template.PrefixHash,
		ResumeFrom:         job.nextToken,
		Incarnation:        incarnation,
		WaitBudgetUs:       job.remainingWait().Microseconds(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeBudgetUs = time.Until(deadline).Microseconds()
	}
	return request
}

// remainingWait returns how long the request may still wait for dispatch.
func (job *job) remainingWait() time.Duration {
	maxWait := job.exchange.route.MaxWait
	if maxWait <= 0 {
		maxWait = job.exchange.entry.config.Limits.RequestTimeout
	}
	return maxWait - time.Since(job.waitStart)
}

// setTokens sets the token counts that the request is charged for and that
// routing uses.
func (job *job) setTokens(prompt, limit conf.Tokens) {
	job.template.PromptTokens, job.template.MaxTokens = int64(prompt), int64(limit)
	job.routing.PromptTokens = prompt
}
