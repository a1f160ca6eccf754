package side

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

var ignoreDetail = cmpopts.IgnoreUnexported(result{})

// Guards against an answer that is incomplete or lacks its explicit end.
func TestRunModel(t *testing.T) {
	inRig(t, nil, func(rig *rig) {
		got := rig.do(rig.ctx, rig.request())
		want := result{Text: "t0 t1 t2 ", Done: true, Ran: wirepb.Ran_RAN_RAN}
		if diff := cmp.Diff(want, got, ignoreDetail); diff != "" {
			t.Error(diff)
		}
	})
}

func plainUpstream(config *Config) { config.Upstream = "shop" }

func plainCall(request *wirepb.RunRequest) {
	request.Route, request.Adapter, request.AdapterVersion = "book", "", 0
	request.Method, request.Path, request.Idempotent = "POST", "/kilns", false
}

// Guards against a plain call that is not relayed or is sent more than once.
func TestRunPlain(t *testing.T) {
	inRig(t, plainUpstream, func(rig *rig) {
		got := rig.do(rig.ctx, rig.request(plainCall))
		want := result{Text: "booked", Done: true, Ran: wirepb.Ran_RAN_RAN}
		if diff := cmp.Diff(want, got, ignoreDetail); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff([]string{"call r1 POST /kilns"}, rig.fake.seen("call")); diff != "" {
			t.Error(diff)
		}
	})
}
