package infra

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestListFaults guards against a list that shows changes earlier than the
// platform's list does. One second after both instances were added, s1 starts to
// drain and s2 is removed while a fault may be active.
func TestListFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault *Fault
		wait  time.Duration
		want  map[string]string
	}{
		{"within the lag", nil, 400 * time.Millisecond, map[string]string{"s1": StateLive, "s2": StateLive}},
		{"after the lag", nil, 600 * time.Millisecond, map[string]string{"s1": StateDraining}},
		{"stale", &Fault{Mode: ModeStale, For: Duration(time.Minute)}, 50 * time.Second, map[string]string{"s1": StateLive, "s2": StateLive}},
		{"no longer stale", &Fault{Mode: ModeStale, For: Duration(time.Minute)}, 61 * time.Second, map[string]string{"s1": StateDraining}},
		{"returning", &Fault{Mode: ModeShowRemoved, ID: "s2"}, 10 * time.Second, map[string]string{"s1": StateDraining, "s2": StateLive}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform, err := New(DefaultConfig())
				if err != nil {
					t.Fatal(err)
				}
				first := Instance{ID: "s1", Role: "side", Upstream: "u1", Address: "s1:80"}
				second := Instance{ID: "s2", Role: "side", Upstream: "u2", Address: "s2:80"}
				_, _ = platform.PutInstance(first), platform.PutInstance(second)
				time.Sleep(time.Second)
				first.State = StateDraining
				_, _ = platform.PutInstance(first), platform.Control(Control{List: test.fault})
				platform.RemoveInstance("s2")
				time.Sleep(test.wait)
				got := map[string]string{}
				for _, instance := range platform.Instances() {
					got[instance.ID] = instance.State
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("states (-want +got):\n%s", diff)
				}
			})
		})
	}
}
