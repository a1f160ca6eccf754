package dedup

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

var start = time.Unix(1000, 0)

// runScript calls the method of each step in a script and returns the results.
func runScript(attempts *Attempts, script string) string {
	attempt := Attempt{"r", 1}
	var results []string
	for _, step := range strings.Fields(script) {
		var result any
		switch step {
		case "begin":
			result = attempts.Register(attempt, "oak", AtMostOnce)
		case "dispatch":
			result = attempts.Dispatch(start, attempt, AtMostOnce)
		case "cancel":
			result = attempts.Cancel(start, attempt, 7)
		case "cancel-other":
			result = attempts.Cancel(start, attempt, 6)
		case "end":
			attempts.End(start, attempt, fault.DidRun, 200)
			continue
		case "refuse":
			attempts.End(start, attempt, fault.NotRun, 503)
			continue
		}
		results = append(results, fmt.Sprint(result))
	}
	return strings.Join(results, " ")
}

// Guards against an attempt that runs after Cancel returned NotRun, and against
// NotRun for an attempt that ran or may have run.
func TestCancelAndDispatch(t *testing.T) {
	fresh, tombstoned, duplicate := fmt.Sprint(Accepted), fmt.Sprint(Tombstoned), fmt.Sprint(Duplicate)
	tests := []struct{ script, want string }{
		{"cancel begin", "not-run " + tombstoned},
		{"cancel-other begin", "unknown " + fresh},
		{"begin cancel dispatch cancel begin", fresh + " not-run false not-run " + tombstoned},
		{"begin dispatch cancel dispatch", fresh + " true unknown false"},
		{"begin dispatch end refuse cancel begin", fresh + " true ran " + duplicate},
		{"begin refuse cancel begin", fresh + " not-run " + tombstoned},
	}
	for _, test := range tests {
		if got := runScript(NewAttempts(AttemptsConfig{Incarnation: 7}), test.script); got != test.want {
			t.Errorf("%s: %s, want %s", test.script, got, test.want)
		}
	}
}

// Guards against a second attempt that runs a request which must run once.
func TestSecondAttempt(t *testing.T) {
	tests := []struct {
		limit    RunLimit
		ran      fault.Execution
		verdict  Verdict
		dispatch bool
	}{
		{AtMostOnce, fault.DidRun, AlreadyRan, false},
		{AtMostOnce, fault.RunUnknown, AlreadyRan, false},
		{AtMostOnce, fault.NotRun, Accepted, true},
		{OncePerClaim, fault.DidRun, Accepted, false},
		{OncePerClaim, fault.NotRun, Accepted, true},
		{Unlimited, fault.DidRun, Accepted, true},
	}
	for _, test := range tests {
		attempts := NewAttempts(AttemptsConfig{})
		attempts.Register(Attempt{"r", 1}, "oak", test.limit)
		attempts.Dispatch(start, Attempt{"r", 1}, test.limit)
		attempts.End(start, Attempt{"r", 1}, test.ran, 200)
		verdict := attempts.Register(Attempt{"r", 2}, "oak", test.limit)
		dispatch := attempts.Dispatch(start, Attempt{"r", 2}, test.limit)
		if verdict != test.verdict || dispatch != test.dispatch {
			t.Errorf("%+v: verdict %v, dispatch %v", test, verdict, dispatch)
		}
	}
}

// Guards against tombstones that are removed while the attempt may still arrive,
// and against an unlimited number of records.
func TestRecordBounds(t *testing.T) {
	attempts := NewAttempts(AttemptsConfig{Incarnation: 7, MaxFinished: 10, Retention: time.Minute})
	for index := range 11 {
		want := fault.NotRun
		if index == 10 {
			want = fault.RunUnknown
		}
		if got := attempts.Cancel(start, Attempt{fmt.Sprint(index), 1}, 7); got != want {
			t.Errorf("cancel %d: %v, want %v", index, got, want)
		}
	}
	if !attempts.Full(start.Add(time.Minute-1)) || attempts.Full(start.Add(time.Minute)) {
		t.Error("the retention time is not kept")
	}
	for index := range 100 {
		attempt := Attempt{fmt.Sprint("free-", index), 1}
		attempts.Register(attempt, "oak", Unlimited)
		attempts.Dispatch(start, attempt, Unlimited)
		attempts.End(start, attempt, fault.DidRun, 200)
	}
	if len(attempts.attempts) > 20 || len(attempts.attemptNumbers) > 20 {
		t.Errorf("%d attempts of %d requests are held", len(attempts.attempts), len(attempts.attemptNumbers))
	}
}

// Guards against the outcome of the wrong attempt: Lookup must return the one that
// ran, not a later one that was refused.
func TestLookup(t *testing.T) {
	attempts := NewAttempts(AttemptsConfig{})
	for number := range uint32(3) {
		attempts.Register(Attempt{"r", number}, "oak", OncePerClaim)
	}
	attempts.Dispatch(start, Attempt{"r", 1}, OncePerClaim)
	attempts.End(start, Attempt{"r", 1}, fault.DidRun, 201)
	attempts.End(start, Attempt{"r", 2}, fault.NotRun, 503)
	record, ok := attempts.Lookup("r")
	if !ok || record.Ran != fault.DidRun || record.Status != 201 {
		t.Errorf("record %+v", record)
	}
}

// event is one record of a claim stream: a claim, a release or an outcome.
type event struct {
	kind      string
	requestID string
	claimant  string
	age       time.Duration
}

// Guards against two claimants that both take a key for theirs, and against a
// claim that another claimant releases, that is lost, or that never expires.
func TestApplyClaims(t *testing.T) {
	hash := []byte("hash")
	tests := []struct {
		name   string
		events []event
		want   Claim
	}{
		{"first wins", []event{{"claim", "r1", "a", 0}, {"claim", "r2", "b", 0}}, Claim{RequestID: "r1", Claimant: "a"}},
		{"outcome", []event{{"claim", "r1", "a", 0}, {"outcome", "r1", "a", 0}}, Claim{RequestID: "r1", Claimant: "a", Outcome: &Outcome{Status: 200, Body: []byte("r1")}}},
		{"outcome of another request", []event{{"claim", "r1", "a", 0}, {"outcome", "r2", "b", 0}}, Claim{RequestID: "r1", Claimant: "a"}},
		{"released", []event{{"claim", "r1", "a", 0}, {"release", "r1", "a", 0}, {"claim", "r2", "b", 0}}, Claim{RequestID: "r2", Claimant: "b"}},
		{"released by another claimant of the same request", []event{{"claim", "r1", "a", 0}, {"claim", "r1", "b", 0}, {"release", "r1", "b", 0}}, Claim{RequestID: "r1", Claimant: "a"}},
		{"released after its outcome", []event{{"claim", "r1", "a", 0}, {"outcome", "r1", "a", 0}, {"release", "r1", "a", 0}}, Claim{RequestID: "r1", Claimant: "a", Outcome: &Outcome{Status: 200, Body: []byte("r1")}}},
		{"within the window", []event{{"claim", "r1", "a", 0}, {"claim", "r2", "b", time.Hour - 1}}, Claim{RequestID: "r1", Claimant: "a"}},
		{"after the window", []event{{"claim", "r1", "a", 0}, {"claim", "r2", "b", time.Hour}}, Claim{RequestID: "r2", Claimant: "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			claims := NewClaims(time.Hour)
			for offset, event := range test.events {
				claim := Claim{RequestID: event.requestID, Claimant: event.claimant}
				var data []byte
				switch event.kind {
				case "claim":
					data, _ = ClaimRecord("oak", hash, claim)
				case "release":
					data, _ = ReleaseRecord("oak", hash, claim)
				case "outcome":
					data, _ = OutcomeRecord("oak", hash, event.requestID, Outcome{Status: 200, Body: []byte(event.requestID)})
				}
				claims.Apply(uint64(offset), start.Add(event.age), data)
				claims.Apply(uint64(offset), start.Add(event.age), data)
			}
			claims.Apply(claims.NextOffset(), start, []byte{0xff})
			claims.Apply(0, start, []byte{0xff})
			got, _ := claims.FirstClaim("oak", hash)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("claim (-want +got):\n%s", diff)
			}
			if _, ok := claims.FirstClaim("ash", hash); ok {
				t.Error("another organisation holds the key")
			}
			if next := uint64(len(test.events) + 1); claims.NextOffset() != next {
				t.Errorf("next offset %d, want %d", claims.NextOffset(), next)
			}
		})
	}
}

// Guards against an unlimited size of stored bodies, and against recent bodies that
// are replaced by digests before older ones.
func TestClaimBodies(t *testing.T) {
	claims := NewClaims(0)
	outcome := Outcome{Status: 200, Body: bytes.Repeat([]byte("x"), MaxMemoryBody)}
	for index := range 10 {
		hash, id := []byte{byte(index)}, fmt.Sprint(index)
		claim, _ := ClaimRecord("oak", hash, Claim{RequestID: id})
		claims.Apply(claims.NextOffset(), start, claim)
		claims.StoreOutcome("oak", hash, id, outcome)
		record, _ := OutcomeRecord("oak", hash, id, outcome)
		if len(record) > MaxLogBody {
			t.Errorf("record of %d bytes", len(record))
		}
		claims.Apply(claims.NextOffset(), start, record)
	}
	for index := range 10 {
		claim, _ := claims.FirstClaim("oak", []byte{byte(index)})
		if whole := index >= 10-maxBodyBytes/MaxMemoryBody; claim.Outcome.Truncated == whole || whole && len(claim.Outcome.Body) != MaxMemoryBody {
			t.Errorf("claim %d: truncated %v, %d bytes", index, claim.Outcome.Truncated, len(claim.Outcome.Body))
		}
	}
	if claims.bodyBytes > maxBodyBytes {
		t.Errorf("%d bytes are held", claims.bodyBytes)
	}
}
