package replay

import "jacinthfront.dev/jacinthfront/internal/state/patch"

// recentPatches holds the ids of the last MaxRecentPatches accepted patches in a
// ring buffer, and the versions that they created.
type recentPatches struct {
	ids []string
	// oldest is the index of the oldest id once the buffer is full.
	oldest   int
	versions map[string]uint64
}

func newRecentPatches() *recentPatches {
	return &recentPatches{versions: map[string]uint64{}}
}

func (recentPatches *recentPatches) version(id string) (uint64, bool) {
	version, ok := recentPatches.versions[id]
	return version, ok
}

func (recentPatches *recentPatches) add(id string, version uint64) {
	recentPatches.versions[id] = version
	if len(recentPatches.ids) < MaxRecentPatches {
		recentPatches.ids = append(recentPatches.ids, id)
		return
	}
	delete(recentPatches.versions, recentPatches.ids[recentPatches.oldest])
	recentPatches.ids[recentPatches.oldest] = id
	recentPatches.oldest = (recentPatches.oldest + 1) % MaxRecentPatches
}

func (recentPatches *recentPatches) list() []string {
	list := make([]string, 0, len(recentPatches.ids))
	list = append(list, recentPatches.ids[recentPatches.oldest:]...)
	return append(list, recentPatches.ids[:recentPatches.oldest]...)
}

// maxRejectedPatches bounds the number of results of rejected patches. They
// only serve operators' queries and have no influence on versions.
const maxRejectedPatches = 1024

// rejectedPatches holds the results of the last rejected patches, the first
// result for each id.
type rejectedPatches struct {
	results map[string]patch.Result
	order   []string
}

func newRejectedPatches() *rejectedPatches {
	return &rejectedPatches{results: map[string]patch.Result{}}
}

func (rejectedPatches *rejectedPatches) result(id string) (patch.Result, bool) {
	result, ok := rejectedPatches.results[id]
	return result, ok
}

func (rejectedPatches *rejectedPatches) add(result patch.Result) {
	if _, ok := rejectedPatches.results[result.ID]; ok {
		return
	}
	if len(rejectedPatches.order) == maxRejectedPatches {
		delete(rejectedPatches.results, rejectedPatches.order[0])
		rejectedPatches.order = rejectedPatches.order[1:]
	}
	rejectedPatches.results[result.ID] = result
	rejectedPatches.order = append(rejectedPatches.order, result.ID)
}
