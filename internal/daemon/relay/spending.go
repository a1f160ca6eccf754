package relay

import "time"

// repeatTime is how long a change of what was spent is told again, in case a
// datagram is lost.
const repeatTime = 400 * time.Millisecond

// spending follows which organisations' spending has changed lately.
type spending struct {
	last map[string]float64
	at   map[string]time.Time
}

func newSpending() *spending {
	return &spending{last: make(map[string]float64), at: make(map[string]time.Time)}
}

// changed takes over what was spent, and reports whether something was since the
// last call.
func (spending *spending) changed(spent map[string]float64) bool {
	changed := false
	now := time.Now()
	for organisation, sum := range spent {
		if before, ok := spending.last[organisation]; ok && before == sum {
			continue
		}
		spending.last[organisation], spending.at[organisation] = sum, now
		changed = true
	}
	return changed
}

// recent returns the organisations whose spending has changed lately.
func (spending *spending) recent() map[string]bool {
	recent := make(map[string]bool)
	for organisation, at := range spending.at {
		if time.Since(at) < repeatTime {
			recent[organisation] = true
		}
	}
	return recent
}
