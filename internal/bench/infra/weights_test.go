package infra

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLoadTimeLaw guards against load times that differ from the platform's model,
// on which all measurements of load stalls depend: after a burst of 8, loads start
// at 3/s; a load takes 250 ms while at most 8 loads are in flight, and
// proportionally longer above that.
func TestLoadTimeLaw(t *testing.T) {
	ms := time.Millisecond
	burst := slices.Repeat([]time.Duration{250 * ms}, 8)
	tests := []struct {
		name  string
		loads int
		fault *Fault
		// want holds the times from the start of the test to the end of each load.
		want []time.Duration
	}{
		{"one", 1, nil, []time.Duration{250 * ms}},
		{"full speed", 8, nil, burst},
		{"two beyond the burst", 10, nil, append(slices.Clone(burst), 583333*time.Microsecond, 916667*time.Microsecond)},
		// The ninth load starts after 333 ms with 10 in flight and takes 312.5 ms.
		{"ten beyond the burst", 18, nil, append(slices.Clone(burst), 645833*time.Microsecond, 947917*time.Microsecond,
			1250*ms, 1583333*time.Microsecond, 1916667*time.Microsecond, 2250*ms, 2583333*time.Microsecond, 2916667*time.Microsecond, 3250*ms, 3583333*time.Microsecond)},
		{"slow", 1, &Fault{Mode: ModeSlow, Delay: Duration(time.Second)}, []time.Duration{1250 * ms}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform, err := New(DefaultConfig())
				if err != nil {
					t.Fatal(err)
				}
				if err := platform.Control(Control{Store: test.fault}); err != nil {
					t.Fatal(err)
				}
				begin := time.Now()
				var group sync.WaitGroup
				for range test.loads {
					group.Go(func() {
						if err := platform.Fetch(t.Context(), "a", 1); err != nil {
							t.Error(err)
						}
					})
					synctest.Wait()
				}
				group.Wait()
				var got []time.Duration
				for _, load := range platform.Observed().Loads {
					got = append(got, load.Ended.Sub(begin).Round(time.Microsecond))
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("ends (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestLoadRate guards against more load starts than the store's rate allows.
func TestLoadRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, err := New(DefaultConfig())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10400*time.Millisecond)
		defer cancel()
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for platform.Fetch(ctx, "a", 1) == nil {
				}
			})
		}
		group.Wait()
		started := 0
		for _, load := range platform.Observed().Loads {
			if !load.Started.IsZero() {
				started++
			}
		}
		if started != 8+31 {
			t.Errorf("%d loads started in 10.4 s, want 39", started)
		}
	})
}

// TestStoreFaults guards against a load that succeeds while the store is down or
// refuses loads, and against a fault that outlasts its duration.
func TestStoreFaults(t *testing.T) {
	tests := []struct {
		mode   string
		status int
	}{
		{"none", http.StatusOK},
		{ModeRefusing, http.StatusServiceUnavailable},
		{ModeDown, 0},
	}
	for _, test := range tests {
		t.Run(test.mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform, err := New(DefaultConfig())
				if err != nil {
					t.Fatal(err)
				}
				network := NewPipeNetwork()
				stop, err := network.Serve("platform:80", platform)
				if err != nil {
					t.Fatal(err)
				}
				defer stop()
				fault := &Fault{Mode: test.mode, For: Duration(time.Second)}
				if err := platform.Control(Control{Store: fault}); err != nil {
					t.Fatal(err)
				}
				for _, want := range []int{test.status, http.StatusOK} {
					status := 0
					if response, err := network.Client().Get("http://platform:80/v1/weights/a/1"); err == nil {
						_ = response.Body.Close()
						status = response.StatusCode
					}
					if status != want {
						t.Errorf("status %d, want %d", status, want)
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}
