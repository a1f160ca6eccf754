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
	records := convertRecords(page.Records, func(record logsvc.Record) syncer.LogRecord { return syncer.LogRecord(record) })
	return syncer.LogPage{FirstOffset: page.FirstOffset, NextOffset: page.NextOffset, Records: records}, nil
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
	records := convertRecords(page.Records, func(record logsvc.Record) side.LogRecord { return side.LogRecord(record) })
	return side.LogPage{FirstOffset: page.FirstOffset, NextOffset: page.NextOffset, Records: records}, nil
}

// convertRecords converts the records of a page to the reader's own type.
func convertRecords[Record any](records []logsvc.Record, convert func(logsvc.Record) Record) []Record {
	var converted []Record
	for _, record := range records {
		converted = append(converted, convert(record))
	}
	return converted
}
