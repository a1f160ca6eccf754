package syncer

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

const (
	// snapshotShare is the part of the retention after which a snapshot is
	// renewed; spreadShare is the part over which instances spread the renewal.
	// Both together leave more than half of the retention for log outages.
	snapshotShare = 4
	spreadShare   = 16
	// checkShare is the part of the retention between checks.
	checkShare = 256
)

// keepSnapshots renews the snapshot on the log until the context ends.
func (syncer *Syncer) keepSnapshots(ctx context.Context) error {
	interval := min(max(syncer.config.Retention/checkShare, time.Millisecond), servingTime)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		syncer.serving.forget()
		due, ok := syncer.snapshotDue()
		if !ok {
			continue
		}
		if err := syncer.writeSnapshot(ctx, due); err != nil && ctx.Err() == nil {
			syncer.metrics.Add("snapshot-errors", 1)
			syncer.config.Logger.Warn("config: could not write snapshot", zap.Error(err))
		}
	}
}

// snapshotDue reports whether this instance should write a snapshot now, and
// since when one is due.
func (syncer *Syncer) snapshotDue() (time.Time, bool) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	version := syncer.fold.Config().Version()
	if version == 0 || syncer.gapped() || !syncer.log.reached {
		return time.Time{}, false
	}
	newest := syncer.log.snapshots.NewestComplete()
	if newest.IsZero() {
		// The log may hold one that this process has not seen.
		newest = syncer.started
	}
	due := newest.Add(syncer.config.Retention / snapshotShare)
	return due, time.Since(due) >= syncer.snapshotDelay(version)
}

// snapshotDelay spreads the instances, so that usually one of them writes.
func (syncer *Syncer) snapshotDelay(version uint64) time.Duration {
	spread := uint64(syncer.config.Retention/spreadShare) + 1
	return time.Duration(xxh3.HashStringSeed(syncer.config.Instance, version) % spread)
}

// writeSnapshot appends the chunks that nobody has appended since a snapshot
// is due.
func (syncer *Syncer) writeSnapshot(ctx context.Context, due time.Time) error {
	chunks, err := syncer.encode()
	if err != nil {
		return err
	}
	written := 0
	for _, chunk := range chunks {
		if syncer.snapshotWritten(chunk, due) {
			continue
		}
		if err := syncer.appendChunk(ctx, chunk); err != nil {
			return err
		}
		written++
	}
	if written > 0 {
		syncer.metrics.Add("snapshots-written", 1)
		syncer.config.Logger.Info("config: wrote snapshot",
			zap.Uint64("version", chunks[0].Version), zap.Int("chunks", len(chunks)), zap.Int("written", written))
	}
	return nil
}

// snapshotWritten reports whether a chunk or a newer complete snapshot is on
// the log already.
func (syncer *Syncer) snapshotWritten(chunk replay.Chunk, due time.Time) bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	snapshots := &syncer.log.snapshots
	return snapshots.LastAppended(chunk).After(due) || snapshots.NewestComplete().After(due)
}

func (syncer *Syncer) appendChunk(ctx context.Context, chunk replay.Chunk) error {
	record, err := codec.EncodeChunk(chunk)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, syncer.config.LogTimeout)
	defer cancel()
	_, err = syncer.config.Log.Append(ctx, Stream, record)
	return Class.Wrap(err)
}
