package syncer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// publishTimeout is the time after which the result of a patch is reported as
	// unknown.
	publishTimeout = 10 * time.Second
	// versionTimeout bounds the wait for the base version of a patch. An accepted
	// version reaches every instance with a connection to the log within this time.
	versionTimeout = 2 * time.Second
	// maxPublishAge is the confirmed age above which patches are refused, since
	// they would most likely conflict.
	maxPublishAge = 60 * time.Second
	// maxAppendAttempts bounds the attempts to append one patch. All attempts have
	// the same patch id, so that the patch is accepted at most once.
	maxAppendAttempts = 3
	// maxListedChanges bounds the changes in a report and in the history.
	maxListedChanges = 100
)

// Change is an accepted patch as it is listed for operators.
type Change struct {
	// Version is the version that the patch created.
	Version  uint64
	ID       string
	Operator string
	// Ops describes the operations, such as "put-adapter: adapter felt".
	Ops []string
}

// PublishReport tells an operator the result of a patch.
type PublishReport struct {
	patch.Result
	// Changes lists the patches that were accepted since the base version of a
	// conflicting patch.
	Changes []Change
	// Advice tells the operator what to do next.
	Advice string
}

// Publish appends a patch to the log, waits until it is read back and reports its
// result. An error means that the patch was not appended.
func (syncer *Syncer) Publish(ctx context.Context, record patch.Patch) (PublishReport, error) {
	if problem := patch.Validate(record); problem != nil {
		return syncer.newReport(record, patch.Result{ID: record.ID, Kind: patch.Invalid, Field: problem.Field, Reason: problem.Reason}), nil
	}
	if known := syncer.Result(record.ID); known.Kind != patch.Unknown {
		if known.Kind == patch.Accepted {
			known.Kind = patch.Duplicate
		}
		return syncer.newReport(record, known), nil
	}
	if age := syncer.ConfirmedAge(); age > maxPublishAge {
		return PublishReport{}, fault.New(fault.Stale, fault.NotRun,
			"this process has not reached the log for more than %v; publish through another instance or wait for the log", maxPublishAge)
	}
	syncer.awaitVersion(ctx, record.BaseVersion)
	// A patch that is rejected against the current version would be rejected
	// against every later one, so that it is not appended.
	if _, result := patch.Apply(syncer.Current(), record); result.Kind != patch.Accepted {
		return syncer.newReport(record, result), nil
	}
	data, err := codec.EncodePatch(record)
	if err != nil {
		return PublishReport{}, fault.New(fault.Invalid, fault.NotRun, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := syncer.appendPatch(ctx, data); err != nil {
		return PublishReport{}, err
	}
	return syncer.newReport(record, syncer.awaitResult(ctx, record.ID)), nil
}

// appendPatch appends a patch. It returns an error only if the patch was certainly
// not appended. It returns nil if the outcome is unknown.
func (syncer *Syncer) appendPatch(ctx context.Context, data []byte) error {
	notAppended := true
	for attempt := range maxAppendAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, syncer.config.LogTimeout)
		_, err := syncer.config.Log.Append(attemptCtx, ConfigStream, data)
		cancel()
		if err == nil {
			return nil
		}
		failure, ok := fault.As(err)
		notAppended = notAppended && ok && failure.Ran() == fault.NotRun
		if attempt+1 < maxAppendAttempts && !syncer.sleepJittered(ctx, initialBackoff<<attempt) {
			break
		}
	}
	if !notAppended {
		return nil
	}
	return fault.New(fault.LogUnavailable, fault.NotRun, "the log did not take the patch; send it again when the log is back")
}

// awaitResult waits until the result of a patch is known or ctx ends.
func (syncer *Syncer) awaitResult(ctx context.Context, id string) patch.Result {
	for {
		changed := syncer.Changed()
		if result := syncer.Result(id); result.Kind != patch.Unknown {
			return result
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return syncer.Result(id)
		}
	}
}

// awaitVersion waits up to versionTimeout for a version that the operator may have
// seen at another instance.
func (syncer *Syncer) awaitVersion(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	for syncer.Current().Version() < version {
		changed := syncer.Changed()
		syncer.ObserveVersion(version)
		if syncer.Current().Version() >= version {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Result returns the known result of a patch, which may be Unknown.
func (syncer *Syncer) Result(id string) patch.Result {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.replayer.Result(id)
}

// History returns up to 100 of the last accepted patches that this process holds,
// the oldest first.
func (syncer *Syncer) History() []Change { return syncer.changesAfter(0) }

// changesAfter returns the last accepted patches after a version, the oldest first.
func (syncer *Syncer) changesAfter(after uint64) []Change {
	syncer.mutex.Lock()
	entries, first := slices.Clone(syncer.history.entries), syncer.history.firstVersion
	syncer.mutex.Unlock()
	skip := 0
	if after+1 > first {
		skip = min(len(entries), int(after+1-first))
	}
	skip = max(skip, len(entries)-maxListedChanges)
	list := make([]Change, 0, len(entries)-skip)
	for index, data := range entries[skip:] {
		var wire wirepb.PatchRecord
		if err := proto.Unmarshal(data, &wire); err != nil {
			continue
		}
		list = append(list, newChange(first+uint64(skip+index), codec.PatchFromWire(&wire)))
	}
	return list
}

func newChange(version uint64, record patch.Patch) Change {
	change := Change{Version: version, ID: record.ID, Operator: record.Operator}
	for _, op := range record.Ops {
		change.Ops = append(change.Ops, op.Kind()+": "+op.Target())
	}
	return change
}

func (syncer *Syncer) newReport(record patch.Patch, result patch.Result) PublishReport {
	report := PublishReport{Result: result}
	switch result.Kind {
	case patch.Accepted:
		report.Advice = fmt.Sprintf("the patch is in force as version %d", result.Version)
	case patch.Duplicate:
		report.Advice = fmt.Sprintf("the patch was accepted before as version %d; nothing is to be done", result.Version)
	case patch.Conflict:
		report.Changes = syncer.changesAfter(record.BaseVersion)
		report.Advice = fmt.Sprintf("read version %d, apply your change to it and publish that with base %d and a new id",
			result.Version, result.Version)
	case patch.Invalid:
		report.Advice = fmt.Sprintf("correct %s and publish the patch with a new id", result.Field)
	default:
		report.Advice = fmt.Sprintf("ask again for the result of patch %s, or publish it again with the same id", record.ID)
	}
	return report
}
