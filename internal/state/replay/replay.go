// Package replay folds the records of the configuration's log stream in order
// into numbered versions.
package replay

import (
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// MaxRecentPatches is the number of accepted patches whose ids are kept, so that a
// second append of one of them is void as a duplicate. A later second append
// is void by its base version.
const MaxRecentPatches = 4096

// State is the outcome of folding the log up to the patch that created a
// version. It depends on the accepted patches alone: void records leave no
// trace in it, so that a process that learnt the accepted patches from a peer
// has the same state as one that read the log.
type State struct {
	Config *conf.Config
	// VersionOffset is the log offset of the patch that created the version.
	VersionOffset uint64
	// RecentPatches lists the ids of the last accepted patches, the oldest first.
	// The last one created the version.
	RecentPatches []string
}

// Replayer is a State that advances with the log. It is not safe for concurrent
// use.
type Replayer struct {
	config   *conf.Config
	offset   uint64
	next     uint64
	accepted *recent
	void     *results
}

// New returns the state before the first record.
func New() *Replayer {
	return &Replayer{config: conf.New(), accepted: newRecent(), void: newResults()}
}

// Config returns the current version.
func (fold *Replayer) Config() *conf.Config { return fold.config }

// NextOffset returns the offset of the first record that is not folded.
func (fold *Replayer) NextOffset() uint64 { return fold.next }

// VersionOffset returns the offset of the patch that created the current version.
func (fold *Replayer) VersionOffset() uint64 { return fold.offset }

// ApplyPatch folds the patch record at an offset. A record at an offset that was
// folded before changes nothing and reports false.
func (fold *Replayer) ApplyPatch(offset uint64, record patch.Patch) (patch.Result, bool) {
	if offset < fold.next {
		fold.passed(record)
		return fold.Result(record.ID), false
	}
	fold.next = offset + 1
	if version, ok := fold.accepted.version(record.ID); ok {
		return patch.Result{ID: record.ID, Kind: patch.Duplicate, Version: version}, true
	}
	config, result := patch.Apply(fold.config, record)
	if result.Kind != patch.Accepted {
		fold.void.add(result)
		return result, true
	}
	fold.config = config
	fold.offset = offset
	fold.accepted.add(record.ID, result.Version)
	return result, true
}

// passed notes the result of a void record that lies before the state, because
// the accepted patches after it were learnt from a peer first.
func (fold *Replayer) passed(record patch.Patch) {
	if fold.Result(record.ID).Kind != patch.Unknown || record.BaseVersion+MaxRecentPatches < fold.config.Version() {
		return
	}
	result := patch.Result{ID: record.ID, Kind: patch.Conflict, Version: fold.config.Version()}
	if problem := patch.Validate(record); problem != nil {
		result.Kind, result.Field, result.Reason = patch.Invalid, problem.Field, problem.Reason
	}
	fold.void.add(result)
}

// SkipRecord passes over a record that is no patch or is malformed.
func (fold *Replayer) SkipRecord(offset uint64) {
	fold.next = max(fold.next, offset+1)
}

// AdvanceTo records that the version is still the newest when all records before
// next are folded.
func (fold *Replayer) AdvanceTo(next uint64) { fold.next = max(fold.next, next) }

// InstallState replaces the state by a newer one that holds until the record before
// next. It reports false when the state is not newer.
func (fold *Replayer) InstallState(state State, next uint64) bool {
	if state.Config.Version() <= fold.config.Version() {
		return false
	}
	fold.config = state.Config
	fold.offset = state.VersionOffset
	fold.next = max(fold.next, next, state.VersionOffset+1)
	fold.accepted = newRecent()
	first := state.Config.Version() - uint64(len(state.RecentPatches)) + 1
	for index, id := range state.RecentPatches {
		fold.accepted.add(id, first+uint64(index))
	}
	return true
}

// State returns the state for a snapshot.
func (fold *Replayer) State() State {
	return State{Config: fold.config, VersionOffset: fold.offset, RecentPatches: fold.accepted.list()}
}

// Result returns what is known of a patch. The first outcome of an id counts,
// which is the one that its operator was told.
func (fold *Replayer) Result(id string) patch.Result {
	if version, ok := fold.accepted.version(id); ok {
		return patch.Result{ID: id, Kind: patch.Accepted, Version: version}
	}
	if result, ok := fold.void.find(id); ok {
		return result
	}
	return patch.Result{ID: id, Kind: patch.Unknown, Version: fold.config.Version()}
}
