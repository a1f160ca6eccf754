package replay

import "jacinthfront.dev/jacinthfront/internal/state/patch"

// recent holds the ids of the last accepted patches.
type recent struct {
	ids      []string
	head     int
	versions map[string]uint64
}

func newRecent() *recent {
	return &recent{versions: map[string]uint64{}}
}

func (recent *recent) version(id string) (uint64, bool) {
	version, ok := recent.versions[id]
	return version, ok
}

func (recent *recent) add(id string, version uint64) {
	recent.versions[id] = version
	if len(recent.ids) < MaxRecentPatches {
		recent.ids = append(recent.ids, id)
		return
	}
	delete(recent.versions, recent.ids[recent.head])
	recent.ids[recent.head] = id
	recent.head = (recent.head + 1) % MaxRecentPatches
}

func (recent *recent) list() []string {
	list := make([]string, 0, len(recent.ids))
	list = append(list, recent.ids[recent.head:]...)
	return append(list, recent.ids[:recent.head]...)
}

// maxResults bounds the results of void patches. They are kept for operators'
// queries only and decide nothing.
const maxResults = 1024

// results holds the first result of each of the last void patches.
type results struct {
	byID  map[string]patch.Result
	order []string
}

func newResults() *results { return &results{byID: map[string]patch.Result{}} }

func (results *results) find(id string) (patch.Result, bool) {
	result, ok := results.byID[id]
	return result, ok
}

func (results *results) add(result patch.Result) {
	if _, ok := results.byID[result.ID]; ok {
		return
	}
	if len(results.order) == maxResults {
		delete(results.byID, results.order[0])
		results.order = results.order[1:]
	}
	results.byID[result.ID] = result
	results.order = append(results.order, result.ID)
}
