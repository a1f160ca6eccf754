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

// TestLapse guards against upstreams that are removed because their entries
// expired while the platform's store was unavailable, and against upstreams
// that are kept for ever after that.
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
			t.Errorf("after the outage (-want +got):\n%s", diff)
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

// TestRemove guards against new requests to an upstream whose entry was removed
// while the platform's store is available.
func TestRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := New(Config{})
		time.Sleep(time.Hour)
		list.Set(Upstream{ID: "i-1"})
		if !list.Remove("i-1") {
			t.Error("the upstream was not removed")
		}
		if diff := cmp.Diff([]string(nil), ids(list)); diff != "" {
			t.Errorf("upstreams (-want +got):\n%s", diff)
		}
	})
}

// TestLapsed guards against an instance that does not tell the others of its
// failure domain about an entry that lapsed during an outage: it tells them of
// the entries for which Lapsed is true.
func TestLapsed(t *testing.T) {
	list := New(Config{})
	list.Set(Upstream{ID: "i-1"})
	list.MarkUnavailable()
	list.Remove("i-1")
	if !list.Contains("i-1") || !list.Lapsed("i-1") {
		t.Error("an entry that was removed during an outage is not kept as lapsed")
	}
	list.Set(Upstream{ID: "i-1"})
	if !list.Contains("i-1") || list.Lapsed("i-1") {
		t.Error("an entry that was set again is still lapsed")
	}
	if list.Contains("i-2") || list.Lapsed("i-2") {
		t.Error("an entry that was never set is known")
	}
}
