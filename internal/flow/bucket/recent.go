package bucket

import "time"

const (
	// recentTime is how long an identity is remembered at least, if there is room.
	recentTime = 10 * time.Second
	// maxRecent bounds the identities of a generation.
	maxRecent = 8192
)

// recentSet remembers identities of requests for a time, in two generations.
type recentSet struct {
	current, previous map[uint64]struct{}
	startedAt         time.Time
}

func newRecentSet() *recentSet {
	return &recentSet{current: make(map[uint64]struct{}), startedAt: time.Now()}
}

// add adds an identity and reports whether it was missing. Identity 0 always is.
func (set *recentSet) add(identity uint64) bool {
	if identity == 0 {
		return true
	}
	if time.Since(set.startedAt) > recentTime || len(set.current) >= maxRecent {
		set.previous, set.current, set.startedAt = set.current, make(map[uint64]struct{}), time.Now()
	}
	_, current := set.current[identity]
	_, previous := set.previous[identity]
	set.current[identity] = struct{}{}
	return !current && !previous
}

// remove removes an identity and reports whether it was there.
func (set *recentSet) remove(identity uint64) bool {
	_, current := set.current[identity]
	_, previous := set.previous[identity]
	delete(set.current, identity)
	delete(set.previous, identity)
	return current || previous
}
