package quota

import (
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Guards against a baseline that admits more than the instance's part of the
// rate, which would make the comparison with shards unfair.
func TestStatic(t *testing.T) {
	organisation := conf.OrganisationSpec{Name: "a", Rate: 300, Burst: 600}
	start := time.Unix(1000, 0)
	tests := []struct {
		name   string
		after  time.Duration
		tokens conf.Tokens
		want   bool
		wait   time.Duration
	}{
		{"the burst", 0, 200, true, 0},
		{"nothing is left", 0, 50, false, 500 * time.Millisecond},
		{"a part has accrued", 500 * time.Millisecond, 50, true, 0},
		{"the burst bounds the level", time.Hour, 201, false, 10 * time.Millisecond},
	}
	staticLimiter := NewStaticLimiter()
	for _, test := range tests {
		wait, ok := staticLimiter.Take(start.Add(test.after), 3, organisation, test.tokens)
		if ok != test.want || wait != test.wait {
			t.Errorf("%s: %v, %v", test.name, wait, ok)
		}
	}
}
