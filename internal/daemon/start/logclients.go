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
	first, next, records, err := readRecords(ctx, log.Client, stream, from, wait, func(record logsvc.Record) syncer.LogRecord { return syncer.LogRecord(record) })
	return syncer.LogPage{FirstOffset: first, NextOffset: next, Records: records}, err
}

// claimLog implements side.Log, on which a side process records claims, by the
// client of the platform's log service.
type claimLog struct {
	*logsvc.Client
}

// Read returns a page of a stream.
func (log claimLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (side.LogPage, error) {
	first, next, records, err := readRecords(ctx, log.Client, stream, from, wait, func(record logsvc.Record) side.LogRecord { return side.LogRecord(record) })
	return side.LogPage{FirstOffset: first, NextOffset: next, Records: records}, err
}

// readRecords reads a page of a stream, with the records converted to the reader's
// own type.
func readRecords[Record any](ctx context.Context, client *logsvc.Client, stream string, from uint64, wait time.Duration, convert func(logsvc.Record) Record) (first, next uint64, records []Record, err error) {
	page, err := client.Read(ctx, stream, from, wait)
	if err != nil {
		return 0, 0, nil, err
	}
	for _, record := range page.Records {
		records = append(records, convert(record))
	}
	return page.FirstOffset, page.NextOffset, records, nil
}
