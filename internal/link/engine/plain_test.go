package engine

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/bench/plain"
)

// TestCall guards against running a request twice, and against reporting a
// request that ran as not run. The requests carry an Idempotency-Key and reuse a
// connection, in which case http.Transport resends requests by default.
func TestCall(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		url     string
		fault   *infra.Fault
		timeout time.Duration
		want    faultOutcome
		status  int
		effects int
	}{
		{name: "success", method: "POST", status: 200, effects: 1},
		{name: "failed before the effect", method: "POST", fault: &infra.Fault{Mode: plain.ModeFailBefore}, status: 503},
		{name: "failed after the effect", method: "POST", fault: &infra.Fault{Mode: plain.ModeFailAfter}, status: 500, effects: 1},
		{name: "cut before the effect", method: "POST", fault: &infra.Fault{Mode: plain.ModeCutBefore}, want: faultOutcome{fault.UpstreamFailed, fault.RunUnknown}},
		{name: "cut after the effect", method: "POST", fault: &infra.Fault{Mode: plain.ModeCutAfter}, want: faultOutcome{fault.UpstreamFailed, fault.RunUnknown}, effects: 1},
		{name: "GET cut after the effect", method: "GET", fault: &infra.Fault{Mode: plain.ModeCutAfter}, want: faultOutcome{fault.UpstreamFailed, fault.RunUnknown}, effects: 1},
		{name: "late", method: "POST", fault: &infra.Fault{Mode: plain.ModeDelay, Delay: infra.Duration(time.Minute)}, timeout: time.Second, want: faultOutcome{fault.DeadlineExceeded, fault.RunUnknown}, effects: 1},
		{name: "nobody listens", method: "POST", url: "http://gone:80", want: faultOutcome{fault.UpstreamFailed, fault.NotRun}},
		{name: "late before the call", method: "POST", timeout: -1, want: faultOutcome{fault.DeadlineExceeded, fault.NotRun}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service, err := plain.New(plain.DefaultConfig())
				if err != nil {
					t.Fatal(err)
				}
				defer service.Close()
				serve(t, service, func(client *Client) {
					headers := http.Header{"Idempotency-Key": {"k"}, "X-Organisation": {"kiln"}}
					if _, err := client.CallPlain(t.Context(), PlainRequest{RequestID: "r0", Method: "POST", Path: "/first", Headers: headers}); err != nil {
						t.Fatal(err)
					}
					if err := service.ApplyControl(plain.ControlRequest{CallFault: test.fault}); err != nil {
						t.Fatal(err)
					}
					ctx, cancel := t.Context(), context.CancelFunc(func() {})
					if test.timeout != 0 {
						ctx, cancel = context.WithTimeout(ctx, test.timeout)
					}
					defer cancel()
					if test.url != "" {
						client.url = test.url
					}
					call := PlainRequest{RequestID: "r1", Method: test.method, Path: "/orders?urgent=1", Headers: headers, Body: []byte("12 planks")}
					response, err := client.CallPlain(ctx, call)
					if diff := cmp.Diff(test.want, outcomeOf(t, err)); diff != "" {
						t.Errorf("outcome (-want +got):\n%s\n%v", diff, err)
					}
					if err == nil && response.Status != test.status {
						t.Errorf("status %d, want %d", response.Status, test.status)
					}
					if test.status == 200 && !strings.Contains(string(response.Body), plain.Result(call.Method, call.Path, call.Body)) {
						t.Errorf("response %s lacks the result of the request", response.Body)
					}
					time.Sleep(2 * time.Minute)
					if effects := service.Observed().Effects["r1"]; effects != test.effects {
						t.Errorf("%d effects, want %d", effects, test.effects)
					}
				})
			})
		})
	}
}

// TestCallLimit guards against a response that exhausts the memory.
func TestCallLimit(t *testing.T) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(make([]byte, 4<<20))
	})
	synctest.Test(t, func(t *testing.T) {
		serve(t, handler, func(client *Client) {
			_, err := client.CallPlain(t.Context(), PlainRequest{RequestID: "r1", Method: "GET", Path: "/large"})
			if diff := cmp.Diff(faultOutcome{fault.UpstreamFailed, fault.DidRun}, outcomeOf(t, err)); diff != "" {
				t.Error(diff)
			}
		})
	})
}
