package side

import (
	"context"
	"errors"
	"io"
	"net/http"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// plainChunk is the size of the pieces in which a plain answer is relayed.
const plainChunk = 32 << 10

// runPlain sends a dispatched call to the plain service once and relays its
// answer.
func (server *Server) runPlain(ctx context.Context, ticket *ticket, answer *answer) error {
	reply, err := server.config.UpstreamClient.CallPlain(ctx, PlainRequest{
		RequestID: ticket.attempt.RequestID, Attempt: ticket.attempt.Number, Organisation: ticket.organisation,
		Method: ticket.request.GetMethod(), Path: ticket.request.GetPath(),
		Headers: upstreamHeaders(ticket), Body: ticket.request.GetBody(),
	})
	if err != nil {
		return server.abortPlain(ticket, answer, plainFault(ctx, err, fault.RunUnknown), nil)
	}
	defer func() { _ = reply.Body.Close() }()
	if err := answer.started(ticket, reply.Status, callerHeaders(reply.Headers)); err != nil {
		return server.abortPlain(ticket, answer, callerGone(), err)
	}
	readErr, sendErr := copyBody(reply.Body, answer)
	switch {
	case sendErr != nil:
		return server.abortPlain(ticket, answer, callerGone(), sendErr)
	case readErr != nil:
		return server.abortPlain(ticket, answer, plainFault(ctx, readErr, fault.DidRun), nil)
	}
	ticket.debit.Settle(ticket.cost)
	server.finish(ticket, ending{ran: fault.DidRun, status: uint32(reply.Status), confirmed: true})
	server.count("done")
	return answer.done(&wirepb.Done{FinishReason: http.StatusText(reply.Status)})
}

func callerGone() *fault.Fault {
	return fault.New(fault.Cancelled, fault.DidRun, "the caller went away during the answer")
}

// copyBody relays a body in pieces.
func copyBody(body io.Reader, answer *answer) (readErr, sendErr error) {
	buffer := make([]byte, plainChunk)
	for index := int64(0); ; {
		count, err := body.Read(buffer)
		if count > 0 {
			if sendErr := answer.chunk(index, buffer[:count]); sendErr != nil {
				return nil, sendErr
			}
			index++
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// plainFault tells what an error of the plain service means for the call.
func plainFault(ctx context.Context, err error, ran fault.Execution) *fault.Fault {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, ran, "the call took longer than its time budget; query its outcome by its id")
	case ctx.Err() != nil:
		return fault.New(fault.Cancelled, ran, "the caller went away during the call")
	}
	if reason, ok := fault.As(err); ok {
		return reason
	}
	return fault.New(fault.UpstreamFailed, ran, "the service failed: %v; query the outcome of the call by its id", err)
}

// abortPlain ends a call that failed. A call that the service did not receive
// costs nothing.
func (server *Server) abortPlain(ticket *ticket, answer *answer, reason *fault.Fault, sendErr error) error {
	if reason.Ran() == fault.NotRun {
		ticket.debit.Settle(0)
	} else {
		ticket.debit.Settle(ticket.cost)
	}
	server.finish(ticket, ending{ran: reason.Ran(), status: uint32(reason.Status())})
	if sendErr != nil {
		return sendErr
	}
	if reason.Ran() == fault.NotRun {
		return answer.refuse(reason)
	}
	return answer.fail(reason, 0)
}
