// Package stall decides which responses to end because their callers do not read them.
// What is held for such callers is a part of the process's memory, so a caller that holds
// much of it has less time to read on.
package stall

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Config.
const (
	// DefaultLimit is the default of Config.Limit, in bytes.
	DefaultLimit = 12 << 20
	// DefaultPatience is shorter than the few seconds after which upstreams end a response
	// that is not read.
	DefaultPatience = 1500 * time.Millisecond
	// DefaultMinPatience exceeds the time that a retransmission takes.
	DefaultMinPatience = 400 * time.Millisecond
	// DefaultSlowTime is the default of Config.SlowTime.
	DefaultSlowTime = time.Second
)

// Config configures which responses are ended. Zero values mean the defaults.
type Config struct {
	// Limit is how many bytes may be held for all slow callers together.
	Limit int64
	// Patience is how long a caller for which little is held may read nothing, and
	// MinPatience how long one for which much is held.
	Patience    time.Duration
	MinPatience time.Duration
	// SlowTime is how long a write to a caller may take before the caller is slow, even if
	// it reads.
	SlowTime time.Duration
}

// Caller is a caller to which a write is under way.
type Caller struct {
	// Held is how many bytes are held for it.
	Held int64
	// Unread is how long it has read nothing, and Writing how long the write takes.
	Unread  time.Duration
	Writing time.Duration
}

// WithDefaults returns the configuration with its defaults.
func (config Config) WithDefaults() Config {
	config.Limit = cmp.Or(config.Limit, DefaultLimit)
	config.Patience = cmp.Or(config.Patience, DefaultPatience)
	config.MinPatience = cmp.Or(config.MinPatience, DefaultMinPatience)
	config.SlowTime = cmp.Or(config.SlowTime, DefaultSlowTime)
	return config
}

// Select returns the indexes of the callers whose responses must end: those that have read
// nothing for too long, and then, while more than the limit is held for the slow ones,
// those that do not read, and those for which most is held.
func (config Config) Select(callers []Caller) []int {
	var ended, slow []int
	held := int64(0)
	for i, caller := range callers {
		switch {
		case caller.Unread >= config.patience(caller.Held):
			ended = append(ended, i)
		case caller.Writing >= config.SlowTime:
			slow = append(slow, i)
			held += caller.Held
		}
	}
	slices.SortStableFunc(slow, func(a, b int) int {
		return cmp.Or(cmp.Compare(config.reads(callers[a]), config.reads(callers[b])), cmp.Compare(callers[b].Held, callers[a].Held))
	})
	for _, i := range slow {
		if held <= config.Limit {
			break
		}
		ended = append(ended, i)
		held -= callers[i].Held
	}
	return ended
}

// reads returns 1 for a caller that has read lately, else 0.
func (config Config) reads(caller Caller) int {
	if caller.Unread < config.MinPatience/2 {
		return 1
	}
	return 0
}

// patience returns how long a caller may read nothing. It falls with the part of the limit
// that is held for it.
func (config Config) patience(held int64) time.Duration {
	used := time.Duration(float64(config.Patience) * float64(held) / float64(config.Limit))
	return max(config.Patience-used, config.MinPatience)
}
