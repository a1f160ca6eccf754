package relay

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestHeardLeaving guards against an upstream that gets requests from an entry
// instance although another one has told that it is leaving.
func TestHeardLeaving(t *testing.T) {
	born := time.Now().Add(-time.Minute).UnixMilli()
	teller, told := New(Config{ReadyPath: "/ready", Logger: zap.NewNop()}), New(Config{ReadyPath: "/ready", Logger: zap.NewNop()})
	told.board.SetUpstreams([]fleet.Upstream{{ID: "i-1", Service: "counter", Slots: 4, StartedAt: born}})
	teller.leaving(cordon.Incarnation{ID: "i-1", StartedAt: born}, "")
	told.heardPeer(teller.usage(teller.ledger.LocalUsage(), nil))
	if _, avoided := told.avoided.Avoided(cordon.Incarnation{ID: "i-1", StartedAt: born}); !avoided {
		t.Error("an upstream that is leaving is not avoided")
	}
	told.heardPeer(&wirepb.Usage{Leaving: []*wirepb.Leaving{{Id: "i-1", Born: born - 1}}})
	if _, avoided := told.avoided.Avoided(cordon.Incarnation{ID: "i-1", StartedAt: time.Now().Add(time.Second).UnixMilli()}); avoided {
		t.Error("a new start is avoided")
	}
}
