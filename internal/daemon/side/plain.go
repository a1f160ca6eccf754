package side

import (
	"context"
	"errors"
	"io"
	"net/http"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// plainChunkSize is the size of the chunks in which a plain response is
// relayed.
const plainChunkSize = 32 << 10

// runPlain sends a dispatched request to the plain service once and relays its
// response.
func (server *Server) runPlain(ctx context.Context, task *task, responder *responder) error {
	reply, err := server.config.UpstreamClient.CallPlain(ctx, PlainRequest{
		RequestID: task.attempt.RequestID, Attempt: task.attempt.Number, Organisation: task.organisation,
		Method: task.request.GetMethod(), Path: task.request.GetPath(),
		Headers: upstreamHeaders(task), Body: task.request.GetBody(),
	})
	if err != nil {
		return server.abortPlain(task, responder, plainFault(ctx, err, fault.RunUnknown), nil)
	}
	defer func() { _ = reply.Body.Close() }()
	if err := responder.sendStarted(task, reply.Status, callerHeaders(reply.Headers)); err != nil {
		return server.abortPlain(task, responder, errCallerGone(), err)
	}
	readErr, sendErr := copyBody(reply.Body, responder)
	switch {
	case sendErr != nil:
		return server.abortPlain(task, responder, errCallerGone(), sendErr)
	case readErr != nil:
		return server.abortPlain(task, responder, plainFault(ctx, readErr, fault.DidRun), nil)
	}
	task.reservation.Settle(task.cost)
	server.finishTask(task, runEnd{ran: fault.DidRun, status: uint32(reply.Status), confirmed: true})
	server.count("done")
	return responder.sendDone(&wirepb.Done{FinishReason: http.StatusText(reply.Status)})
}

func errCallerGone() *fault.Fault {
	return fault.New(fault.Cancelled, fault.DidRun, "the caller went away during the answer")
}

// copyBody relays a body in chunks.
func copyBody(body io.Reader, responder *responder) (readErr, sendErr error) {
	buffer := make([]byte, plainChunkSize)
	for index := int64(0); ; {
		count, err := body.Read(buffer)
		if count > 0 {
			if sendErr := responder.sendChunk(index, buffer[:count]); sendErr != nil {
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

// plainFault translates an error of the plain service into the fault of the
// request.
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

// abortPlain ends a request to a plain service that failed. A request that the
// service did not receive uses no tokens.
func (server *Server) abortPlain(task *task, responder *responder, reason *fault.Fault, sendErr error) error {
	if reason.Ran() == fault.NotRun {
		task.reservation.Settle(0)
	} else {
		task.reservation.Settle(task.cost)
	}
	server.finishTask(task, runEnd{ran: reason.Ran(), status: uint32(reason.Status())})
	if sendErr != nil {
		return sendErr
	}
	if reason.Ran() == fault.NotRun {
		return responder.refuse(reason)
	}
	return responder.fail(reason, 0)
}
