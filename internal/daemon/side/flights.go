package side

import (
	"bytes"
	"context"
	"encoding/hex"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// flightKey is an organisation and a hashed idempotency key.
type flightKey struct{ organisation, hash string }

// flight is one run that all copies of a request share.
type flight struct {
	digest []byte
	over   chan struct{}
	// outcome or reason is set when over is closed.
	outcome *dedup.Outcome
	reason  *fault.Fault
}

// recorder keeps the answer of a run for its copies.
type recorder struct {
	status   uint32
	body     []byte
	oversize bool
	complete bool
	ending   *wirepb.Done
	reason   *fault.Fault
	digest   hashWriter
}

func (recorder *recorder) start(status int) { recorder.status = uint32(status) }

func (recorder *recorder) write(data []byte) {
	recorder.digest.write(data)
	if recorder.oversize || len(recorder.body)+len(data) > dedup.MaxMemoryBody {
		recorder.oversize, recorder.body = true, nil
		return
	}
	recorder.body = append(recorder.body, data...)
}

func (recorder *recorder) done(done *wirepb.Done) { recorder.complete, recorder.ending = true, done }

func (recorder *recorder) fail(reason *fault.Fault) {
	if recorder.reason == nil {
		recorder.reason = reason
	}
}

// outcome returns the recorded answer, or nil if there is none that is whole.
func (recorder *recorder) outcome() *dedup.Outcome {
	if !recorder.complete {
		return nil
	}
	outcome := &dedup.Outcome{
		Status: recorder.status, Body: recorder.body, FinishReason: recorder.ending.GetFinishReason(),
		AdapterVersion: recorder.ending.GetAdapterVersion(),
		PromptTokens:   recorder.ending.GetPromptTokens(), GeneratedTokens: recorder.ending.GetGeneratedTokens(),
	}
	if recorder.oversize {
		outcome.Body, outcome.Truncated = recorder.digest.sum(), true
	}
	return outcome
}

// runKeyed runs a request with an idempotency key, or answers it with the run
// of the same request.
func (server *Server) runKeyed(ctx context.Context, ticket *ticket, answer *answer) error {
	flight, leads := server.join(ticket)
	if !leads {
		return server.follows(ctx, ticket, answer, flight)
	}
	defer server.land(ticket, flight)
	stored, refusal := server.claims.claim(ctx, ticket, func() *fault.Fault { return server.tryAdmit(ticket) })
	switch {
	case refusal != nil:
		flight.reason = refusal
		return server.turnDown(ticket, answer, refusal)
	case stored != nil:
		flight.outcome = stored
		return server.replay(ticket, answer, stored)
	}
	answer.recorder = &recorder{digest: newHashWriter()}
	err := server.runTicket(ctx, ticket, answer)
	flight.outcome, flight.reason = answer.recorder.outcome(), answer.recorder.reason
	if flight.outcome == nil && flight.reason == nil {
		flight.reason = outcomeUnknown()
	}
	server.claims.settle(ticket, flight.outcome, flight.reason)
	return err
}

// tryAdmit refuses a request on arrival before it costs the log a record.
func (server *Server) tryAdmit(ticket *ticket) *fault.Fault {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.admit(ticket)
}

func outcomeUnknown() *fault.Fault {
	return fault.New(fault.OutcomeUnknown, fault.RunUnknown, "the request was run before and its outcome is not known; query it by its id")
}

func keyReused() *fault.Fault {
	return fault.New(fault.IdempotencyKeyReused, fault.NotRun, "the idempotency key was used for another request; use a new key")
}

// join returns the run of the same idempotency key, and whether the caller
// leads it.
func (server *Server) join(ticket *ticket) (*flight, bool) {
	key := flightKey{ticket.organisation, string(ticket.request.GetIdempotencyKeyHash())}
	server.mu.Lock()
	defer server.mu.Unlock()
	if known, ok := server.flights[key]; ok {
		return known, false
	}
	leading := &flight{digest: ticket.request.GetRequestDigest(), over: make(chan struct{})}
	server.flights[key] = leading
	return leading, true
}

func (server *Server) land(ticket *ticket, flight *flight) {
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.flights, flightKey{ticket.organisation, string(ticket.request.GetIdempotencyKeyHash())})
	close(flight.over)
}

// follows waits for the run of an earlier copy and answers with its outcome.
func (server *Server) follows(ctx context.Context, ticket *ticket, answer *answer, flight *flight) error {
	if !bytes.Equal(flight.digest, ticket.request.GetRequestDigest()) {
		return server.turnDown(ticket, answer, keyReused())
	}
	ctx, cancel := context.WithDeadline(ctx, server.deadline(ticket))
	defer cancel()
	select {
	case <-flight.over:
	case <-ctx.Done():
		return server.turnDown(ticket, answer, outcomeUnknown())
	}
	if flight.outcome != nil {
		return server.replay(ticket, answer, flight.outcome)
	}
	return server.turnDown(ticket, answer, flight.reason)
}

// replay answers with a stored outcome. Of an answer that was too large, only
// the status and the digest are left, which are no answer of a model.
func (server *Server) replay(ticket *ticket, answer *answer, outcome *dedup.Outcome) error {
	server.count("replayed")
	server.mu.Lock()
	server.records.End(time.Now(), ticket.attempt, fault.DidRun, outcome.Status)
	server.mu.Unlock()
	if outcome.Truncated && !ticket.plain {
		return server.turnDown(ticket, answer, fault.New(fault.OutcomeUnknown, fault.DidRun,
			"the request ran before and its answer is no longer stored; send it with a new idempotency key for a new run"))
	}
	var headers []Header
	if outcome.Truncated {
		headers = append(headers, Header{Name: "X-Answer-Digest", Value: "sha-256=" + hex.EncodeToString(outcome.Body)})
	}
	if err := answer.replayed(ticket, outcome, headers); err != nil {
		return err
	}
	if !outcome.Truncated && len(outcome.Body) > 0 {
		if err := answer.chunk(0, outcome.Body); err != nil {
			return err
		}
	}
	return answer.done(&wirepb.Done{
		Replayed: true, FinishReason: outcome.FinishReason, AdapterVersion: outcome.AdapterVersion,
		PromptTokens: outcome.PromptTokens, GeneratedTokens: outcome.GeneratedTokens,
	})
}
