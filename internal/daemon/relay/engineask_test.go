package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// fakeEngines answers asks after a time, and counts them.
type fakeEngines struct {
	answer EngineAnswer
	err    error
	takes  time.Duration
	asked  int
}

func (engines *fakeEngines) Ask(context.Context, string) (EngineAnswer, error) {
	engines.asked++
	time.Sleep(engines.takes)
	return engines.answer, engines.err
}

// TestResumeByEngine guards against a broken stream that does not go on as no loader is heard,
// although its engine lives, and against one that goes on at an engine of which it is not known
// that it runs the listed incarnation.
func TestResumeByEngine(t *testing.T) {
	const listed, later = 1000, 2000
	tests := []struct {
		name    string
		engines fakeEngines
		// silent is how long no loader is heard.
		silent time.Duration
		want   string
	}{
		{name: "listed incarnation", engines: fakeEngines{answer: EngineAnswer{StartedAt: listed}}, silent: 10 * time.Second, want: "i-1"},
		{name: "loader silent for a short time", engines: fakeEngines{answer: EngineAnswer{StartedAt: listed}}, silent: 2 * time.Second, want: "i-1"},
		{name: "answers slowly", engines: fakeEngines{answer: EngineAnswer{StartedAt: listed}, takes: 140 * time.Millisecond}, silent: 10 * time.Second, want: "i-1"},
		{name: "later incarnation", engines: fakeEngines{answer: EngineAnswer{StartedAt: later}}, silent: 10 * time.Second},
		{name: "names none", silent: 10 * time.Second},
		{name: "wants no requests", engines: fakeEngines{answer: EngineAnswer{Backoff: time.Minute}}, silent: 10 * time.Second},
		{name: "not reached", engines: fakeEngines{err: errors.New("not reached")}, silent: 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relay := newListedRelay(fleet.Upstream{ID: "i-1", Service: "advisor", Address: "10.0.0.5:80", StartedAt: listed, SoftwareVersion: "v1", Slots: 8})
				relay.config.Engines = &test.engines
				time.Sleep(time.Minute)
				relay.picker.RecordReport("i-1", picker.Report{Serial: 1, StartedAt: listed, ModelLoaded: true})
				time.Sleep(test.silent)
				proxyRequest := newBrokenStream(relay)
				_, proxyRequest.caller = relay.callers.Begin(t.Context())
				defer proxyRequest.caller.End()
				began := time.Now()
				proxyRequest.prepareResume(t.Context())
				choice, refused := proxyRequest.awaitUpstream(t.Context())
				waited := time.Since(began)
				if diff := cmp.Diff([]any{test.want, test.want == "", true}, []any{choice.Upstream.ID, refused != nil, waited < 700*time.Millisecond}); diff != "" {
					t.Errorf("upstream, refused, decided in time (-want +got):\n%s", diff)
				}
				// Asks that run end.
				time.Sleep(time.Second)
				if test.engines.asked == 0 || test.engines.asked > 1+int(waited/engineAskInterval) {
					t.Errorf("engine asked %d times within %v, want once in %v", test.engines.asked, waited, engineAskInterval)
				}
			})
		})
	}
}

// TestEngineAsked guards against engines that are asked while their loaders answer, and against
// ones that are not asked when these fall silent.
func TestEngineAsked(t *testing.T) {
	tests := []struct {
		name string
		// answersUntil is how long the loader answers asks, which come every 30 ms for 300 ms
		// after a pause.
		answersUntil, pause time.Duration
		want                bool
	}{
		{name: "loader answers", answersUntil: time.Minute},
		{name: "loader silent", want: true},
		{name: "loader falls silent", answersUntil: 150 * time.Millisecond, want: true},
		{name: "loader falls silent at the end", answersUntil: 240 * time.Millisecond},
		{name: "ask lost long ago", answersUntil: time.Minute, pause: time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asks := &incarnationAsks{askedAt: make(map[string]time.Time)}
				if test.pause > 0 {
					asks.due("i-1", time.Now())
					time.Sleep(test.pause)
				}
				began, asked := time.Now(), false
				for time.Since(began) <= 300*time.Millisecond {
					due := asks.due("i-1", time.Now())
					asked = asked || asks.unanswered("i-1", time.Now()) >= loaderPatience
					if due && time.Since(began) < test.answersUntil {
						asks.recordAnswer("i-1")
					}
					time.Sleep(incarnationAskInterval)
				}
				if diff := cmp.Diff(test.want, asked); diff != "" {
					t.Errorf("engine asked (-want +got):\n%s", diff)
				}
			})
		})
	}
}
