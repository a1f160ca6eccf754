package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func ids(list *List) []string {
	var ids []string
	for _, upstream := range list.Upstreams() {
		ids = append(ids, upstream.ID)
	}
	return ids
}

// TestLapse guards against upstreams that are dropped because their entries
// lapsed while the store was away, and against ones that are kept for ever.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := New(Config{})
		list.Set(Upstream{ID: "i-1"})
		list.Set(Upstream{ID: "i-2"})
		list.Set(Upstream{ID: "i-3", Draining: true})
		list.MarkUnavailable()
		time.Sleep(10 * time.Second)
		list.MarkAvailable()
		list.ReplaceAll(nil)
		if diff := cmp.Diff([]string{"i-1", "i-2"}, ids(list)); diff != "" {
			t.Errorf("after the return (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		list.Set(Upstream{ID: "i-2"})
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"i-1"}, list.RemoveExpired()); diff != "" {
			t.Errorf("expired (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"i-2"}, ids(list)); diff != "" {
			t.Errorf("after two seconds (-want +got):\n%s", diff)
		}
	})
}

// TestRemove guards against new work for an upstream whose entry was removed
// while the store is well.
func TestRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := New(Config{})
		time.Sleep(time.Hour)
		list.Set(Upstream{ID: "i-1"})
		if !list.Remove("i-1") {
			t.Error("the upstream is still there")
		}
		if diff := cmp.Diff([]string(nil), ids(list)); diff != "" {
			t.Errorf("upstreams (-want +got):\n%s", diff)
		}
	})
}

// TestLapsed guards against an entry that lapses during an outage and of which
// the other instances of a failure domain never hear.
func TestLapsed(t *testing.T) {
	list := New(Config{})
	list.Set(Upstream{ID: "i-1"})
	list.MarkUnavailable()
	list.Remove("i-1")
	if !list.Contains("i-1") || !list.Lapsed("i-1") {
		t.Error("an entry that lapsed in an outage is not kept as such")
	}
	list.Set(Upstream{ID: "i-1"})
	if !list.Contains("i-1") || list.Lapsed("i-1") {
		t.Error("an entry that came back counts as lapsed")
	}
	if list.Contains("i-2") || list.Lapsed("i-2") {
		t.Error("an entry that never was is known")
	}
}
