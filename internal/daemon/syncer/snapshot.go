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
	// A snapshot is renewed when 1/snapshotRenewalDivisor of the log's retention
	// has passed. The instances spread the renewal over another
	// 1/snapshotSpreadDivisor of the retention, so that more than half of it
	// remains to outlast an outage of the log.
	snapshotRenewalDivisor = 4
	snapshotSpreadDivisor  = 16
	// 1/snapshotCheckDivisor of the retention passes between two checks whether a
	// snapshot is due.
	snapshotCheckDivisor = 256
)

// renewSnapshots renews the snapshot on the log until the context ends.
func (syncer *Syncer) renewSnapshots(ctx context.Context) error {
	interval := min(max(syncer.config.LogRetention/snapshotCheckDivisor, time.Millisecond), snapshotCacheTTL)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		syncer.snapshotCache.dropIfIdle()
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

// snapshotDue reports whether this instance must write a snapshot now, and the
// time since which one is due.
func (syncer *Syncer) snapshotDue() (time.Time, bool) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	version := syncer.replayer.Config().Version()
	if version == 0 || syncer.hasGap() || !syncer.log.reached {
		return time.Time{}, false
	}
	newest := syncer.log.snapshots.NewestComplete()
	if newest.IsZero() {
		// The log may hold a snapshot that this process has not seen.
		newest = syncer.started
	}
	due := newest.Add(syncer.config.LogRetention / snapshotRenewalDivisor)
	return due, time.Since(due) >= syncer.snapshotDelay(version)
}

// snapshotDelay returns how long this instance waits once a snapshot is due. The
// delays differ between instances, so that usually only one of them writes it.
func (syncer *Syncer) snapshotDelay(version uint64) time.Duration {
	spread := uint64(syncer.config.LogRetention/snapshotSpreadDivisor) + 1
	return time.Duration(xxh3.HashStringSeed(syncer.config.Instance, version) % spread)
}

// writeSnapshot appends the chunks that no instance has appended since the
// snapshot became due.
func (syncer *Syncer) writeSnapshot(ctx context.Context, due time.Time) error {
	chunks, err := syncer.encodeSnapshot()
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

// snapshotWritten reports whether the chunk or a complete snapshot was appended
// to the log since a snapshot became due.
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
	_, err = syncer.config.Log.Append(ctx, ConfigStream, record)
	return Class.Wrap(err)
}
