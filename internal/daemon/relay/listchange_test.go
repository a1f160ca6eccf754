package relay

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// listTopic is an instance list in memory.
type listTopic struct {
	mutex   sync.Mutex
	records []Listing
}

func (topic *listTopic) add(record Listing) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.records = append(topic.records, record)
}

// read returns the records from an offset on, and the end.
func (topic *listTopic) read(from uint64) ([]Listing, watch.Cursor) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return slices.Clone(topic.records[from:]), watch.Cursor{Next: uint64(len(topic.records))}
}

// Snapshot implements watch.Source. All records must be of one entry.
func (topic *listTopic) Snapshot(context.Context) ([]Listing, watch.Cursor, error) {
	records, end := topic.read(0)
	if count := len(records); count > 0 && records[count-1].Upstream != nil {
		return records[count-1:], end, nil
	}
	return nil, end, nil
}

// Read implements watch.Source.
func (topic *listTopic) Read(_ context.Context, from uint64, _ time.Duration) (watch.Page[Listing], error) {
	records, end := topic.read(from)
	return watch.Page[Listing]{Records: records, Next: end, End: end.Next}, nil
}

// follow returns an entry instance that reads an instance list until the test ends.
func (topic *listTopic) follow(t *testing.T, address string) *Relay {
	t.Helper()
	relay := New(Config{ReadyPath: "/ready", Logger: zap.NewNop(), DatagramAddress: address, InstanceSource: topic, Bounds: setup.DefaultRelay().Bounds})
	relay.readerReport.setReader(readerAddress)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		relay.instanceWatcher.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return relay
}

// TestChangesWithinPage guards against an entry instance that starts between two changes of an
// entry, which the store reader reads at once, and does not learn of the second one.
func TestChangesWithinPage(t *testing.T) {
	upstream := fleet.Upstream{ID: "i-1", Service: "counter", Address: "10.0.0.9:80", Slots: 4}
	listed, removed := Listing{ID: upstream.ID, Upstream: &upstream}, Listing{ID: upstream.ID}
	tests := []struct {
		name          string
		before        []Listing
		first, second Listing
		want          bool
	}{
		{name: "listed and removed", first: listed, second: removed},
		{name: "removed and back", before: []Listing{listed}, first: removed, second: listed, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				topic := &listTopic{records: test.before}
				reader := topic.follow(t, readerAddress)
				synctest.Wait()
				topic.add(test.first)
				started := topic.follow(t, ownAddress)
				synctest.Wait()
				topic.add(test.second)
				time.Sleep(defaultTiming.listInterval)
				synctest.Wait()
				word := reader.positionReport(started.readerReport.newQuery(), reader.instanceWatcher.Since(started.instanceWatcher.Position().Cursor))
				started.handleStoreWord(word.GetStoreWord())
				time.Sleep(2 * queryInterval)
				synctest.Wait()
				if diff := cmp.Diff(test.want, started.store.instances.Contains(upstream.ID)); diff != "" {
					t.Errorf("listed at the instance that has started (-want +got):\n%s", diff)
				}
			})
		})
	}
}
