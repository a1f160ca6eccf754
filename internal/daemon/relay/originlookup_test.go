package relay

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/link/dgram"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// answerer is a loader, or another entry instance, in a lookup.
type answerer struct {
	silent bool
	record origin.Record
	list   uint64
}

// listen answers lookups until the test ends and returns the address.
func (answerer answerer) listen(t *testing.T, address string) string {
	t.Helper()
	conn, err := dgram.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	ledger := origin.New(origin.Config{})
	ledger.Record(answerer.record, nil)
	go func() {
		_ = conn.Serve(t.Context(), func(_ string, datagram *wirepb.Datagram) {
			ask := datagram.GetOriginAsk()
			if ask == nil || answerer.silent {
				return
			}
			answer := codec.AnswerOrigins(ask, ledger, &wirepb.ListPosition{Next: answerer.list})
			conn.Send(answer, []string{ask.GetEntry()}, func(string, error) {})
		})
	}()
	return conn.Address()
}

// TestAskOrigin guards against a version that counts as the only one although a loader or
// another instance knows the stream, or has read further in the instance list, and against
// loaders that count as heard because another instance answered.
func TestAskOrigin(t *testing.T) {
	const key = 7
	known := origin.Record{Key: key, Origin: origin.Origin{Service: "advisor", Version: "v2"}, Lifetime: time.Minute}
	type outcome struct {
		Version string
		Unheard bool
		List    uint64
	}
	tests := []struct {
		name         string
		loader, peer answerer
		want         outcome
	}{
		{name: "nobody knows", loader: answerer{list: 12}, peer: answerer{list: 10}, want: outcome{List: 12}},
		{name: "loader knows", loader: answerer{record: known}, peer: answerer{silent: true}, want: outcome{Version: "v2"}},
		{name: "other instance knows", loader: answerer{silent: true}, peer: answerer{record: known}, want: outcome{Version: "v2", Unheard: true}},
		{name: "other instance has read further", loader: answerer{list: 12}, peer: answerer{list: 15}, want: outcome{List: 15}},
		{name: "loader silent", loader: answerer{silent: true}, peer: answerer{list: 15}, want: outcome{Unheard: true, List: 15}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loader, peer := test.loader.listen(t, "127.0.0.1:0"), test.peer.listen(t, "127.0.0.2:0")
			datagrams, err := dgram.Listen("127.0.0.3:0")
			if err != nil {
				t.Fatal(err)
			}
			_, text, _ := net.SplitHostPort(loader)
			port, _ := strconv.Atoi(text)
			relay := New(Config{Datagrams: datagrams, DatagramAddress: datagrams.Address(), DatagramPort: uint16(port), Bounds: setup.DefaultRelay().Bounds, ReadyPath: "/ready", Logger: zap.NewNop()})
			go func() { _ = datagrams.Serve(t.Context(), relay.handleDatagram) }()
			relay.store.table.Store(routes.New(routes.Config{Services: []routes.Service{{Name: "advisor", Engine: &routes.Engine{}}}}))
			relay.origins.setGroups(relay.groupLoaders([]fleet.Upstream{{ID: "i-1", Service: "advisor", Address: "127.0.0.1:1", SoftwareVersion: "v1"}}))
			relay.peers.recordReport(peer, "hall-a", 1, 1)
			result := relay.askOrigin(t.Context(), key, []string{"advisor"})
			got := outcome{result.record.Origin.Version, result.unheard(), result.list.Next}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
