package stall

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSelect guards against callers that do not read and hold memory for long, and against
// responses that end although their callers read and there is memory.
func TestSelect(t *testing.T) {
	const (
		second = time.Second
		mega   = 1 << 20
	)
	config := Config{Limit: 8 * mega}.WithDefaults()
	tests := []struct {
		name    string
		callers []Caller
		want    []int
	}{
		{"none", nil, nil},
		{"just stopped reading", []Caller{{Held: 1, Unread: second, Writing: second}}, nil},
		{"reads nothing", []Caller{{Held: 1, Unread: 1500 * time.Millisecond, Writing: 2 * second}}, []int{0}},
		{"reads slowly", []Caller{{Held: mega, Unread: second / 10, Writing: 20 * second}}, nil},
		{"much held, reads nothing", []Caller{{Held: 4 * mega, Unread: 800 * time.Millisecond, Writing: second}}, []int{0}},
		{"all is held, has just stopped reading", []Caller{{Held: 8 * mega, Unread: 300 * time.Millisecond, Writing: 300 * time.Millisecond}}, nil},
		{"too much held for slow ones", []Caller{{3 * mega, 0, 2 * second}, {5 * mega, 0, 2 * second}, {4 * mega, 0, 2 * second}}, []int{1}},
		{"too much held, one does not read", []Caller{{5 * mega, 0, 2 * second}, {4 * mega, 300 * time.Millisecond, 2 * second}}, []int{1}},
		{"too much held, not by slow ones", []Caller{{5 * mega, 0, 2 * second}, {5 * mega, 0, second / 2}}, nil},
		{"those that end make room", []Caller{{4 * mega, 2 * second, 2 * second}, {5 * mega, 0, 2 * second}}, []int{0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, config.Select(test.callers)); diff != "" {
				t.Errorf("ended (-want +got):\n%s", diff)
			}
		})
	}
}
