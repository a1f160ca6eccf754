package entry

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

var errSilent = fault.New(fault.UpstreamFailed, fault.RunUnknown, "the side process gave no sign of life; try again")

// watch asks the side process for a sign of life whenever the attempt has been
// silent, and ends the attempt when there is none. A paused process keeps its
// connections open, so that nothing else would show it before the deadline.
//
// Work that may not run twice is given more time: ending its attempt gains
// nothing but an early answer that the outcome is unknown.
func (attempt *attempt) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	silence := attempt.entry().config.ProbeAfter
	limit := 2 * silence
	if !attempt.job.idempotent() {
		limit = 10 * silence
	}
	ticker := time.NewTicker(silence)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(time.Unix(0, attempt.heard.Load())) < silence {
			continue
		}
		if !attempt.alive(ctx, limit) && ctx.Err() == nil {
			attempt.drop("silent-side-processes")
			cancel(errSilent)
			return
		}
	}
}

func (attempt *attempt) alive(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, err := attempt.entry().askOutcome(ctx, attempt.address, &wirepb.OutcomeRequest{
		RequestId:    attempt.job.exchange.id,
		Organisation: attempt.job.exchange.organisation.Name,
	})
	return err == nil
}

func (entry *Entry) askOutcome(ctx context.Context, address string, request *wirepb.OutcomeRequest) (*wirepb.OutcomeResponse, error) {
	conn, err := entry.config.SideDialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Release()
	return wirepb.NewDRPCSideClient(conn).Outcome(ctx, request)
}

func (entry *Entry) askCancel(ctx context.Context, address string, request *wirepb.CancelRequest) (*wirepb.CancelResponse, error) {
	conn, err := entry.config.SideDialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Release()
	return wirepb.NewDRPCSideClient(conn).Cancel(ctx, request)
}
