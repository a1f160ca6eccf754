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
	// publishLimit bounds the time until a patch's result is reported as unknown.
	publishLimit = 10 * time.Second
	// awaitLimit is the time in which an accepted version reaches every instance
	// that is connected to the log.
	awaitLimit = 2 * time.Second
	// maxPublishAge is the age without confirmation after which patches are
	// refused, since they would most likely conflict.
	maxPublishAge = 60 * time.Second
	// maxAppends bounds the attempts to append one patch. Attempts repeat the
	// patch id, so that the patch applies at most once.
	maxAppends = 3
	// maxChanges bounds the changes that a report lists.
	maxChanges = 100
)

// Change is an accepted patch, as listed for operators.
type Change struct {
	Version  uint64
	ID       string
	Operator string
	// Ops lists the operations, such as "put-adapter: adapter felt".
	Ops []string
}

// Report is the result of a patch for its operator.
type Report struct {
	patch.Result
	// Changes lists what was accepted since the base of a conflicting patch.
	Changes []Change
	// Advice says what to do next.
	Advice string
}

// Publish appends a patch to the log, reads it back and reports its result. A
// returned error says that the patch was not appended.
func (syncer *Syncer) Publish(ctx context.Context, record patch.Patch) (Report, error) {
	if problem := patch.Validate(record); problem != nil {
		return syncer.report(record, patch.Result{ID: record.ID, Kind: patch.Invalid, Field: problem.Field, Reason: problem.Reason}), nil
	}
	if known := syncer.Result(record.ID); known.Kind != patch.Unknown {
		if known.Kind == patch.Accepted {
			known.Kind = patch.Duplicate
		}
		return syncer.report(record, known), nil
	}
	if age := syncer.ConfirmedAge(); age > maxPublishAge {
		return Report{}, fault.New(fault.Stale, fault.NotRun,
			"this process has not reached the log for more than %v; publish through another instance or wait for the log", maxPublishAge)
	}
	syncer.awaitVersion(ctx, record.BaseVersion)
	// A patch that is void against the current version can only be void later:
	// nothing is appended for it.
	if _, result := patch.Apply(syncer.Current(), record); result.Kind != patch.Accepted {
		return syncer.report(record, result), nil
	}
	data, err := codec.EncodePatch(record)
	if err != nil {
		return Report{}, fault.New(fault.Invalid, fault.NotRun, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, publishLimit)
	defer cancel()
	if err := syncer.append(ctx, data); err != nil {
		return Report{}, err
	}
	return syncer.report(record, syncer.await(ctx, record.ID)), nil
}

// append appends a patch. It returns an error only when the patch was certainly
// not appended.
func (syncer *Syncer) append(ctx context.Context, data []byte) error {
	certain := true
	for attempt := range maxAppends {
		attemptCtx, cancel := context.WithTimeout(ctx, syncer.config.LogTimeout)
		_, err := syncer.config.Log.Append(attemptCtx, Stream, data)
		cancel()
		if err == nil {
			return nil
		}
		failure, ok := fault.As(err)
		certain = certain && ok && failure.Ran() == fault.NotRun
		if attempt+1 < maxAppends && !syncer.pause(ctx, retryMin<<attempt) {
			break
		}
	}
	if !certain {
		return nil
	}
	return fault.New(fault.LogUnavailable, fault.NotRun, "the log did not take the patch; send it again when the log is back")
}

// await waits until the fold has a result for a patch.
func (syncer *Syncer) await(ctx context.Context, id string) patch.Result {
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

// awaitVersion waits a short time for a version that the operator has seen at
// another instance.
func (syncer *Syncer) awaitVersion(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, awaitLimit)
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

// Result returns what is known of a patch.
func (syncer *Syncer) Result(id string) patch.Result {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.fold.Result(id)
}

// History returns the last accepted patches that this process holds, the oldest
// first.
func (syncer *Syncer) History() []Change { return syncer.changes(0) }

func (syncer *Syncer) changes(after uint64) []Change {
	syncer.mutex.Lock()
	entries, first := slices.Clone(syncer.tail.entries), syncer.tail.first
	syncer.mutex.Unlock()
	skip := 0
	if after+1 > first {
		skip = min(len(entries), int(after+1-first))
	}
	skip = max(skip, len(entries)-maxChanges)
	list := make([]Change, 0, len(entries)-skip)
	for index, data := range entries[skip:] {
		var wire wirepb.PatchRecord
		if err := proto.Unmarshal(data, &wire); err != nil {
			continue
		}
		list = append(list, describe(first+uint64(skip+index), codec.PatchFromWire(&wire)))
	}
	return list
}

func describe(version uint64, record patch.Patch) Change {
	change := Change{Version: version, ID: record.ID, Operator: record.Operator}
	for _, op := range record.Ops {
		change.Ops = append(change.Ops, op.Kind()+": "+op.Target())
	}
	return change
}

func (syncer *Syncer) report(record patch.Patch, result patch.Result) Report {
	report := Report{Result: result}
	switch result.Kind {
	case patch.Accepted:
		report.Advice = fmt.Sprintf("the patch is in force as version %d", result.Version)
	case patch.Duplicate:
		report.Advice = fmt.Sprintf("the patch was accepted before as version %d; nothing is to be done", result.Version)
	case patch.Conflict:
		report.Changes = syncer.changes(record.BaseVersion)
		report.Advice = fmt.Sprintf("read version %d, apply your change to it and publish that with base %d and a new id",
			result.Version, result.Version)
	case patch.Invalid:
		report.Advice = fmt.Sprintf("correct %s and publish the patch with a new id", result.Field)
	default:
		report.Advice = fmt.Sprintf("ask again for the result of patch %s, or publish it again with the same id", record.ID)
	}
	return report
}
