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

// keyed gives a plain call an idempotency key and the digest of its body.
func keyed(body string) func(*wirepb.RunRequest) {
	return func(request *wirepb.RunRequest) {
		plainCall(request)
		request.IdempotencyKeyHash, request.RequestDigest = []byte("key-hash"), []byte(body)
	}
}

var booked = result{Text: "booked", Done: true, Ran: wirepb.Ran_RAN_RAN}

func refused(kind string) result { return result{Refused: kind, Ran: wirepb.Ran_RAN_NOT_RUN} }

// claimElsewhere appends a claim of another side process.
func (rig *rig) claimElsewhere(outcome *dedup.Outcome) {
	hash, holder := []byte("key-hash"), dedup.Claim{RequestID: "r0", Claimant: "other/1/1", RequestDigest: []byte("x")}
	claim, _ := dedup.ClaimRecord("oak", hash, holder)
	stream := dedup.StreamName(dedup.PartitionOf(hash, defaultPartitions))
	_, _ = rig.log.Append(rig.ctx, stream, claim)
	if outcome != nil {
		record, _ := dedup.OutcomeRecord("oak", hash, "r0", *outcome)
		_, _ = rig.log.Append(rig.ctx, stream, record)
	}
}

// restart forgets all claims, like a side process that starts anew once all
// outcomes are on the log.
func (rig *rig) restart() {
	time.Sleep(2 * statePoll)
	config := rig.config
	config.Incarnation++
	rig.claims = newClaimer(config)
}

// Guards against a second run under one idempotency key, whatever happened to
// the first: each step sends a request and compares its answer and the number
// of calls so far.
func TestClaims(t *testing.T) {
	type step struct {
		prepare func(rig *rig)
		body    string
		want    result
		calls   int
	}
	logOut := func(out bool) func(*rig) {
		return func(rig *rig) { rig.log.out.Store(out) }
	}
	unknown := result{Failed: "outcome-unknown", Ran: wirepb.Ran_RAN_UNKNOWN}
	tests := []struct {
		name  string
		steps []step
	}{
		{"replay", []step{{nil, "x", booked, 1}, {nil, "x", booked, 1}}},
		{"replay while the log is out", []step{{nil, "x", booked, 1}, {logOut(true), "x", booked, 1}}},
		{"key reused", []step{{nil, "x", booked, 1}, {nil, "y", refused("idempotency-key-reused"), 1}}},
		{"log out", []step{{logOut(true), "x", refused("log-unavailable"), 0}, {logOut(false), "x", booked, 1}}},
		{"append reply lost", []step{{func(rig *rig) { rig.log.lose = 1 }, "x", booked, 1}, {nil, "x", booked, 1}}},
		{"append reply lost and log out", []step{
			{func(rig *rig) { rig.log.lose, rig.log.outAfter = 1, true }, "x", refused("log-unavailable"), 0},
			{logOut(false), "x", booked, 1},
		}},
		{"claimed elsewhere", []step{{func(rig *rig) { rig.claimElsewhere(nil) }, "x", unknown, 0}}},
		{"claimed elsewhere for another request", []step{{func(rig *rig) { rig.claimElsewhere(nil) }, "y", refused("idempotency-key-reused"), 0}}},
		{"run elsewhere", []step{{func(rig *rig) { rig.claimElsewhere(&dedup.Outcome{Status: 201, Body: []byte("booked")}) }, "x", booked, 0}}},
		{"run failed", []step{
			{func(rig *rig) {
				rig.fake.call = func(context.Context, PlainRequest) (*PlainResponse, error) { return nil, errCut }
			}, "x",
				result{Failed: "upstream-failed", Ran: wirepb.Ran_RAN_UNKNOWN}, 1},
			{nil, "x", unknown, 1},
		}},
		{"outcome during an outage, then a restart", []step{
			{func(rig *rig) {
				rig.fake.call = func(context.Context, PlainRequest) (*PlainResponse, error) {
					logOut(true)(rig)
					return &PlainResponse{Status: 201, Body: io.NopCloser(strings.NewReader("booked"))}, nil
				}
			}, "x", booked, 1},
			{func(rig *rig) { logOut(false)(rig); rig.restart() }, "x", booked, 1},
		}},
		{"refused before the dispatch", []step{
			{func(rig *rig) { rig.limiter.set("oak", 0) }, "x", refused("wait-exceeded"), 0},
			{func(rig *rig) { rig.limiter.set("oak", 100) }, "x", booked, 1},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inRig(t, plainUpstream, func(rig *rig) {
				for index, step := range test.steps {
					if step.prepare != nil {
						step.prepare(rig)
					}
					got := rig.do(rig.ctx, rig.request(keyed(step.body)))
					if diff := cmp.Diff(step.want, got, ignoreDetail); diff != "" {
						t.Errorf("step %d (-want +got):\n%s", index, diff)
					}
					if calls := rig.fake.seen("call"); len(calls) != step.calls {
						t.Errorf("step %d: calls %v", index, calls)
					}
				}
			})
		})
	}
}

// Guards against copies in flight that run a second time or get no answer,
// also when the first caller goes away.
func TestClaimCopies(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("first caller gone %v", gone), func(t *testing.T) {
			inRig(t, plainUpstream, func(rig *rig) {
				rig.fake.call = func(ctx context.Context, _ PlainRequest) (*PlainResponse, error) {
					select {
					case <-time.After(time.Second):
					case <-ctx.Done():
						return nil, ctx.Err()
					}
					return &PlainResponse{Status: 201, Body: io.NopCloser(strings.NewReader("booked"))}, nil
				}
				ctx, cancel := context.WithCancel(rig.ctx)
				defer cancel()
				rig.start(ctx, rig.request(keyed("x")))
				time.Sleep(100 * time.Millisecond)
				request := rig.request(keyed("x"))
				request.RequestId, request.Attempt = "r1", 2
				copies := []<-chan result{rig.start(rig.ctx, rig.request(keyed("x"))), rig.start(rig.ctx, request)}
				if gone {
					cancel()
				}
				for _, results := range copies {
					got := <-results
					if diff := cmp.Diff(booked, got, ignoreDetail); diff != "" || !got.events[len(got.events)-1].GetDone().GetReplayed() {
						t.Errorf("copy (-want +got):\n%s", diff)
					}
				}
				if calls := rig.fake.seen("call"); len(calls) != 1 {
					t.Errorf("calls %v", calls)
				}
			})
		})
	}
}

// Guards against a stored answer that is cut without notice: one that is too
// large for memory, or for the log after a restart, comes as status and digest.
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
			inRig(t, plainUpstream, func(rig *rig) {
				rig.fake.call = func(context.Context, PlainRequest) (*PlainResponse, error) {
					return &PlainResponse{Status: 200, Body: io.NopCloser(bytes.NewReader(make([]byte, test.size)))}, nil
				}
				first := rig.do(rig.ctx, rig.request(keyed("x")))
				again := rig.do(rig.ctx, rig.request(keyed("x")))
				rig.restart()
				after := rig.do(rig.ctx, rig.request(keyed("x")))
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
