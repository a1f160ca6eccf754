// Package replay derives the versions of the configuration by applying the
// records of its log stream in order. All processes that apply the same records
// get the same versions.
package replay

import (
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// MaxRecentPatches is the number of accepted patches whose ids are kept, so
// that a patch that is appended twice is recognised as a duplicate. If the
// second copy comes later than that, it is a conflict because of its base
// version. It has no effect in either case.
const MaxRecentPatches = 4096

// State is the result of applying the log up to the patch that created a
// version. It depends only on the accepted patches, not on rejected ones, so
// that a process that received the accepted patches from a peer has the same
// state as one that read the log.
type State struct {
	Config *conf.Config
	// VersionOffset is the log offset of the patch that created the version.
	VersionOffset uint64
	// RecentPatches lists the ids of the last accepted patches, oldest first. The
	// last of them created the version.
	RecentPatches []string
}

// Replayer keeps a State up to date by applying the records of the log. It is
// not safe for concurrent use.
type Replayer struct {
	config        *conf.Config
	versionOffset uint64
	nextOffset    uint64
	recent        *recentPatches
	rejected      *rejectedPatches
}

// New returns a Replayer with the empty configuration, before the first record.
func New() *Replayer {
	return &Replayer{config: conf.New(), recent: newRecentPatches(), rejected: newRejectedPatches()}
}

// Config returns the current version.
func (replayer *Replayer) Config() *conf.Config { return replayer.config }

// NextOffset returns the offset of the first record that is not applied yet.
func (replayer *Replayer) NextOffset() uint64 { return replayer.nextOffset }

// VersionOffset returns the offset of the patch that created the current version.
func (replayer *Replayer) VersionOffset() uint64 { return replayer.versionOffset }

// ApplyPatch applies the patch record at an offset and returns its result. It
// returns false and changes no version if the record at this offset has been
// applied before.
func (replayer *Replayer) ApplyPatch(offset uint64, record patch.Patch) (patch.Result, bool) {
	if offset < replayer.nextOffset {
		replayer.recordOutdated(record)
		return replayer.Result(record.ID), false
	}
	replayer.nextOffset = offset + 1
	if version, ok := replayer.recent.version(record.ID); ok {
		return patch.Result{ID: record.ID, Kind: patch.Duplicate, Version: version}, true
	}
	config, result := patch.Apply(replayer.config, record)
	if result.Kind != patch.Accepted {
		replayer.rejected.add(result)
		return result, true
	}
	replayer.config = config
	replayer.versionOffset = offset
	replayer.recent.add(record.ID, result.Version)
	return result, true
}

// recordOutdated records the result of a rejected patch that lies before
// NextOffset and whose result is still unknown, since a state that includes
// later patches was received from a peer first. It ignores patches that are older
// than the recent ones, since they may have been accepted.
func (replayer *Replayer) recordOutdated(record patch.Patch) {
	if replayer.Result(record.ID).Kind != patch.Unknown || record.BaseVersion+MaxRecentPatches < replayer.config.Version() {
		return
	}
	result := patch.Result{ID: record.ID, Kind: patch.Conflict, Version: replayer.config.Version()}
	if problem := patch.Validate(record); problem != nil {
		result.Kind, result.Field, result.Reason = patch.Invalid, problem.Field, problem.Reason
	}
	replayer.rejected.add(result)
}

// SkipRecord skips a record that is malformed or not a patch.
func (replayer *Replayer) SkipRecord(offset uint64) {
	replayer.nextOffset = max(replayer.nextOffset, offset+1)
}

// AdvanceTo records that the log has no accepted patch between the current
// version and the offset next, so that reading can go on there.
func (replayer *Replayer) AdvanceTo(next uint64) {
	replayer.nextOffset = max(replayer.nextOffset, next)
}

// InstallState replaces the state with a newer one, which includes all records
// before the offset next. It returns false and changes nothing if the state is
// not newer.
func (replayer *Replayer) InstallState(state State, next uint64) bool {
	if state.Config.Version() <= replayer.config.Version() {
		return false
	}
	replayer.config = state.Config
	replayer.versionOffset = state.VersionOffset
	replayer.nextOffset = max(replayer.nextOffset, next, state.VersionOffset+1)
	replayer.recent = newRecentPatches()
	firstVersion := state.Config.Version() - uint64(len(state.RecentPatches)) + 1
	for index, id := range state.RecentPatches {
		replayer.recent.add(id, firstVersion+uint64(index))
	}
	return true
}

// State returns the current state, for a snapshot.
func (replayer *Replayer) State() State {
	return State{Config: replayer.config, VersionOffset: replayer.versionOffset, RecentPatches: replayer.recent.list()}
}

// Result returns the result of a patch by its id, of kind Unknown if it is not
// known. If several patches have the id, it returns the result of the first
// one, which is the one that the operator was told.
func (replayer *Replayer) Result(id string) patch.Result {
	if version, ok := replayer.recent.version(id); ok {
		return patch.Result{ID: id, Kind: patch.Accepted, Version: version}
	}
	if result, ok := replayer.rejected.result(id); ok {
		return result
	}
	return patch.Result{ID: id, Kind: patch.Unknown, Version: replayer.config.Version()}
}
