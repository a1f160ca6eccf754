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
	// maxResumes bounds how often a broken answer is taken up again.
	maxResumes = 3
	// resumePause lets an engine that dropped its connections come back.
	resumePause = 50 * time.Millisecond
)

// errBroken is a stream that ended without its end marker or skipped a token.
var errBroken = errors.New("the upstream's stream broke")

// generation is the run of one model request.
type generation struct {
	server *Server
	ticket *ticket
	answer *answer
	// next is the index of the next token to relay.
	next   int64
	relays int64
	began  bool
	finish string
}

// runModel sends a dispatched request to the engine and relays its answer.
func (server *Server) runModel(ctx context.Context, ticket *ticket, answer *answer) error {
	generation := &generation{server: server, ticket: ticket, answer: answer, next: ticket.request.GetResumeFrom()}
	reason, sendErr := generation.run(ctx)
	if reason == nil && sendErr == nil {
		return generation.complete()
	}
	if sendErr != nil {
		reason = fault.New(fault.Cancelled, fault.DidRun, "the caller went away during the answer")
	}
	return generation.abort(reason, sendErr)
}

// run relays the answer until its end and takes it up again where it breaks,
// as far as the request allows it.
func (generation *generation) run(ctx context.Context) (*fault.Fault, error) {
	for resumes := 0; ; resumes++ {
		err, sendErr := generation.relay(ctx)
		if err == nil || sendErr != nil {
			return nil, sendErr
		}
		reason := generation.classify(ctx, err)
		if ctx.Err() != nil || !generation.ticket.idempotent || !generation.began || resumes >= maxResumes {
			return reason, nil
		}
		generation.server.count("resumes")
		generation.server.place("resuming answer", generation.ticket,
			zap.Int64("next-index", generation.next), zap.NamedError("reason", err))
		select {
		case <-time.After(resumePause):
		case <-ctx.Done():
		}
	}
}

// classify tells what an error of the engine means for the request.
func (generation *generation) classify(ctx context.Context, err error) *fault.Fault {
	ran := fault.RunUnknown
	if generation.began {
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
	if reason.Kind() == fault.UnknownRequest && generation.next > 0 {
		return fault.New(fault.UpstreamFailed, fault.DidRun,
			"the engine has lost the rest of the answer; send the request again if it may be repeated")
	}
	if generation.began && reason.Ran() != fault.DidRun {
		return reason.WithRan(fault.DidRun)
	}
	return reason
}

// relay opens the engine's stream at the next token and relays it. The first
// error is the engine's, the second the caller's.
func (generation *generation) relay(ctx context.Context) (engineErr, sendErr error) {
	ticket := generation.ticket
	stream, err := generation.server.config.UpstreamClient.Generate(ctx, GenerateRequest{
		RequestID: ticket.attempt.RequestID, Attempt: ticket.attempt.Number, Organisation: ticket.organisation,
		Ref: ticket.ref, Class: class(ticket.request.GetClass()), MaxTokens: ticket.maxTokens,
		ResumeFrom: generation.next, Method: ticket.request.GetMethod(), Path: ticket.request.GetPath(),
		Headers: upstreamHeaders(ticket), Body: ticket.request.GetBody(),
	})
	if err != nil {
		return err, nil
	}
	defer stream.Close()
	if !generation.began {
		generation.began = true
		if err := generation.answer.started(ticket, http.StatusOK, nil); err != nil {
			return nil, err
		}
	}
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			generation.finish = stream.FinishReason()
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if engineErr, sendErr := generation.accept(token); engineErr != nil || sendErr != nil {
			return engineErr, sendErr
		}
	}
}

// accept relays a token if it is the next one of this attempt. Others are
// dropped and counted; a gap breaks the stream.
func (generation *generation) accept(token Token) (engineErr, sendErr error) {
	if !generation.matches(token) {
		generation.server.count("dropped-foreign-tokens")
		return nil, nil
	}
	if token.Index < generation.next {
		generation.server.count("dropped-repeated-tokens")
		return nil, nil
	}
	if token.Index > generation.next {
		return errBroken, nil
	}
	if generation.relays == 0 {
		generation.server.seen(generation.ticket)
	}
	generation.next++
	generation.relays++
	return nil, generation.answer.chunk(token.Index, []byte(token.Text))
}

// matches compares what the engine echoes of the request with the ticket.
func (generation *generation) matches(token Token) bool {
	ticket := generation.ticket
	return (token.RequestID == "" || token.RequestID == ticket.attempt.RequestID) &&
		(token.Attempt == 0 || token.Attempt == ticket.attempt.Number) &&
		(token.Model == "" || token.Model == ticket.ref.String())
}

// seen notes that the engine works on a request.
func (server *Server) seen(ticket *ticket) {
	server.mu.Lock()
	defer server.mu.Unlock()
	ticket.firstToken = time.Now()
}

// complete ends an answer that the engine finished.
func (generation *generation) complete() error {
	ticket := generation.ticket
	used := conf.Tokens(ticket.request.GetPromptTokens() + generation.next)
	ticket.debit.Settle(min(used, ticket.cost))
	generation.server.finish(ticket, ending{ran: fault.DidRun, status: http.StatusOK, confirmed: true})
	generation.server.count("done")
	return generation.answer.done(&wirepb.Done{
		PromptTokens: ticket.request.GetPromptTokens(), GeneratedTokens: generation.relays, FinishReason: generation.finish,
	})
}

// askState asks for the engine's state at once, since the engine lacks an
// adapter that it should hold.
func (server *Server) askState() {
	select {
	case server.wake <- struct{}{}:
	default:
	}
}

// abort ends an answer that broke. A request that the engine did not receive
// counts as not run; of any other, the engine may have used all tokens.
func (generation *generation) abort(reason *fault.Fault, sendErr error) error {
	ticket := generation.ticket
	used := ticket.cost
	if reason.Ran() == fault.NotRun {
		used = 0
	}
	ticket.debit.Settle(used)
	if reason.Kind() == fault.LoadFailed {
		generation.server.askState()
	}
	generation.server.finish(ticket, ending{
		ran: reason.Ran(), status: uint32(reason.Status()), confirmed: reason.Ran() == fault.NotRun,
	})
	if sendErr != nil {
		return sendErr
	}
	if reason.Ran() == fault.NotRun {
		return generation.answer.refuse(reason)
	}
	return generation.answer.fail(reason, generation.next)
}
