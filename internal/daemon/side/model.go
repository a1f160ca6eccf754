package side

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// maxResumes bounds how often a broken stream is resumed.
	maxResumes = 3
	// resumeBackoff gives an engine that dropped its connections time to accept
	// new ones.
	resumeBackoff = 50 * time.Millisecond
)

// errBrokenStream is the error of a stream that skipped a token.
var errBrokenStream = errors.New("the upstream's stream broke")

// modelRun is the run of one model request.
type modelRun struct {
	server    *Server
	task      *task
	responder *responder
	// nextIndex is the index of the next token to relay.
	nextIndex    int64
	relayed      int64
	started      bool
	finishReason string
}

// runModel sends a dispatched request to the engine and relays its response.
func (server *Server) runModel(ctx context.Context, task *task, responder *responder) error {
	modelRun := &modelRun{server: server, task: task, responder: responder, nextIndex: task.request.GetResumeFrom()}
	reason, sendErr := modelRun.run(ctx)
	if reason == nil && sendErr == nil {
		return modelRun.complete()
	}
	if sendErr != nil {
		reason = fault.New(fault.Cancelled, fault.DidRun, "the caller went away during the answer")
	}
	return modelRun.abort(reason, sendErr)
}

// run relays the response until its end. A broken stream is resumed if the
// request is idempotent and a stream had been opened. The first result is the
// engine's failure, the second the error of sending to the caller.
func (modelRun *modelRun) run(ctx context.Context) (*fault.Fault, error) {
	for resumes := 0; ; resumes++ {
		err, sendErr := modelRun.relayStream(ctx)
		if err == nil || sendErr != nil {
			return nil, sendErr
		}
		reason := modelRun.faultFrom(ctx, err)
		if ctx.Err() != nil || !modelRun.task.idempotent || !modelRun.started || resumes >= maxResumes {
			return reason, nil
		}
		modelRun.server.count("resumes")
		modelRun.server.logPlacement("resuming response", modelRun.task,
			zap.Int64("next-index", modelRun.nextIndex), zap.NamedError("reason", err))
		select {
		case <-time.After(resumeBackoff):
		case <-ctx.Done():
		}
	}
}

// faultFrom translates an error of the engine into the fault of the request.
func (modelRun *modelRun) faultFrom(ctx context.Context, err error) *fault.Fault {
	ran := fault.RunUnknown
	if modelRun.started {
		ran = fault.DidRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, ran, "the request took longer than its time budget; ask for fewer tokens")
	case ctx.Err() != nil:
		return fault.New(fault.Cancelled, ran, "the caller went away during the answer")
	}
	reason, ok := fault.As(err)
	if !ok {
		return fault.New(fault.UpstreamFailed, ran, "the engine failed: %v; send the request again if it may be repeated", err)
	}
	if reason.Kind() == fault.UnknownRequest && modelRun.nextIndex > 0 {
		return fault.New(fault.UpstreamFailed, fault.DidRun,
			"the engine has lost the rest of the answer; send the request again if it may be repeated")
	}
	if modelRun.started && reason.Ran() != fault.DidRun {
		return reason.WithRan(fault.DidRun)
	}
	return reason
}

// relayStream opens the engine's stream at the next token and relays it. The
// first error is the engine's, the second the caller's.
func (modelRun *modelRun) relayStream(ctx context.Context) (engineErr, sendErr error) {
	task := modelRun.task
	stream, err := modelRun.server.config.UpstreamClient.Generate(ctx, GenerateRequest{
		RequestID: task.attempt.RequestID, Attempt: task.attempt.Number, Organisation: task.organisation,
		Ref: task.ref, Class: priorityClass(task.request.GetClass()), MaxTokens: task.maxTokens,
		ResumeFrom: modelRun.nextIndex, Method: task.request.GetMethod(), Path: task.request.GetPath(),
		Headers: upstreamHeaders(task), Body: task.request.GetBody(),
	})
	if err != nil {
		return err, nil
	}
	defer stream.Close()
	if !modelRun.started {
		modelRun.started = true
		if err := modelRun.responder.sendStarted(task, http.StatusOK, nil); err != nil {
			return nil, err
		}
	}
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			modelRun.finishReason = stream.FinishReason()
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if engineErr, sendErr := modelRun.relayToken(token); engineErr != nil || sendErr != nil {
			return engineErr, sendErr
		}
	}
}

// relayToken relays a token if it is the next one of this attempt. Tokens of
// other requests and repeated tokens are dropped and counted; a skipped token
// breaks the stream.
func (modelRun *modelRun) relayToken(token Token) (engineErr, sendErr error) {
	if !modelRun.matches(token) {
		modelRun.server.count("dropped-foreign-tokens")
		return nil, nil
	}
	if token.Index < modelRun.nextIndex {
		modelRun.server.count("dropped-repeated-tokens")
		return nil, nil
	}
	if token.Index > modelRun.nextIndex {
		return errBrokenStream, nil
	}
	if modelRun.relayed == 0 {
		modelRun.server.recordFirstToken(modelRun.task)
	}
	modelRun.nextIndex++
	modelRun.relayed++
	return nil, modelRun.responder.sendChunk(token.Index, []byte(token.Text))
}

// matches compares the fields of the request that the engine echoes with the
// attempt.
func (modelRun *modelRun) matches(token Token) bool {
	task := modelRun.task
	return (token.RequestID == "" || token.RequestID == task.attempt.RequestID) &&
		(token.Attempt == 0 || token.Attempt == task.attempt.Number) &&
		(token.Model == "" || token.Model == task.ref.String())
}

// recordFirstToken records when the engine sent the first token of a request.
func (server *Server) recordFirstToken(task *task) {
	server.mu.Lock()
	defer server.mu.Unlock()
	task.firstTokenAt = time.Now()
}

// complete ends a response that the engine finished.
func (modelRun *modelRun) complete() error {
	task := modelRun.task
	used := conf.Tokens(task.request.GetPromptTokens() + modelRun.nextIndex)
	task.reservation.Settle(min(used, task.cost))
	modelRun.server.finishTask(task, runEnd{ran: fault.DidRun, status: http.StatusOK, confirmed: true})
	modelRun.server.count("done")
	return modelRun.responder.sendDone(&wirepb.Done{
		PromptTokens: task.request.GetPromptTokens(), GeneratedTokens: modelRun.relayed, FinishReason: modelRun.finishReason,
	})
}

// requestPoll makes pollEngine run at once, since the engine lacks an adapter
// that it should hold.
func (server *Server) requestPoll() {
	select {
	case server.pollNow <- struct{}{}:
	default:
	}
}

// abort ends a response that broke off. A request that the engine did not
// receive counts as not run and uses no tokens; any other may have used all of
// its tokens.
func (modelRun *modelRun) abort(reason *fault.Fault, sendErr error) error {
	task := modelRun.task
	used := task.cost
	if reason.Ran() == fault.NotRun {
		used = 0
	}
	task.reservation.Settle(used)
	if reason.Kind() == fault.LoadFailed {
		modelRun.server.requestPoll()
	}
	modelRun.server.finishTask(task, runEnd{
		ran: reason.Ran(), status: uint32(reason.Status()), confirmed: reason.Ran() == fault.NotRun,
	})
	if sendErr != nil {
		return sendErr
	}
	if reason.Ran() == fault.NotRun {
		return modelRun.responder.refuse(reason)
	}
	return modelRun.responder.fail(reason, modelRun.nextIndex)
}
