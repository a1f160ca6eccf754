package infra

import (
	"fmt"
	"slices"
	"time"
)

// maxRemoved bounds the removals that a list remembers for partial answers.
const maxRemoved = 4096

// listAnswer is the answer to GET /v1/instances?since=REVISION. Unless it is
// complete, it holds only what has changed since that revision. Without partial
// answers, a daemon that polls 7,600 instances would exceed 3 KB/s.
type listAnswer struct {
	Revision  string     `json:"revision"`
	Complete  bool       `json:"complete"`
	Instances []Instance `json:"instances"`
	Removed   []string   `json:"removed,omitempty"`
}

// revisions numbers the views of the instance list.
type revisions struct {
	epoch string
	// floor is the oldest revision from which a partial answer can be given.
	floor, number uint64
	shown         []Instance
	changed       map[string]uint64
	removed       map[string]uint64
}

// newRevisions returns revisions that no earlier process has used.
func newRevisions() *revisions {
	return &revisions{
		epoch:   fmt.Sprintf("%x", time.Now().UnixNano()),
		changed: map[string]uint64{}, removed: map[string]uint64{},
	}
}

// update takes a view and gives it a number if it differs from the last one.
func (revisions *revisions) update(view []Instance) {
	if slices.Equal(revisions.shown, view) {
		return
	}
	next := revisions.number + 1
	before := make(map[string]Instance, len(revisions.shown))
	for _, instance := range revisions.shown {
		before[instance.ID] = instance
	}
	for _, instance := range view {
		if known, ok := before[instance.ID]; !ok || known != instance {
			revisions.changed[instance.ID] = next
			delete(revisions.removed, instance.ID)
			revisions.number = next
		}
		delete(before, instance.ID)
	}
	for id := range before {
		delete(revisions.changed, id)
		revisions.removed[id] = next
		revisions.number = next
	}
	if len(revisions.removed) > maxRemoved {
		clear(revisions.removed)
		revisions.floor = revisions.number
	}
	revisions.shown = view
}

// since returns what a reader lacks that has seen a revision.
func (revisions *revisions) since(revision string) listAnswer {
	answer := listAnswer{Revision: fmt.Sprintf("%s-%d", revisions.epoch, revisions.number), Instances: []Instance{}}
	var number uint64
	_, err := fmt.Sscanf(revision, revisions.epoch+"-%d", &number)
	if err != nil || number < revisions.floor || number > revisions.number {
		answer.Complete = true
		answer.Instances = append(answer.Instances, revisions.shown...)
		return answer
	}
	for _, instance := range revisions.shown {
		if revisions.changed[instance.ID] > number {
			answer.Instances = append(answer.Instances, instance)
		}
	}
	for id, removed := range revisions.removed {
		if removed > number {
			answer.Removed = append(answer.Removed, id)
		}
	}
	return answer
}
