package routes

import (
	"testing"
	"time"
)

// TestCallerWait guards against routes that are told apart by callers who can wait equally
// long, and against ones that are not told apart.
func TestCallerWait(t *testing.T) {
	tests := []struct {
		name   string
		routes []Route
		want   bool
	}{
		{"no routes", nil, false},
		{"equal", []Route{{ResponseGoal: time.Second, Timeout: 20 * time.Second}, {ResponseGoal: time.Second, Timeout: 20 * time.Second, Priority: 3}}, false},
		{"nearly equal", []Route{{Timeout: 20 * time.Second}, {Timeout: 21 * time.Second}}, false},
		{"by goal", []Route{{ResponseGoal: 100 * time.Millisecond, Timeout: 20 * time.Second}, {ResponseGoal: 2 * time.Second, Timeout: 20 * time.Second}}, true},
		{"by timeout", []Route{{ResponseGoal: time.Second, Timeout: 2 * time.Second}, {ResponseGoal: time.Second}}, true},
		{"by stream", []Route{{Timeout: 20 * time.Second}, {Timeout: 20 * time.Second, Streaming: true, CallerStreamTimeout: time.Second}}, true},
		{"open route", []Route{{Timeout: time.Second, Open: true}, {Timeout: 20 * time.Second}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := New(Config{Routes: test.routes}).CallerWaitsDiffer(); got != test.want {
				t.Errorf("differ: %v, want %v", got, test.want)
			}
		})
	}
}
