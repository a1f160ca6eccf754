package side

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// checkFailure makes a dispatch check fail for a request.
type checkFailure func(harness *harness, request *wirepb.RunRequest)

// edited makes a check fail by a change of the configuration.
func edited(change func(*conf.Editor)) checkFailure {
	return func(harness *harness, _ *wirepb.RunRequest) { harness.configs.edit(change) }
}

// checkFailures may occur at any time before the dispatch.
var checkFailures = []struct {
	name   string
	change checkFailure
	want   string
}{
	{"draining", func(harness *harness, _ *wirepb.RunRequest) {
		go func() { _ = harness.Drain(harness.ctx) }()
		time.Sleep(time.Microsecond)
	}, "leaving"},
	{"cancelled", func(harness *harness, request *wirepb.RunRequest) {
		_, _ = harness.Cancel(harness.ctx, &wirepb.CancelRequest{RequestId: request.GetRequestId(), Attempt: 1, Incarnation: 77})
	}, "cancelled"},
	{"withdrawals of keys cannot arrive", func(harness *harness, _ *wirepb.RunRequest) { harness.configs.isolated.Store(true) }, "stale"},
	{"upstream draining", func(harness *harness, _ *wirepb.RunRequest) { harness.drainStatus.draining.Store(true) }, "leaving"},
	{"key withdrawn", edited(func(editor *conf.Editor) { editor.WithdrawKey("oak-key") }), "key-withdrawn"},
	{"key moved to another organisation", edited(func(editor *conf.Editor) {
		editor.PutKey(conf.KeySpec{ID: "oak-key", Organisation: "ash"})
	}), "forbidden"},
	{"route removed", edited(func(editor *conf.Editor) { editor.RemoveRoute("chat") }), "unknown-route"},
	{"version removed", edited(func(editor *conf.Editor) {
		editor.PutAdapter(conf.AdapterSpec{Name: "a", Service: "advisor", Versions: []uint32{2}})
	}), "unknown-adapter"},
	{"adapter given to another organisation", edited(func(editor *conf.Editor) {
		editor.PutAdapter(conf.AdapterSpec{Name: "a", Organisation: "ash", Service: "advisor", Versions: []uint32{1}})
	}), "forbidden"},
	{"upstream moved to another half", edited(func(editor *conf.Editor) {
		editor.PutUpstream(conf.UpstreamSpec{ID: "up", Service: "advisor", Half: "ash-half"})
	}), "wrong-half"},
}

// checkPhases make a check fail on arrival, in the queue, and while tokens are
// reserved immediately before the request is sent.
var checkPhases = []struct {
	name    string
	prepare func(harness *harness, change func())
}{
	{"on arrival", func(_ *harness, change func()) { change() }},
	{"in queue", func(harness *harness, change func()) {
		harness.fakeEngine.loadTime = time.Second
		time.AfterFunc(100*time.Millisecond, change)
	}},
	{"at dispatch", func(harness *harness, change func()) { harness.limiter.taken = change }},
}

// Guards against a request that is sent although a check failed at any time
// before, that is refused only after more than one poll interval, or that keeps
// its tokens.
func TestDispatchChecks(t *testing.T) {
	for _, phase := range checkPhases {
		for _, test := range checkFailures {
			t.Run(phase.name+"/"+test.name, func(t *testing.T) {
				withHarness(t, nil, func(harness *harness) {
					request := harness.request()
					phase.prepare(harness, func() { test.change(harness, request) })
					got := harness.do(harness.ctx, request)
					if diff := cmp.Diff(refused(test.want), got, ignoreDetail); diff != "" {
						t.Errorf("result (-want +got):\n%s", diff)
					}
					if sent := harness.fakeEngine.callsWith("generate"); len(sent) > 0 || got.took > 100*time.Millisecond+pollInterval+time.Millisecond {
						t.Errorf("refused after %v, sent %v", got.took, sent)
					}
					if harness.limiter.level["oak"] != 1e6 {
						t.Errorf("%d tokens are left", harness.limiter.level["oak"])
					}
				})
			})
		}
	}
}

// Guards against a request that runs without a valid key, for an organisation
// with another one's key, under an outdated configuration or for an earlier
// incarnation.
func TestArrival(t *testing.T) {
	tests := []struct {
		name   string
		change func(*wirepb.RunRequest)
		want   result
	}{
		{"no key", func(request *wirepb.RunRequest) { request.KeyId = "" }, refused("key-withdrawn")},
		{"key of another organisation", func(request *wirepb.RunRequest) { request.KeyId = "ash-key" }, refused("forbidden")},
		{"private adapter", func(request *wirepb.RunRequest) { request.Adapter = "private" }, refused("forbidden")},
		{"plain route", plainCall, refused("no-upstream")},
		{"former incarnation", func(request *wirepb.RunRequest) { request.Incarnation = 76 }, refused("no-upstream")},
		{"newer configuration", func(request *wirepb.RunRequest) { request.ConfigVersion = 9 }, refused("stale")},
		{"open route", func(request *wirepb.RunRequest) { request.Route, request.KeyId = "open", "" }, result{Text: "t0 t1 t2 ", Done: true, Ran: wirepb.Ran_RAN_RAN}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, nil, func(harness *harness) {
				got := harness.do(harness.ctx, harness.request(test.change))
				if diff := cmp.Diff(test.want, got, ignoreDetail); diff != "" {
					t.Errorf("result (-want +got):\n%s", diff)
				}
				if harness.limiter.level["oak"] != 1e6 {
					t.Error("tokens were taken without the organisation's key")
				}
			})
		})
	}
}

// Guards against a refusal by a side process that has not received a new key
// yet although the entry instance has.
func TestAwaitConfig(t *testing.T) {
	withHarness(t, nil, func(harness *harness) {
		time.AfterFunc(300*time.Millisecond, func() {
			harness.configs.edit(func(editor *conf.Editor) { editor.PutKey(conf.KeySpec{ID: "new", Organisation: "oak"}) })
		})
		got := harness.do(harness.ctx, harness.request(func(request *wirepb.RunRequest) { request.KeyId, request.ConfigVersion = "new", 2 }))
		if !got.Done || harness.configs.observed.Load() != 2 {
			t.Errorf("result %+v, observed version %d", got, harness.configs.observed.Load())
		}
	})
}

// Guards against requests of the new half that start while requests of the old
// half run, and against queued requests of the old half that run after the
// upstream moved.
func TestHalfMove(t *testing.T) {
	move := func(half conf.Half) func(*conf.Editor) {
		return func(editor *conf.Editor) {
			editor.PutUpstream(conf.UpstreamSpec{ID: "up", Service: "advisor", Half: half})
		}
	}
	withHarness(t, nil, func(harness *harness) {
		harness.configs.edit(move("oak-half"))
		harness.do(harness.ctx, harness.request())
		harness.fakeEngine.set(func() {
			harness.fakeEngine.tokenInterval, harness.fakeEngine.loadTime = 400*time.Millisecond, time.Second
		})
		running, queued := harness.start(harness.ctx, harness.request()), harness.start(harness.ctx, harness.request(withAdapter("b")))
		time.Sleep(500 * time.Millisecond)
		harness.configs.edit(move("ash-half"))
		next := harness.start(harness.ctx, harness.request(fromAsh))
		if got := <-queued; got.Refused != "wrong-half" {
			t.Errorf("queued request of the old half: %+v", got)
		}
		time.Sleep(500 * time.Millisecond)
		if len(harness.fakeEngine.callsWith("generate r4")) > 0 {
			t.Error("a request of the new half started while the old half ran")
		}
		if old, got := <-running, <-next; !old.Done || !got.Done {
			t.Errorf("old half %+v, new half %+v", old, got)
		}
	})
}
