package relay

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/avoid"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestHeardLeaving guards against an upstream that gets requests from an entry
// instance although another one has told that it is leaving.
func TestHeardLeaving(t *testing.T) {
	born := time.Now().Add(-time.Minute).UnixMilli()
	teller, told := New(Config{ReadyPath: "/ready", Logger: zap.NewNop()}), New(Config{ReadyPath: "/ready", Logger: zap.NewNop()})
	told.board.Follow([]fleet.Upstream{{ID: "i-1", Service: "counter", Slots: 4, Born: born}})
	teller.leaving(avoid.Start{ID: "i-1", Born: born}, "")
	told.heardPeer(teller.usage(teller.ledger.Statement(), nil))
	if _, avoided := told.avoided.Avoided(avoid.Start{ID: "i-1", Born: born}); !avoided {
		t.Error("an upstream that is leaving is not avoided")
	}
	told.heardPeer(&wirepb.Usage{Leaving: []*wirepb.Leaving{{Id: "i-1", Born: born - 1}}})
	if _, avoided := told.avoided.Avoided(avoid.Start{ID: "i-1", Born: time.Now().Add(time.Second).UnixMilli()}); avoided {
		t.Error("a new start is avoided")
	}
}
