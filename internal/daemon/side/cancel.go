package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/flow/fairq"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// Cancel implements wirepb.DRPCSideServer. An attempt that still waits is
// removed from the queue; a dispatched one is not stopped.
func (server *Server) Cancel(_ context.Context, request *wirepb.CancelRequest) (*wirepb.CancelResponse, error) {
	attempt := dedup.Attempt{RequestID: request.GetRequestId(), Number: request.GetAttempt()}
	server.mu.Lock()
	defer server.mu.Unlock()
	ran := server.attempts.Cancel(time.Now(), attempt, request.GetIncarnation())
	if ran == fault.NotRun {
		server.count("cancelled-before-dispatch")
		server.removeCancelled(attempt)
	}
	return &wirepb.CancelResponse{Ran: wireRan(ran), Incarnation: server.config.Incarnation}, nil
}

// removeCancelled removes a cancelled attempt from the queue.
func (server *Server) removeCancelled(attempt dedup.Attempt) {
	var waiting *task
	server.queue.All(func(entry *fairq.Entry[*task]) bool {
		if entry.Value.attempt == attempt {
			waiting = entry.Value
		}
		return waiting == nil
	})
	if waiting != nil {
		server.refuseQueued(waiting, fault.New(fault.Cancelled, fault.NotRun, "the attempt was cancelled; send the request anew"))
	}
}

// Outcome implements wirepb.DRPCSideServer. It tells an organisation about its
// own requests only.
func (server *Server) Outcome(_ context.Context, request *wirepb.OutcomeRequest) (*wirepb.OutcomeResponse, error) {
	record, ok := server.lookup(request.GetRequestId())
	if !ok || record.Organisation != request.GetOrganisation() {
		return &wirepb.OutcomeResponse{Ran: wirepb.Ran_RAN_UNKNOWN}, nil
	}
	return &wirepb.OutcomeResponse{
		Ran:     wireRan(record.Ran),
		Running: record.Phase == dedup.Waiting || record.Phase == dedup.Running,
		Status:  record.Status,
	}, nil
}
