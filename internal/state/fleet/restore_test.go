package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRestored guards against upstreams that are used again because an earlier copy of
// the instance list shows them as they were, and against ones that are dropped because
// the copy lacks them.
func TestRestored(t *testing.T) {
	upstream := func(id string, startedAt int64, draining bool) Upstream {
		return Upstream{ID: id, StartedAt: startedAt, Draining: draining}
	}
	tests := []struct {
		name string
		// known are set before the restore, and those in gone removed then.
		known []Upstream
		gone  []string
		copy  []Upstream
		// written are written again after the restore.
		written []Upstream
		want    []Upstream
		ignored []string
		lapsed  []string
	}{
		{name: "unchanged", known: []Upstream{upstream("a", 1, false)}, copy: []Upstream{upstream("a", 1, false)}, want: []Upstream{upstream("a", 1, false)}},
		{name: "drained since", known: []Upstream{upstream("a", 1, true)}, copy: []Upstream{upstream("a", 1, false)}, want: []Upstream{upstream("a", 1, true)}},
		{name: "restarted after it drained", known: []Upstream{upstream("a", 1, true)}, copy: []Upstream{upstream("a", 2, false)}, want: []Upstream{upstream("a", 2, false)}},
		{name: "without start times", known: []Upstream{upstream("a", 0, true)}, copy: []Upstream{upstream("a", 0, false)}, want: []Upstream{upstream("a", 0, false)}},
		{name: "removed since", known: []Upstream{upstream("a", 1, false)}, gone: []string{"a"}, copy: []Upstream{upstream("a", 1, false)}, ignored: []string{"a"}},
		{name: "removed since and written again", known: []Upstream{upstream("a", 1, false)}, gone: []string{"a"}, copy: []Upstream{upstream("a", 1, false)}, written: []Upstream{upstream("a", 1, false)}, want: []Upstream{upstream("a", 1, false)}, ignored: []string{"a"}},
		{name: "removed before under another start", known: []Upstream{upstream("a", 1, false)}, gone: []string{"a"}, copy: []Upstream{upstream("a", 2, false)}, want: []Upstream{upstream("a", 2, false)}},
		{name: "registered since", known: []Upstream{upstream("a", 1, false)}, lapsed: []string{"a"}},
		{name: "registered since and written again", known: []Upstream{upstream("a", 1, false)}, written: []Upstream{upstream("a", 1, false)}, want: []Upstream{upstream("a", 1, false)}, lapsed: []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := New(Config{})
				for _, known := range test.known {
					list.Set(known)
				}
				time.Sleep(DefaultGracePeriod)
				for _, id := range test.gone {
					list.Remove(id)
				}
				list.MarkRestored()
				ignored, lapsed := list.ReplaceAll(test.copy)
				list.MarkAvailable()
				for _, written := range test.written {
					list.Set(written)
				}
				time.Sleep(DefaultGracePeriod)
				list.RemoveExpired()
				got := append([]Upstream(nil), list.Upstreams()...)
				if diff := cmp.Diff([]any{test.want, test.ignored, test.lapsed}, []any{got, ignored, lapsed}); diff != "" {
					t.Errorf("upstreams, ignored and lapsed entries (-want +got):\n%s", diff)
				}
			})
		})
	}
}
