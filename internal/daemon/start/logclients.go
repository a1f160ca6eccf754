package start

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/daemon/side"
	"jacinthfront.dev/jacinthfront/internal/daemon/syncer"
	"jacinthfront.dev/jacinthfront/internal/link/logsvc"
)

// ConfigLog implements syncer.LogClient by the client of the platform's log service.
type ConfigLog struct {
	*logsvc.Client
}

// Read returns a page of a stream.
func (log ConfigLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (syncer.LogPage, error) {
	page, err := log.Client.Read(ctx, stream, from, wait)
	if err != nil {
		return syncer.LogPage{}, err
	}
	result := syncer.LogPage{FirstOffset: page.FirstOffset, NextOffset: page.NextOffset}
	for _, record := range page.Records {
		result.Records = append(result.Records, syncer.LogRecord(record))
	}
	return result, nil
}

// claimLog implements side.Log, on which a side process records claims, by the
// client of the platform's log service.
type claimLog struct {
	*logsvc.Client
}

// Read returns a page of a stream.
func (log claimLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (side.LogPage, error) {
	page, err := log.Client.Read(ctx, stream, from, wait)
	if err != nil {
		return side.LogPage{}, err
	}
	result := side.LogPage{FirstOffset: page.FirstOffset, NextOffset: page.NextOffset}
	for _, record := range page.Records {
		result.Records = append(result.Records, side.LogRecord(record))
	}
	return result, nil
}
