package entry

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

var errUnresponsive = fault.New(fault.UpstreamFailed, fault.RunUnknown, "the side process does not respond; try again")

// probeLiveness probes the side process whenever the attempt has had no event for
// LivenessInterval, and ends the attempt if the probe is not answered. A paused process
// keeps its connections open, so that nothing else would show the pause before
// the deadline.
//
// Work that may not run twice is given more time, because ending its attempt
// would only tell the caller earlier that the outcome is unknown.
func (attempt *attempt) probeLiveness(ctx context.Context, cancel context.CancelCauseFunc) {
	probeAfter := attempt.entry().config.LivenessInterval
	timeout := 2 * probeAfter
	if !attempt.job.idempotent() {
		timeout = 10 * probeAfter
	}
	ticker := time.NewTicker(probeAfter)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(attempt.sentAt)-time.Duration(attempt.lastEvent.Load()) < probeAfter {
			continue
		}
		if !attempt.isAlive(ctx, timeout) && ctx.Err() == nil {
			attempt.count("silent-side-processes")
			cancel(errUnresponsive)
			return
		}
	}
}

func (attempt *attempt) isAlive(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := attempt.entry().callOutcome(ctx, attempt.address, &wirepb.OutcomeRequest{
		RequestId:    attempt.job.exchange.id,
		Organisation: attempt.job.exchange.organisation.Name,
	})
	return err == nil
}

func (entry *Entry) callOutcome(ctx context.Context, address string, request *wirepb.OutcomeRequest) (*wirepb.OutcomeResponse, error) {
	conn, err := entry.config.SideDialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Release()
	return wirepb.NewDRPCSideClient(conn).Outcome(ctx, request)
}

func (entry *Entry) callCancel(ctx context.Context, address string, request *wirepb.CancelRequest) (*wirepb.CancelResponse, error) {
	conn, err := entry.config.SideDialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Release()
	return wirepb.NewDRPCSideClient(conn).Cancel(ctx, request)
}
