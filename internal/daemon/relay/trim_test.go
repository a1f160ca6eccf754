package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// trimmedSource is an instance list of which records were trimmed before they were read.
type trimmedSource struct {
	mutex    sync.Mutex
	listings []Listing
	first    uint64
	end      uint64
	cut      bool
}

func (source *trimmedSource) Snapshot(context.Context) ([]Listing, watch.Cursor, error) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.listings, watch.Cursor{Next: source.end}, nil
}

func (source *trimmedSource) Read(_ context.Context, from uint64, _ time.Duration) (watch.Page[Listing], error) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if source.cut {
		return watch.Page[Listing]{}, context.DeadlineExceeded
	}
	if from < source.first {
		return watch.Page[Listing]{}, watch.ErrTrimmed
	}
	return watch.Page[Listing]{Next: watch.Cursor{Next: source.end}, End: source.end}, nil
}

// TestSoleAfterTrim guards against a version that counts as the only one although the records
// of a short outage, which may have named another one, were trimmed before they were read.
func TestSoleAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &trimmedSource{end: 100, listings: []Listing{{ID: "i-1", Upstream: &fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.5:80", StartedAt: 1000, SoftwareVersion: "v1"}}}}
		relay := New(Config{ReadyPath: "/ready", Logger: zap.NewNop(), DatagramPort: 7600, InstanceSource: source, Bounds: setup.DefaultRelay().Bounds})
		ctx, cancel := context.WithCancel(t.Context())
		go relay.instanceWatcher.Run(ctx)
		time.Sleep(20 * time.Second)
		source.mutex.Lock()
		source.cut = true
		source.mutex.Unlock()
		time.Sleep(1500 * time.Millisecond)
		// An engine of v2 was listed at 101 and removed at 102.
		source.mutex.Lock()
		source.cut, source.first, source.end = false, 103, 103
		source.mutex.Unlock()
		time.Sleep(time.Second)
		if relay.instanceWatcher.Position().Next != 103 {
			t.Fatal("the list was not read")
		}
		if sole, ok := relay.origins.history.Sole([]string{"advisor"}, time.Now().Add(-10*time.Second)); ok {
			t.Errorf("the only version is %v, want that none is known", sole)
		}
		cancel()
		synctest.Wait()
	})
}
