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

// play calls the methods that a script names and returns their answers.
func play(records *Attempts, script string) string {
	attempt := Attempt{"r", 1}
	var answers []string
	for _, step := range strings.Fields(script) {
		var answer any
		switch step {
		case "begin":
			answer = records.Register(attempt, "oak", AtMostOnce)
		case "dispatch":
			answer = records.Dispatch(start, attempt, AtMostOnce)
		case "cancel":
			answer = records.Cancel(start, attempt, 7)
		case "cancel-other":
			answer = records.Cancel(start, attempt, 6)
		case "end":
			records.End(start, attempt, fault.DidRun, 200)
			continue
		case "refuse":
			records.End(start, attempt, fault.NotRun, 503)
			continue
		}
		answers = append(answers, fmt.Sprint(answer))
	}
	return strings.Join(answers, " ")
}

// Guards against an attempt that runs after Cancel was answered with not-run,
// and against such an answer for an attempt that ran or may have.
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
		if got := play(NewAttempts(AttemptsConfig{Incarnation: 7}), test.script); got != test.want {
			t.Errorf("%s: %s, want %s", test.script, got, test.want)
		}
	}
}

// Guards against a second run in another attempt of work that must run once.
func TestSecondAttempt(t *testing.T) {
	tests := []struct {
		repeat   RunLimit
		ran      fault.Ran
		verdict  Verdict
		dispatch bool
	}{
		{AtMostOnce, fault.DidRun, AlreadyRan, false},
		{AtMostOnce, fault.Unknown, AlreadyRan, false},
		{AtMostOnce, fault.NotRun, Accepted, true},
		{OncePerClaim, fault.DidRun, Accepted, false},
		{OncePerClaim, fault.NotRun, Accepted, true},
		{Unlimited, fault.DidRun, Accepted, true},
	}
	for _, test := range tests {
		records := NewAttempts(AttemptsConfig{})
		records.Register(Attempt{"r", 1}, "oak", test.repeat)
		records.Dispatch(start, Attempt{"r", 1}, test.repeat)
		records.End(start, Attempt{"r", 1}, test.ran, 200)
		verdict := records.Register(Attempt{"r", 2}, "oak", test.repeat)
		dispatch := records.Dispatch(start, Attempt{"r", 2}, test.repeat)
		if verdict != test.verdict || dispatch != test.dispatch {
			t.Errorf("%+v: verdict %v, dispatch %v", test, verdict, dispatch)
		}
	}
}

// Guards against tombstones that are dropped while a late attempt may arrive,
// and against records without bound.
func TestRecordBounds(t *testing.T) {
	records := NewAttempts(AttemptsConfig{Incarnation: 7, Limit: 10, Hold: time.Minute})
	for index := range 11 {
		want := fault.NotRun
		if index == 10 {
			want = fault.Unknown
		}
		if got := records.Cancel(start, Attempt{fmt.Sprint(index), 1}, 7); got != want {
			t.Errorf("cancel %d: %v, want %v", index, got, want)
		}
	}
	if !records.Full(start.Add(time.Minute-1)) || records.Full(start.Add(time.Minute)) {
		t.Error("the hold time is not kept")
	}
	for index := range 100 {
		attempt := Attempt{fmt.Sprint("free-", index), 1}
		records.Register(attempt, "oak", Unlimited)
		records.Dispatch(start, attempt, Unlimited)
		records.End(start, attempt, fault.DidRun, 200)
	}
	if len(records.attempts) > 20 || len(records.numbers) > 20 {
		t.Errorf("%d attempts of %d requests are held", len(records.attempts), len(records.numbers))
	}
}

// Guards against an outcome that is told of the wrong attempt: the one that
// ran counts, not a later one that was refused.
func TestLookup(t *testing.T) {
	records := NewAttempts(AttemptsConfig{})
	for number := range uint32(3) {
		records.Register(Attempt{"r", number}, "oak", OncePerClaim)
	}
	records.Dispatch(start, Attempt{"r", 1}, OncePerClaim)
	records.End(start, Attempt{"r", 1}, fault.DidRun, 201)
	records.End(start, Attempt{"r", 2}, fault.NotRun, 503)
	record, ok := records.Lookup("r")
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

// Guards against two claimants that both believe to hold a key, and against a
// claim that is released by another claimant, lost or held for ever.
func TestClaimFold(t *testing.T) {
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
				holder := Claim{RequestID: event.requestID, Claimant: event.claimant}
				var data []byte
				switch event.kind {
				case "claim":
					data, _ = ClaimRecord("oak", hash, holder)
				case "release":
					data, _ = ReleaseRecord("oak", hash, holder)
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
				t.Errorf("holder (-want +got):\n%s", diff)
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

// Guards against stored bodies without bound and against recent answers that
// give way to old ones.
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
		holder, _ := claims.FirstClaim("oak", []byte{byte(index)})
		if whole := index >= 10-defaultBodies/MaxMemoryBody; holder.Outcome.Truncated == whole || whole && len(holder.Outcome.Body) != MaxMemoryBody {
			t.Errorf("claim %d: truncated %v, %d bytes", index, holder.Outcome.Truncated, len(holder.Outcome.Body))
		}
	}
	if claims.bodies > defaultBodies {
		t.Errorf("%d bytes are held", claims.bodies)
	}
}
