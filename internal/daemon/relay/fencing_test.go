package relay

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestFencingOffsets guards against demands that tell a loader that has started again too low
// an offset, that of another incarnation of the engine, or none although one is known.
func TestFencingOffsets(t *testing.T) {
	state := func(born int64, offset *int64) *wirepb.EngineState {
		return &wirepb.EngineState{Upstream: "i-1", Born: born, FencingOffset: offset}
	}
	tests := []struct {
		name   string
		states []*wirepb.EngineState
		want   *int64
	}{
		{"nothing heard", nil, nil},
		{"heard", []*wirepb.EngineState{state(1000, proto.Int64(-70))}, proto.Int64(-70)},
		{"the highest counts", []*wirepb.EngineState{state(1000, proto.Int64(-70)), state(1000, proto.Int64(-90))}, proto.Int64(-70)},
		{"a state without one", []*wirepb.EngineState{state(1000, proto.Int64(-70)), state(1000, nil)}, proto.Int64(-70)},
		{"late state of an earlier incarnation", []*wirepb.EngineState{state(1000, proto.Int64(-70)), state(900, proto.Int64(500))}, proto.Int64(-70)},
		{"of an earlier incarnation only", []*wirepb.EngineState{state(900, proto.Int64(500))}, nil},
		{"of a later incarnation than the listed one", []*wirepb.EngineState{state(1000, proto.Int64(-70)), state(1100, proto.Int64(-90))}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			offsets := newFencingOffsets()
			for _, state := range test.states {
				offsets.record(state)
			}
			if diff := cmp.Diff(test.want, offsets.encode(fleet.Upstream{ID: "i-1", StartedAt: 1000})); diff != "" {
				t.Errorf("offset in demands (-want +got):\n%s", diff)
			}
			offsets.keep(func(string) bool { return false })
			if left := offsets.encode(fleet.Upstream{ID: "i-1", StartedAt: 1000}); left != nil {
				t.Errorf("offset %d of an upstream that is not listed", *left)
			}
		})
	}
}
