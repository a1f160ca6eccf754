package start

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/daemon/side"
	"jacinthfront.dev/jacinthfront/internal/daemon/syncer"
	"jacinthfront.dev/jacinthfront/internal/link/logsvc"
)

// SyncLog implements syncer.LogClient by the client of the platform's log service.
type SyncLog struct {
	*logsvc.Client
}

// Read returns a page of a stream.
func (log SyncLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (syncer.Page, error) {
	page, err := log.Client.Read(ctx, stream, from, wait)
	if err != nil {
		return syncer.Page{}, err
	}
	result := syncer.Page{FirstOffset: page.FirstOffset, NextOffset: page.NextOffset}
	for _, record := range page.Records {
		result.Records = append(result.Records, syncer.Record(record))
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
