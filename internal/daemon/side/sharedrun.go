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

// sharedRunKey identifies a shared run by organisation and hashed idempotency
// key.
type sharedRunKey struct{ organisation, hash string }

// sharedRun is one run whose outcome all concurrent copies of a request with an
// idempotency key receive.
type sharedRun struct {
	digest []byte
	done   chan struct{}
	// outcome or reason is set before done is closed.
	outcome *dedup.Outcome
	reason  *fault.Fault
}

// recorder keeps the response of a run for its copies and for the log.
type recorder struct {
	status    uint32
	body      []byte
	oversize  bool
	complete  bool
	doneEvent *wirepb.Done
	reason    *fault.Fault
	digest    hashWriter
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

func (recorder *recorder) done(done *wirepb.Done) { recorder.complete, recorder.doneEvent = true, done }

func (recorder *recorder) fail(reason *fault.Fault) {
	if recorder.reason == nil {
		recorder.reason = reason
	}
}

// outcome returns the recorded response, or nil if it is incomplete.
func (recorder *recorder) outcome() *dedup.Outcome {
	if !recorder.complete {
		return nil
	}
	outcome := &dedup.Outcome{
		Status: recorder.status, Body: recorder.body, FinishReason: recorder.doneEvent.GetFinishReason(),
		AdapterVersion: recorder.doneEvent.GetAdapterVersion(),
		PromptTokens:   recorder.doneEvent.GetPromptTokens(), GeneratedTokens: recorder.doneEvent.GetGeneratedTokens(),
	}
	if recorder.oversize {
		outcome.Body, outcome.Truncated = recorder.digest.sum(), true
	}
	return outcome
}

// runKeyed runs a request with an idempotency key, or answers it with the
// outcome of another run of the same key.
func (server *Server) runKeyed(ctx context.Context, task *task, responder *responder) error {
	sharedRun, leads := server.joinSharedRun(task)
	if !leads {
		return server.followSharedRun(ctx, task, responder, sharedRun)
	}
	defer server.endSharedRun(task, sharedRun)
	stored, refusal := server.claims.claim(ctx, task, func() *fault.Fault { return server.checkKeyedAdmission(task) })
	switch {
	case refusal != nil:
		sharedRun.reason = refusal
		return server.refuseTask(task, responder, refusal)
	case stored != nil:
		sharedRun.outcome = stored
		return server.replay(task, responder, stored)
	}
	responder.recorder = &recorder{digest: newHashWriter()}
	err := server.runTask(ctx, task, responder)
	sharedRun.outcome, sharedRun.reason = responder.recorder.outcome(), responder.recorder.reason
	if sharedRun.outcome == nil && sharedRun.reason == nil {
		sharedRun.reason = errOutcomeUnknown()
	}
	server.claims.storeOutcome(task, sharedRun.outcome, sharedRun.reason)
	return err
}

// checkKeyedAdmission checks a request before its key is claimed, so that a
// refused request writes no record to the log.
func (server *Server) checkKeyedAdmission(task *task) *fault.Fault {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.checkAdmission(task)
}

func errOutcomeUnknown() *fault.Fault {
	return fault.New(fault.OutcomeUnknown, fault.RunUnknown, "the request was run before and its outcome is not known; query it by its id")
}

func errKeyReused() *fault.Fault {
	return fault.New(fault.IdempotencyKeyReused, fault.NotRun, "the idempotency key was used for another request; use a new key")
}

// joinSharedRun returns the run in progress for the same idempotency key, or a
// new one. It reports whether the run is new, so that the caller has to execute
// it.
func (server *Server) joinSharedRun(task *task) (*sharedRun, bool) {
	key := sharedRunKey{task.organisation, string(task.request.GetIdempotencyKeyHash())}
	server.mu.Lock()
	defer server.mu.Unlock()
	if known, ok := server.sharedRuns[key]; ok {
		return known, false
	}
	created := &sharedRun{digest: task.request.GetRequestDigest(), done: make(chan struct{})}
	server.sharedRuns[key] = created
	return created, true
}

func (server *Server) endSharedRun(task *task, sharedRun *sharedRun) {
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.sharedRuns, sharedRunKey{task.organisation, string(task.request.GetIdempotencyKeyHash())})
	close(sharedRun.done)
}

// followSharedRun waits for the run of an earlier copy and answers with its
// outcome.
func (server *Server) followSharedRun(ctx context.Context, task *task, responder *responder, sharedRun *sharedRun) error {
	if !bytes.Equal(sharedRun.digest, task.request.GetRequestDigest()) {
		return server.refuseTask(task, responder, errKeyReused())
	}
	ctx, cancel := context.WithDeadline(ctx, server.deadline(task))
	defer cancel()
	select {
	case <-sharedRun.done:
	case <-ctx.Done():
		return server.refuseTask(task, responder, errOutcomeUnknown())
	}
	if sharedRun.outcome != nil {
		return server.replay(task, responder, sharedRun.outcome)
	}
	return server.refuseTask(task, responder, sharedRun.reason)
}

// replay answers with a stored outcome. Of a response that was too large, only
// the status and the digest are stored, which cannot stand for the response of
// a model.
func (server *Server) replay(task *task, responder *responder, outcome *dedup.Outcome) error {
	server.count("replayed")
	server.mu.Lock()
	server.attempts.End(time.Now(), task.attempt, fault.DidRun, outcome.Status)
	server.mu.Unlock()
	if outcome.Truncated && !task.plain {
		return server.refuseTask(task, responder, fault.New(fault.OutcomeUnknown, fault.DidRun,
			"the request ran before and its answer is no longer stored; send it with a new idempotency key for a new run"))
	}
	var headers []Header
	if outcome.Truncated {
		headers = append(headers, Header{Name: "X-Answer-Digest", Value: "sha-256=" + hex.EncodeToString(outcome.Body)})
	}
	if err := responder.sendReplayed(task, outcome, headers); err != nil {
		return err
	}
	if !outcome.Truncated && len(outcome.Body) > 0 {
		if err := responder.sendChunk(0, outcome.Body); err != nil {
			return err
		}
	}
	return responder.sendDone(&wirepb.Done{
		Replayed: true, FinishReason: outcome.FinishReason, AdapterVersion: outcome.AdapterVersion,
		PromptTokens: outcome.PromptTokens, GeneratedTokens: outcome.GeneratedTokens,
	})
}
