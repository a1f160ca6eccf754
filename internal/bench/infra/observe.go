package infra

import (
	"slices"
	"sync"
)

// Observed is what the platform has seen.
type Observed struct {
	// Records counts the records that streams have got, expired ones included.
	Records map[string]uint64 `json:"records"`
	// RefusedAppends counts appends above the rate limit.
	RefusedAppends int `json:"refused-appends"`
	// LostReplies counts appends whose connection was cut after their effect.
	LostReplies int    `json:"lost-replies"`
	Loads       []Load `json:"loads"`
}

// counts collects what the parts of the platform have seen.
type counts struct {
	mutex          sync.Mutex
	refusedAppends int
	lostReplies    int
	loads          []Load
}

// add raises one of the counts.
func (counts *counts) add(count *int, by int) {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	*count += by
}

// addLoad records a load that has ended.
func (counts *counts) addLoad(load Load) {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	counts.loads = append(counts.loads, load)
}

// Observed returns what the platform has seen so far.
func (platform *Platform) Observed() Observed {
	observed := Observed{Records: map[string]uint64{}}
	platform.log.mutex.Lock()
	for name, stream := range platform.log.streams {
		observed.Records[name] = stream.next()
	}
	platform.log.mutex.Unlock()
	platform.counts.mutex.Lock()
	defer platform.counts.mutex.Unlock()
	observed.RefusedAppends = platform.counts.refusedAppends
	observed.LostReplies = platform.counts.lostReplies
	observed.Loads = slices.Clone(platform.counts.loads)
	return observed
}
