package infra

import (
	"slices"
	"sync"
)

// Observed holds what the platform has counted and recorded.
type Observed struct {
	// Records counts the records appended to each stream, expired ones included.
	Records map[string]uint64 `json:"records"`
	// RefusedAppends counts the appends refused by the rate limit.
	RefusedAppends int `json:"refused-appends"`
	// LostReplies counts the appends that took effect and whose connection was
	// then aborted.
	LostReplies int `json:"lost-replies"`
	// Loads lists the loads from the weight store that have ended.
	Loads []Load `json:"loads"`
}

// counters collects counts and loads of all parts of the platform.
type counters struct {
	mutex          sync.Mutex
	refusedAppends int
	lostReplies    int
	loads          []Load
}

// increment adds to one of the counters.
func (counters *counters) increment(count *int, by int) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	*count += by
}

// addLoad records a finished load.
func (counters *counters) addLoad(load Load) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	counters.loads = append(counters.loads, load)
}

// Observed returns what the platform has counted and recorded so far.
func (platform *Platform) Observed() Observed {
	observed := Observed{Records: map[string]uint64{}}
	platform.log.mutex.Lock()
	for name, stream := range platform.log.streams {
		observed.Records[name] = stream.next()
	}
	platform.log.mutex.Unlock()
	platform.counters.mutex.Lock()
	defer platform.counters.mutex.Unlock()
	observed.RefusedAppends = platform.counters.refusedAppends
	observed.LostReplies = platform.counters.lostReplies
	observed.Loads = slices.Clone(platform.counters.loads)
	return observed
}
