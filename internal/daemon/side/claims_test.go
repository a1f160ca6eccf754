package side

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// keyed makes a request a plain one with an idempotency key and the digest of
// its body.
func keyed(body string) func(*wirepb.RunRequest) {
	return func(request *wirepb.RunRequest) {
		plainCall(request)
		request.IdempotencyKeyHash, request.RequestDigest = []byte("key-hash"), []byte(body)
	}
}

var booked = result{Text: "booked", Done: true, Ran: wirepb.Ran_RAN_RAN}

func refused(kind string) result { return result{Refused: kind, Ran: wirepb.Ran_RAN_NOT_RUN} }

// claimElsewhere appends a claim of another side process, with its outcome if
// there is one.
func (harness *harness) claimElsewhere(outcome *dedup.Outcome) {
	hash, claim := []byte("key-hash"), dedup.Claim{RequestID: "r0", Claimant: "other/1/1", RequestDigest: []byte("x")}
	claimRecord, _ := dedup.ClaimRecord("oak", hash, claim)
	stream := dedup.StreamName(dedup.PartitionOf(hash, defaultClaimPartitions))
	_, _ = harness.log.Append(harness.ctx, stream, claimRecord)
	if outcome != nil {
		record, _ := dedup.OutcomeRecord("oak", hash, "r0", *outcome)
		_, _ = harness.log.Append(harness.ctx, stream, record)
	}
}

// restartServer drops all claims held in memory, like a side process that
// restarts after all outcomes have reached the log.
func (harness *harness) restartServer() {
	time.Sleep(2 * pollInterval)
	config := harness.config
	config.Incarnation++
	harness.claims = newClaimer(config)
}

// Guards against a second run under one idempotency key, whatever happened to
// the first one. Each step sends a request and compares its result and the
// number of calls so far.
func TestClaims(t *testing.T) {
	type step struct {
		prepare func(harness *harness)
		body    string
		want    result
		calls   int
	}
	setLogUnavailable := func(out bool) func(*harness) {
		return func(harness *harness) { harness.log.unavailable.Store(out) }
	}
	unknown := result{Failed: "outcome-unknown", Ran: wirepb.Ran_RAN_UNKNOWN}
	tests := []struct {
		name  string
		steps []step
	}{
		{"replay", []step{{nil, "x", booked, 1}, {nil, "x", booked, 1}}},
		{"replay while the log is unavailable", []step{{nil, "x", booked, 1}, {setLogUnavailable(true), "x", booked, 1}}},
		{"key reused", []step{{nil, "x", booked, 1}, {nil, "y", refused("idempotency-key-reused"), 1}}},
		{"log unavailable", []step{{setLogUnavailable(true), "x", refused("log-unavailable"), 0}, {setLogUnavailable(false), "x", booked, 1}}},
		{"append reply lost", []step{{func(harness *harness) { harness.log.lostReplies = 1 }, "x", booked, 1}, {nil, "x", booked, 1}}},
		{"append reply lost and log unavailable", []step{
			{func(harness *harness) { harness.log.lostReplies, harness.log.unavailableAfterLoss = 1, true }, "x", refused("log-unavailable"), 0},
			{setLogUnavailable(false), "x", booked, 1},
		}},
		{"claimed elsewhere", []step{{func(harness *harness) { harness.claimElsewhere(nil) }, "x", unknown, 0}}},
		{"claimed elsewhere for another request", []step{{func(harness *harness) { harness.claimElsewhere(nil) }, "y", refused("idempotency-key-reused"), 0}}},
		{"run elsewhere", []step{{func(harness *harness) { harness.claimElsewhere(&dedup.Outcome{Status: 201, Body: []byte("booked")}) }, "x", booked, 0}}},
		{"run failed", []step{
			{func(harness *harness) {
				harness.fakeEngine.call = func(context.Context, PlainRequest) (*PlainResponse, error) { return nil, errCut }
			}, "x",
				result{Failed: "upstream-failed", Ran: wirepb.Ran_RAN_UNKNOWN}, 1},
			{nil, "x", unknown, 1},
		}},
		{"outcome during a log outage, then a restart", []step{
			{func(harness *harness) {
				harness.fakeEngine.call = func(context.Context, PlainRequest) (*PlainResponse, error) {
					setLogUnavailable(true)(harness)
					return &PlainResponse{Status: 201, Body: io.NopCloser(strings.NewReader("booked"))}, nil
				}
			}, "x", booked, 1},
			{func(harness *harness) { setLogUnavailable(false)(harness); harness.restartServer() }, "x", booked, 1},
		}},
		{"refused before the dispatch", []step{
			{func(harness *harness) { harness.limiter.set("oak", 0) }, "x", refused("wait-exceeded"), 0},
			{func(harness *harness) { harness.limiter.set("oak", 100) }, "x", booked, 1},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, servePlain, func(harness *harness) {
				for index, step := range test.steps {
					if step.prepare != nil {
						step.prepare(harness)
					}
					got := harness.do(harness.ctx, harness.request(keyed(step.body)))
					if diff := cmp.Diff(step.want, got, ignoreDetail); diff != "" {
						t.Errorf("step %d (-want +got):\n%s", index, diff)
					}
					if calls := harness.fakeEngine.callsWith("call"); len(calls) != step.calls {
						t.Errorf("step %d: calls %v", index, calls)
					}
				}
			})
		})
	}
}

// Guards against concurrent copies of a request that run a second time or get
// no response, also when the first caller disconnects.
func TestClaimCopies(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("first caller disconnected %v", gone), func(t *testing.T) {
			withHarness(t, servePlain, func(harness *harness) {
				harness.fakeEngine.call = func(ctx context.Context, _ PlainRequest) (*PlainResponse, error) {
					select {
					case <-time.After(time.Second):
					case <-ctx.Done():
						return nil, ctx.Err()
					}
					return &PlainResponse{Status: 201, Body: io.NopCloser(strings.NewReader("booked"))}, nil
				}
				ctx, cancel := context.WithCancel(harness.ctx)
				defer cancel()
				harness.start(ctx, harness.request(keyed("x")))
				time.Sleep(100 * time.Millisecond)
				request := harness.request(keyed("x"))
				request.RequestId, request.Attempt = "r1", 2
				copies := []<-chan result{harness.start(harness.ctx, harness.request(keyed("x"))), harness.start(harness.ctx, request)}
				if gone {
					cancel()
				}
				for _, results := range copies {
					got := <-results
					if diff := cmp.Diff(booked, got, ignoreDetail); diff != "" || !got.events[len(got.events)-1].GetDone().GetReplayed() {
						t.Errorf("copy (-want +got):\n%s", diff)
					}
				}
				if calls := harness.fakeEngine.callsWith("call"); len(calls) != 1 {
					t.Errorf("calls %v", calls)
				}
			})
		})
	}
}

// Guards against a stored response that is truncated without notice: one that
// is too large for memory, or for the log after a restart, is replayed as
// status and digest.
func TestClaimSizes(t *testing.T) {
	tests := []struct {
		size            int
		replayed, after int
	}{
		{dedup.MaxLogBody, dedup.MaxLogBody, dedup.MaxLogBody},
		{dedup.MaxMemoryBody, dedup.MaxMemoryBody, 0},
		{dedup.MaxMemoryBody + 1, 0, 0},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.size), func(t *testing.T) {
			withHarness(t, servePlain, func(harness *harness) {
				harness.fakeEngine.call = func(context.Context, PlainRequest) (*PlainResponse, error) {
					return &PlainResponse{Status: 200, Body: io.NopCloser(bytes.NewReader(make([]byte, test.size)))}, nil
				}
				first := harness.do(harness.ctx, harness.request(keyed("x")))
				again := harness.do(harness.ctx, harness.request(keyed("x")))
				harness.restartServer()
				after := harness.do(harness.ctx, harness.request(keyed("x")))
				want := []int{test.size, test.replayed, test.after}
				if diff := cmp.Diff(want, []int{len(first.Text), len(again.Text), len(after.Text)}); diff != "" {
					t.Errorf("sizes (-want +got):\n%s", diff)
				}
				headers := after.events[0].GetStarted().GetHeaders()
				if (test.after == 0) != (len(headers) == 1 && headers[0].GetName() == "X-Answer-Digest") {
					t.Errorf("headers %v", headers)
				}
			})
		})
	}
}
