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

// retryMin is the first delay after a failed call to the log.
const retryMin = 50 * time.Millisecond

// logState is the position of the reader in the log. It may lie behind the
// fold, which peers also advance, so that results of void patches are seen.
type logState struct {
	position  uint64
	first     uint64
	reached   bool
	snapshots replay.SnapshotTracker
}

// gapped reports whether records expired before they were folded. Until a
// snapshot or a peer closes the gap, no record may be folded.
func (syncer *Syncer) gapped() bool { return syncer.fold.NextOffset() < syncer.log.first }

// followLog reads the log until the context ends.
func (syncer *Syncer) followLog(ctx context.Context) error {
	delay := retryMin
	for ctx.Err() == nil {
		if err := syncer.poll(ctx); err != nil {
			if ctx.Err() != nil {
				break
			}
			syncer.metrics.Add("log-errors", 1)
			syncer.config.Logger.Debug("config: could not read the log", zap.Error(err), zap.Duration("retry-after", delay))
			if !syncer.pause(ctx, delay) {
				break
			}
			delay = min(2*delay, syncer.config.RetryMax)
			continue
		}
		delay = retryMin
	}
	return ctx.Err()
}

// poll reads one page and folds it.
func (syncer *Syncer) poll(ctx context.Context) error {
	syncer.mutex.Lock()
	if !syncer.log.reached {
		// What a peer already gave need not be read again.
		syncer.log.position = max(syncer.log.position, syncer.fold.NextOffset())
	}
	from, wait := syncer.log.position, syncer.config.PollWait
	if !syncer.log.reached {
		// The first page confirms the version without delay.
		wait = 0
	}
	syncer.mutex.Unlock()

	ctx, cancel := context.WithTimeout(ctx, wait+syncer.config.LogTimeout)
	defer cancel()
	sent := time.Now()
	page, err := syncer.config.Log.Read(ctx, Stream, from, wait)
	if err != nil {
		return err
	}
	return syncer.foldPage(page, from, sent)
}

// foldPage folds a page that was asked for at a time.
func (syncer *Syncer) foldPage(page Page, from uint64, sent time.Time) error {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if page.NextOffset < from {
		return errors.New("the log ends before the records that were read from it")
	}
	log := &syncer.log
	log.reached = true
	if from != log.position {
		// A peer closed a gap meanwhile and moved the position.
		return nil
	}
	log.first = max(log.first, page.FirstOffset)
	log.position = max(from, page.FirstOffset)
	if syncer.gapped() && !log.snapshots.CollectData {
		syncer.metrics.Add("gaps", 1)
		syncer.config.Logger.Warn("config: records expired before they were read; waiting for a snapshot or a peer",
			zap.Uint64("first", log.first), zap.Uint64("next", syncer.fold.NextOffset()))
	}
	log.snapshots.CollectData = syncer.gapped()
	noted := false
	for _, record := range page.Records {
		if record.Offset < log.position {
			continue
		}
		log.position = record.Offset + 1
		if syncer.foldRecord(record) {
			noted = true
		}
		if log.position != record.Offset+1 {
			// A snapshot was adopted, and reading resumes at its offset.
			break
		}
	}
	if noted {
		syncer.notify()
	}
	if log.position >= page.NextOffset && !syncer.gapped() {
		syncer.fold.AdvanceTo(log.position)
		syncer.fresh.confirm(sent)
	}
	return nil
}

// foldRecord folds one record and reports whether a patch got a result. The
// mutex is held.
func (syncer *Syncer) foldRecord(record Record) bool {
	entry, err := codec.DecodeRecord(record.Data)
	switch {
	case err != nil:
		syncer.metrics.Add("malformed-records", 1)
	case entry.Chunk != nil:
		if encoded, next, ok := syncer.log.snapshots.Add(*entry.Chunk, record.Time); ok && next >= syncer.log.first {
			return syncer.adopt(encoded, next)
		}
	case syncer.gapped():
		return false
	default:
		syncer.foldPatch(record.Offset, *entry.Patch)
		return true
	}
	if !syncer.gapped() {
		syncer.fold.SkipRecord(record.Offset)
	}
	return false
}

// foldPatch folds a patch and keeps it for peers when it is accepted. The
// mutex is held.
func (syncer *Syncer) foldPatch(offset uint64, record patch.Patch) patch.Result {
	result, folded := syncer.fold.ApplyPatch(offset, record)
	if !folded {
		return result
	}
	syncer.metrics.Add("patches-"+result.Kind.String(), 1)
	if result.Kind == patch.Accepted {
		syncer.tail.add(result.Version, offset, record)
	}
	syncer.config.Logger.Info("config: folded patch",
		zap.String("patch", result.ID), zap.String("operator", record.Operator), zap.Stringer("result", result.Kind),
		zap.Uint64("version", result.Version), zap.String("field", result.Field), zap.String("reason", result.Reason))
	return result
}

// adopt replaces the state by that of a snapshot which holds until the record
// before next, and continues to read the log from there. The mutex is held.
func (syncer *Syncer) adopt(encoded []byte, next uint64) bool {
	state, err := codec.DecodeState(encoded)
	if err != nil {
		syncer.metrics.Add("malformed-snapshots", 1)
		return false
	}
	adopted := syncer.fold.InstallState(state, next)
	if !adopted && state.Config.Version() == syncer.fold.Config().Version() {
		syncer.fold.AdvanceTo(next)
	}
	if adopted {
		syncer.metrics.Add("snapshots-adopted", 1)
		syncer.tail.reset()
	}
	syncer.closeGap()
	return adopted
}

// skipRead passes over records that peers made known, when there are many of
// them. A process that starts thus need not read the whole log. The mutex is
// held.
func (syncer *Syncer) skipRead() {
	if syncer.fold.NextOffset() > syncer.log.position+syncer.config.MaxBehind {
		syncer.log.position = syncer.fold.NextOffset()
	}
}

// closeGap resumes reading at the fold's offset when no records are missing any
// more. The mutex is held.
func (syncer *Syncer) closeGap() {
	if !syncer.log.snapshots.CollectData || syncer.gapped() {
		return
	}
	syncer.log.position = max(syncer.log.first, syncer.fold.NextOffset())
	syncer.log.snapshots.CollectData = false
	syncer.log.snapshots.DiscardData()
}
