package relay

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestPeerReportsDraining guards against an upstream that receives requests from an entry
// instance although another one has reported that the upstream is draining.
func TestPeerReportsDraining(t *testing.T) {
	startedAt := time.Now().Add(-time.Minute).UnixMilli()
	sender, receiver := New(Config{ReadyPath: "/ready", Logger: zap.NewNop()}), New(Config{ReadyPath: "/ready", Logger: zap.NewNop()})
	receiver.picker.SetUpstreams([]fleet.Upstream{{ID: "i-1", Service: "counter", Slots: 4, StartedAt: startedAt}})
	sender.recordDraining(cordon.Incarnation{ID: "i-1", StartedAt: startedAt}, "")
	receiver.handleUsage(sender.encodeUsage(sender.limiter.LocalUsage(), fullReport))
	if _, cordoned := receiver.cordon.Cordoned(cordon.Incarnation{ID: "i-1", StartedAt: startedAt}); !cordoned {
		t.Error("a draining upstream is not cordoned")
	}
	receiver.handleUsage(&wirepb.Usage{Leaving: []*wirepb.Leaving{{Id: "i-1", Born: startedAt - 1}}})
	if _, cordoned := receiver.cordon.Cordoned(cordon.Incarnation{ID: "i-1", StartedAt: time.Now().Add(time.Second).UnixMilli()}); cordoned {
		t.Error("a restarted upstream is cordoned")
	}
}

// TestStaleWorkFactor guards against the work factor of an earlier response that is taken for
// the present one.
func TestStaleWorkFactor(t *testing.T) {
	if got := (ResponseInfo{WorkFactor: 2.5, InvalidWorkFactor: true}).staleNotices(); got.WorkFactor != 0 || got.InvalidWorkFactor {
		t.Errorf("%v is believed of an earlier response", got.WorkFactor)
	}
}
