package syncer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// initialBackoff is the delay after the first of several failed calls to the log.
const initialBackoff = 50 * time.Millisecond

// logState is the state of reading the log. The position may lag behind the
// replayer, which also advances by patches and snapshots from peers: the records
// in between are still read for the results of rejected patches.
type logState struct {
	// position is the offset to read next.
	position uint64
	// firstOffset is the oldest offset that the log is known to hold.
	firstOffset uint64
	// reached is set once a read of the log has succeeded.
	reached   bool
	snapshots replay.SnapshotTracker
}

// hasGap reports whether records expired from the log before they were applied.
// No record may be applied until a snapshot or a peer has closed the gap. The
// mutex is held.
func (syncer *Syncer) hasGap() bool { return syncer.replayer.NextOffset() < syncer.log.firstOffset }

// readLog reads the log until the context ends.
func (syncer *Syncer) readLog(ctx context.Context) error {
	delay := initialBackoff
	for ctx.Err() == nil {
		if err := syncer.pollLog(ctx); err != nil {
			if ctx.Err() != nil {
				break
			}
			syncer.metrics.Add("log-errors", 1)
			syncer.config.Logger.Debug("config: could not read the log", zap.Error(err), zap.Duration("retry-after", delay))
			if !syncer.sleepJittered(ctx, delay) {
				break
			}
			delay = min(2*delay, syncer.config.MaxBackoff)
			continue
		}
		delay = initialBackoff
	}
	return ctx.Err()
}

// pollLog reads one page of the log and applies it.
func (syncer *Syncer) pollLog(ctx context.Context) error {
	syncer.mutex.Lock()
	if !syncer.log.reached {
		// Records that are already known from a peer need not be read.
		syncer.log.position = max(syncer.log.position, syncer.replayer.NextOffset())
	}
	from, wait := syncer.log.position, syncer.config.LongPoll
	if !syncer.log.reached {
		// The first page is read without long polling, since it confirms the
		// version.
		wait = 0
	}
	syncer.mutex.Unlock()

	ctx, cancel := context.WithTimeout(ctx, wait+syncer.config.LogTimeout)
	defer cancel()
	sent := time.Now()
	page, err := syncer.config.Log.Read(ctx, ConfigStream, from, wait)
	if err != nil {
		return err
	}
	return syncer.applyPage(page, from, sent)
}

// applyPage applies a page that was read from an offset by a call sent at a time.
func (syncer *Syncer) applyPage(page LogPage, from uint64, sent time.Time) error {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if page.NextOffset < from {
		return errors.New("the log's next offset is below the offset that was read from")
	}
	log := &syncer.log
	log.reached = true
	if from != log.position {
		// A snapshot or patches from a peer moved the position during the call.
		return nil
	}
	log.firstOffset = max(log.firstOffset, page.FirstOffset)
	log.position = max(from, page.FirstOffset)
	if syncer.hasGap() && !log.snapshots.CollectData {
		syncer.metrics.Add("gaps", 1)
		syncer.config.Logger.Warn("config: records expired before they were read; waiting for a snapshot or a peer",
			zap.Uint64("first", log.firstOffset), zap.Uint64("next", syncer.replayer.NextOffset()))
	}
	log.snapshots.CollectData = syncer.hasGap()
	hasResults := false
	for _, record := range page.Records {
		if record.Offset < log.position {
			continue
		}
		log.position = record.Offset + 1
		if syncer.applyRecord(record) {
			hasResults = true
		}
		if log.position != record.Offset+1 {
			// The record completed a snapshot. Reading resumes at its offset.
			break
		}
	}
	if hasResults {
		syncer.notify()
	}
	if log.position >= page.NextOffset && !syncer.hasGap() {
		syncer.replayer.AdvanceTo(log.position)
		syncer.freshness.confirm(sent)
	}
	return nil
}

// applyRecord applies one record. It reports whether a patch got a result or a
// snapshot was installed. The mutex is held.
func (syncer *Syncer) applyRecord(record LogRecord) bool {
	entry, err := codec.DecodeRecord(record.Data)
	switch {
	case err != nil:
		syncer.metrics.Add("malformed-records", 1)
	case entry.Chunk != nil:
		if encoded, next, ok := syncer.log.snapshots.Add(*entry.Chunk, record.Time); ok && next >= syncer.log.firstOffset {
			return syncer.installSnapshot(encoded, next)
		}
	case syncer.hasGap():
		return false
	default:
		syncer.applyPatch(record.Offset, *entry.Patch)
		return true
	}
	if !syncer.hasGap() {
		syncer.replayer.SkipRecord(record.Offset)
	}
	return false
}

// applyPatch applies a patch and keeps it for peers if it is accepted. The mutex
// is held.
func (syncer *Syncer) applyPatch(offset uint64, record patch.Patch) patch.Result {
	result, applied := syncer.replayer.ApplyPatch(offset, record)
	if !applied {
		return result
	}
	syncer.metrics.Add("patches-"+result.Kind.String(), 1)
	if result.Kind == patch.Accepted {
		syncer.history.add(result.Version, offset, record)
	}
	syncer.config.Logger.Info("config: processed patch",
		zap.String("patch", result.ID), zap.String("operator", record.Operator), zap.Stringer("result", result.Kind),
		zap.Uint64("version", result.Version), zap.String("field", result.Field), zap.String("reason", result.Reason))
	return result
}

// installSnapshot replaces the state by the one of a snapshot if that is newer,
// and reports whether it did. The snapshot covers all records before the offset
// next. If it closes a gap, reading the log resumes there. The mutex is held.
func (syncer *Syncer) installSnapshot(encoded []byte, next uint64) bool {
	state, err := codec.DecodeState(encoded)
	if err != nil {
		syncer.metrics.Add("malformed-snapshots", 1)
		return false
	}
	installed := syncer.replayer.InstallState(state, next)
	if !installed && state.Config.Version() == syncer.replayer.Config().Version() {
		syncer.replayer.AdvanceTo(next)
	}
	if installed {
		syncer.metrics.Add("snapshots-adopted", 1)
		syncer.history.reset()
	}
	syncer.resumeAfterGap()
	return installed
}

// skipAhead skips records that are already known from peers if there are more
// than MaxLogLag of them, so that a process that starts need not read the whole
// log. The mutex is held.
func (syncer *Syncer) skipAhead() {
	if syncer.replayer.NextOffset() > syncer.log.position+syncer.config.MaxLogLag {
		syncer.log.position = syncer.replayer.NextOffset()
	}
}

// resumeAfterGap resumes reading at the replayer's offset once a gap is closed.
// The mutex is held.
func (syncer *Syncer) resumeAfterGap() {
	if !syncer.log.snapshots.CollectData || syncer.hasGap() {
		return
	}
	syncer.log.position = max(syncer.log.firstOffset, syncer.replayer.NextOffset())
	syncer.log.snapshots.CollectData = false
	syncer.log.snapshots.DiscardData()
}
