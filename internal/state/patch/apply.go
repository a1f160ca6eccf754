package patch

import (
	"fmt"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// MaxOps is the largest number of operations in one patch.
const MaxOps = 10_000

// maxIDLength bounds the length of patch ids in bytes, since the last 4,096 ids
// are kept in memory.
const maxIDLength = 64

// draft is a configuration to which a patch is being applied.
type draft struct {
	base   *conf.Config
	editor *conf.Editor
	// createdOrganisations lists the organisations that the patch adds.
	createdOrganisations []string
	// endedUpstreams lists the upstreams whose shards are moved to others.
	endedUpstreams []string
	// topologyChanged is set if the patch may change which upstreams serve a half.
	topologyChanged bool
}

func (draft *draft) current() *conf.Config { return draft.editor.Current() }

// Apply applies a patch to a configuration. It returns the new configuration if
// the patch is accepted, otherwise the given one. The result depends only on the
// arguments, so that all processes that read the same log get the same versions.
func Apply(config *conf.Config, patch Patch) (*conf.Config, Result) {
	result := Result{ID: patch.ID, Version: config.Version()}
	if problem := Validate(patch); problem != nil {
		return config, problem.invalidResult(result)
	}
	if patch.BaseVersion > config.Version() {
		return config, problemf("base", "version %d does not exist yet; use the current version %d",
			patch.BaseVersion, config.Version()).invalidResult(result)
	}
	if patch.BaseVersion != config.Version() {
		result.Kind = Conflict
		return config, result
	}
	draft := &draft{base: config, editor: config.Edit()}
	if problem := draft.applyOps(patch); problem != nil {
		return config, problem.invalidResult(result)
	}
	result.Kind = Accepted
	result.Version = config.Version() + 1
	return draft.editor.Commit(result.Version), result
}

func (problem *Problem) invalidResult(result Result) Result {
	result.Kind = Invalid
	result.Field = problem.Field
	result.Reason = problem.Reason
	return result
}

// Validate returns the first problem that makes the patch invalid for every
// configuration, or nil.
func Validate(patch Patch) *Problem {
	if patch.ID == "" || len(patch.ID) > maxIDLength || !printable(patch.ID) {
		return problemf("id", "must be 1 to %d printable characters without spaces", maxIDLength)
	}
	if len(patch.Operator) > maxNameLength {
		return problemf("operator", "must be at most %d bytes", maxNameLength)
	}
	if len(patch.Ops) == 0 || len(patch.Ops) > MaxOps {
		return problemf("ops", "has %d operations; write 1 to %d", len(patch.Ops), MaxOps)
	}
	targets := make(map[string]int, len(patch.Ops))
	for index, op := range patch.Ops {
		if op == nil {
			return problemf(fmt.Sprintf("ops[%d]", index), "is of an unknown kind")
		}
		target := op.Target()
		if first, ok := targets[target]; ok {
			return problemf(fieldPath(index, op, ""), "changes %s a second time after ops[%d]; write one operation for each object", target, first)
		}
		targets[target] = index
		if problem := op.check(); problem != nil {
			return problem.inOp(index, op)
		}
	}
	return nil
}

func (draft *draft) applyOps(patch Patch) *Problem {
	for index, op := range patch.Ops {
		if problem := op.apply(draft); problem != nil {
			return problem.inOp(index, op)
		}
	}
	draft.assignShards()
	for index, op := range patch.Ops {
		if problem := op.verify(draft); problem != nil {
			return problem.inOp(index, op)
		}
	}
	if draft.topologyChanged && !patch.Force {
		return draft.checkHalves()
	}
	return nil
}

func (problem *Problem) inOp(index int, op Op) *Problem {
	located := *problem
	located.Field = fieldPath(index, op, problem.Field)
	return &located
}

func fieldPath(index int, op Op, field string) string {
	if field != "" {
		field = "." + field
	}
	return fmt.Sprintf("ops[%d].%s%s", index, op.Kind(), field)
}
