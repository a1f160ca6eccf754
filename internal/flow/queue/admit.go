package queue

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// Share is the rate and burst of an organisation. A zero Rate means no limit.
type Share struct {
	Rate  model.Tokens
	Burst model.Tokens
}

// Admit returns why an entry is refused on arrival, or nil.
func (queue *Queue[T]) Admit(now time.Time, entry *Entry[T], share Share) *fault.Fault {
	if refusal := queue.admitRate(now, entry, share); refusal != nil {
		return refusal
	}
	requests, tokens := queue.config.Requests, queue.config.Tokens
	if entry.Class == model.Patient {
		requests = requests * queue.config.PatientPercent / 100
		tokens = tokens * model.Tokens(queue.config.PatientPercent) / 100
	}
	wait := queue.Estimate(now, entry.Class)
	if queue.requests >= requests || queue.requests > 0 && queue.tokens+entry.Cost > tokens {
		return fault.New(fault.Overloaded, fault.NotRun,
			"the queue of this upstream is full; come back after the time in retry-after").WithRetryAfter(atLeast(wait))
	}
	if wait > entry.Longest {
		return fault.New(fault.Overloaded, fault.NotRun,
			"the expected wait of %v exceeds the longest wait of %v; come back after the time in retry-after",
			wait.Round(time.Millisecond), entry.Longest).WithRetryAfter(atLeast(wait - entry.Longest))
	}
	return nil
}

// admitRate refuses what the organisation's share cannot serve in time even if
// no other upstream uses it.
func (queue *Queue[T]) admitRate(now time.Time, entry *Entry[T], share Share) *fault.Fault {
	if share.Rate <= 0 {
		return nil
	}
	if entry.Cost > share.Burst {
		return fault.New(fault.RateExceeded, fault.NotRun,
			"the request may use %d tokens and the organisation's burst is %d; ask for fewer tokens", entry.Cost, share.Burst)
	}
	line := queue.line(entry.Organisation)
	servable := model.Tokens(entry.Longest.Seconds() * float64(share.Rate))
	if !line.blocked.After(now) {
		servable += share.Burst
	}
	ahead := line.tokens[model.Interactive] + line.tokens[model.Patient]
	if entry.Class == model.Interactive {
		ahead = line.tokens[model.Interactive]
	}
	if ahead == 0 || ahead+entry.Cost <= servable {
		return nil
	}
	after := time.Duration(float64(ahead+entry.Cost-servable) / float64(share.Rate) * float64(time.Second))
	return fault.New(fault.RateExceeded, fault.NotRun,
		"the organisation's waiting requests use up its rate for the longest wait; come back after the time in retry-after").
		WithRetryAfter(atLeast(after))
}

// Estimate returns how long a new request of a class is expected to wait.
// Requests of blocked organisations do not count, since others pass them.
func (queue *Queue[T]) Estimate(now time.Time, class model.Class) time.Duration {
	var ahead model.Tokens
	for _, line := range queue.ring {
		if line.blocked.After(now) {
			continue
		}
		ahead += line.tokens[model.Interactive]
		if class == model.Patient {
			ahead += line.tokens[model.Patient]
		}
	}
	return queue.pace.estimate(now, ahead)
}

// minRetryAfter keeps refused callers from coming back in the same moment.
const minRetryAfter = 100 * time.Millisecond

func atLeast(wait time.Duration) time.Duration { return max(wait, minRetryAfter) }
