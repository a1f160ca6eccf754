package side

import (
	"testing"
	"testing/synctest"
)

// TestIncarnations guards against a process that answers for the requests of the one before
// it, as that not-run which that one ran, because the time of day had gone back to what it was
// at the start of that one.
func TestIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		incarnation := func() uint64 { return Config{}.withDefaults().Incarnation }
		if first, second := incarnation(), incarnation(); first == second || first == 0 {
			t.Errorf("incarnations %d and %d of two processes", first, second)
		}
	})
}
