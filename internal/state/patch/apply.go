package patch

import (
	"fmt"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// MaxOps bounds the operations of one patch.
const MaxOps = 10_000

// maxIDLength bounds patch ids, since the last 4,096 of them are kept.
const maxIDLength = 64

// draft is a configuration while a patch is applied to it.
type draft struct {
	base   *conf.Config
	editor *conf.Editor
	// created lists the organisations that the patch adds, ended the upstreams
	// whose shards get new hosts.
	created []string
	ended   []string
	// topology is set when the patch may change which half is served by what.
	topology bool
}

func (draft *draft) now() *conf.Config { return draft.editor.Current() }

// Apply applies a patch to the configuration of its base version. It returns
// the new configuration when the patch is accepted, otherwise the base. The
// outcome depends on nothing but its arguments, so that every process folds a
// record to the same result.
func Apply(config *conf.Config, patch Patch) (*conf.Config, Result) {
	result := Result{ID: patch.ID, Version: config.Version()}
	if problem := Validate(patch); problem != nil {
		return config, problem.result(result)
	}
	if patch.BaseVersion > config.Version() {
		return config, refuse("base", "version %d does not exist yet; use the current version %d",
			patch.BaseVersion, config.Version()).result(result)
	}
	if patch.BaseVersion != config.Version() {
		result.Kind = Conflict
		return config, result
	}
	draft := &draft{base: config, editor: config.Edit()}
	if problem := draft.run(patch); problem != nil {
		return config, problem.result(result)
	}
	result.Kind = Accepted
	result.Version = config.Version() + 1
	return draft.editor.Commit(result.Version), result
}

func (problem *Problem) result(result Result) Result {
	result.Kind = Invalid
	result.Field = problem.Field
	result.Reason = problem.Reason
	return result
}

// Validate refuses a patch that no configuration admits.
func Validate(patch Patch) *Problem {
	if patch.ID == "" || len(patch.ID) > maxIDLength || !printable(patch.ID) {
		return refuse("id", "must be 1 to %d printable characters without spaces", maxIDLength)
	}
	if len(patch.Operator) > maxNameLength {
		return refuse("operator", "must be at most %d bytes", maxNameLength)
	}
	if len(patch.Ops) == 0 || len(patch.Ops) > MaxOps {
		return refuse("ops", "has %d operations; write 1 to %d", len(patch.Ops), MaxOps)
	}
	targets := make(map[string]int, len(patch.Ops))
	for index, op := range patch.Ops {
		if op == nil {
			return refuse(fmt.Sprintf("ops[%d]", index), "is of an unknown kind")
		}
		target := op.Target()
		if first, ok := targets[target]; ok {
			return refuse(path(index, op, ""), "changes %s a second time after ops[%d]; write one operation for each object", target, first)
		}
		targets[target] = index
		if problem := op.check(); problem != nil {
			return problem.at(index, op)
		}
	}
	return nil
}

func (draft *draft) run(patch Patch) *Problem {
	for index, op := range patch.Ops {
		if problem := op.apply(draft); problem != nil {
			return problem.at(index, op)
		}
	}
	draft.assignShards()
	for index, op := range patch.Ops {
		if problem := op.verify(draft); problem != nil {
			return problem.at(index, op)
		}
	}
	if draft.topology && !patch.Force {
		return draft.checkHalves()
	}
	return nil
}

func (problem *Problem) at(index int, op Op) *Problem {
	located := *problem
	located.Field = path(index, op, problem.Field)
	return &located
}

func path(index int, op Op, field string) string {
	if field != "" {
		field = "." + field
	}
	return fmt.Sprintf("ops[%d].%s%s", index, op.Kind(), field)
}
