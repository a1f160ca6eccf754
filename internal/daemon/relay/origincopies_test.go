package relay

import (
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/link/dgram"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// receiver keeps the origins of streams that an instance or a loader is told of.
type receiver struct {
	address string
	told    chan origin.Record
}

// newReceiver listens until the test ends.
func newReceiver(t *testing.T, address string) *receiver {
	t.Helper()
	conn, err := dgram.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	receiver := &receiver{conn.Address(), make(chan origin.Record, 16)}
	go func() {
		_ = conn.Serve(t.Context(), func(_ string, datagram *wirepb.Datagram) {
			streams := append(datagram.GetUsage().GetStreams(), datagram.GetStreamOrigins().GetStreams()...)
			for _, record := range codec.DecodeOrigins(streams) {
				receiver.told <- record
			}
		})
	}()
	return receiver
}

// next returns the origin that the receiver is told of next, or none within a time.
func (receiver *receiver) next() origin.Origin {
	select {
	case record := <-receiver.told:
		return record.Origin
	case <-time.After(300 * time.Millisecond):
		return origin.Origin{}
	}
}

// TestOriginCopies guards against the origin of a stream that only loaders and one entry
// instance keep, so that it is lost if these end at once, and against processes that start
// again and are not told of it.
func TestOriginCopies(t *testing.T) {
	began := origin.Record{Key: 7, Origin: origin.Origin{Service: "advisor", Version: "v1"}, Lifetime: time.Minute}
	report := func(relay *Relay, other *receiver, start int64) {
		relay.handleUsage(&wirepb.Usage{Entry: other.address, Start: start, FailureDomain: "hall-a"})
	}
	tests := []struct {
		name string
		// tell has an instance tell another one, which it has just heard, or a loader.
		tell       func(relay *Relay, other, loader *receiver)
		want       origin.Origin
		wantLoader origin.Origin
	}{
		{name: "nothing forwarded", tell: func(relay *Relay, _, _ *receiver) { relay.reportUsage(relay.limiter.LocalUsage()) }},
		{name: "forwarded", want: began.Origin, wantLoader: began.Origin, tell: func(relay *Relay, _, _ *receiver) {
			relay.keepOrigin(began)
			relay.reportUsage(relay.limiter.LocalUsage())
		}},
		{name: "told once", tell: func(relay *Relay, other, loader *receiver) {
			relay.keepOrigin(began)
			relay.reportUsage(relay.limiter.LocalUsage())
			other.next()
			loader.next()
			relay.reportUsage(relay.limiter.LocalUsage())
		}},
		{name: "other instance has started again", want: began.Origin, tell: func(relay *Relay, other, _ *receiver) {
			relay.origins.ledger.Record(began, []string{"127.0.0.9:1"})
			report(relay, other, 2)
		}},
		{name: "other instance was not heard for a time", want: began.Origin, tell: func(relay *Relay, other, _ *receiver) {
			relay.origins.ledger.Record(began, []string{"127.0.0.9:1"})
			relay.peers.byAddress[other.address].lastHeard = time.Now().Add(-readerTimeout)
			report(relay, other, 1)
		}},
		{name: "other instance goes on", tell: func(relay *Relay, other, _ *receiver) {
			relay.origins.ledger.Record(began, []string{"127.0.0.9:1"})
			report(relay, other, 1)
		}},
		{name: "loader has started again, stream of another instance", wantLoader: began.Origin, tell: func(relay *Relay, _, loader *receiver) {
			relay.keepCopies(codec.EncodeOrigins([]origin.Record{began}))
			relay.recordLoaderStart(loader.address, 2)
		}},
		{name: "loader goes on, stream of another instance", tell: func(relay *Relay, _, loader *receiver) {
			relay.keepCopies(codec.EncodeOrigins([]origin.Record{began}))
			relay.recordLoaderStart(loader.address, 1)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			datagrams, err := dgram.Listen("127.0.0.3:0")
			if err != nil {
				t.Fatal(err)
			}
			_, text, _ := net.SplitHostPort(datagrams.Address())
			port, _ := strconv.Atoi(text)
			other, loader := newReceiver(t, "127.0.0.2:0"), newReceiver(t, net.JoinHostPort("127.0.0.1", text))
			relay := New(Config{Datagrams: datagrams, DatagramAddress: datagrams.Address(), DatagramPort: uint16(port), Bounds: setup.DefaultRelay().Bounds, ReadyPath: "/ready", Logger: zap.NewNop()})
			relay.store.table.Store(routes.New(routes.Config{Services: []routes.Service{{Name: "advisor", Engine: &routes.Engine{}}}}))
			relay.origins.setGroups(relay.groupLoaders([]fleet.Upstream{{ID: "i-1", Service: "advisor", Address: "127.0.0.1:1", SoftwareVersion: "v1"}}))
			report(relay, other, 1)
			relay.recordLoaderStart(loader.address, 1)
			relay.tellReturned()
			test.tell(relay, other, loader)
			relay.tellReturned()
			if diff := cmp.Diff([]origin.Origin{test.want, test.wantLoader}, []origin.Origin{other.next(), loader.next()}); diff != "" {
				t.Errorf("told to the other instance and the loader (-want +got):\n%s", diff)
			}
		})
	}
}

// BenchmarkOriginCopies measures what the copies of a stream's origin cost among a number of
// entry instances: its choice of their holders, and the receipt at one of them.
func BenchmarkOriginCopies(b *testing.B) {
	began := origin.Record{Key: 7, Origin: origin.Origin{Service: "advisor", Version: "v1"}, Lifetime: time.Minute}
	for _, instances := range []int{4, 30, 300} {
		relay := New(Config{ReadyPath: "/ready", Logger: zap.NewNop()})
		for number := range instances - 1 {
			relay.peers.recordReport(fmt.Sprintf("10.0.%d.%d:7600", number/250, number%250+1), "hall-a", 1, 1)
		}
		for _, peer := range relay.peers.byAddress {
			// It is live as long as the benchmark runs.
			peer.lastHeard = time.Now().Add(time.Hour)
		}
		b.Run(fmt.Sprintf("choice/instances=%d", instances), func(b *testing.B) {
			for range b.N {
				began.Key++
				copyHolders(began.Key, relay.peers.liveOthers())
			}
		})
	}
	relay, encoded := New(Config{ReadyPath: "/ready", Logger: zap.NewNop()}), codec.EncodeOrigins([]origin.Record{began})
	b.Run("receipt", func(b *testing.B) {
		b.ReportMetric(float64(proto.Size(&wirepb.Usage{Streams: encoded})), "bytes/record")
		for range b.N {
			relay.keepCopies(encoded)
		}
	})
}
