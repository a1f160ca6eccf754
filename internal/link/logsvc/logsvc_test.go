package logsvc

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// serve calls run with a client of a handler, in virtual time.
func serve(t *testing.T, handler http.Handler, run func(client *Client)) {
	t.Helper()
	loopback := infra.NewPipeNetwork()
	stop, err := loopback.Serve("log:80", handler)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	run(New(Config{URL: "http://log:80", HTTP: loopback.Client()}))
}

// newPlatform returns a platform with the default configuration.
func newPlatform(t *testing.T) *infra.Platform {
	t.Helper()
	platform, err := infra.New(infra.DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

// faultOutcome holds the fields of a fault that decide whether a caller retries.
type faultOutcome struct {
	Kind       fault.Kind
	Ran        fault.Execution
	RetryAfter bool
}

// outcomeOf returns the outcome that an error describes, zero for nil.
func outcomeOf(t *testing.T, err error) faultOutcome {
	t.Helper()
	if err == nil {
		return faultOutcome{}
	}
	known, ok := fault.As(err)
	if !ok {
		t.Fatalf("%v is not a fault", err)
	}
	return faultOutcome{known.Kind(), known.Ran(), known.RetryAfter() > 0}
}

// TestAppendFaults guards against reporting an append that took effect as not
// run, and against the transport sending an append twice.
func TestAppendFaults(t *testing.T) {
	tests := []struct {
		name    string
		url     string
		fault   *infra.Fault
		size    int
		timeout time.Duration
		want    faultOutcome
		records int
	}{
		{name: "accepted", want: faultOutcome{}, records: 2},
		{name: "nobody listens", url: "http://gone:80", want: faultOutcome{fault.LogUnavailable, fault.NotRun, false}, records: 1},
		{name: "reply lost", fault: &infra.Fault{Mode: infra.ModeLostReplies}, want: faultOutcome{fault.LogUnavailable, fault.RunUnknown, false}, records: 2},
		{name: "cut before the effect", fault: &infra.Fault{Mode: infra.ModeDown}, want: faultOutcome{fault.LogUnavailable, fault.RunUnknown, false}, records: 1},
		{name: "refused", fault: &infra.Fault{Mode: infra.ModeRefusing}, want: faultOutcome{fault.LogUnavailable, fault.NotRun, true}, records: 1},
		{name: "record too large", size: MaxRecordSize + 1, want: faultOutcome{fault.BodyTooLarge, fault.NotRun, false}, records: 1},
		{name: "deadline", fault: &infra.Fault{Mode: infra.ModeSlow, Delay: infra.Duration(time.Minute)}, timeout: time.Second, want: faultOutcome{fault.DeadlineExceeded, fault.RunUnknown, false}, records: 1},
		{name: "deadline before the call", timeout: -1, want: faultOutcome{fault.DeadlineExceeded, fault.NotRun, false}, records: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newPlatform(t)
				serve(t, platform, func(client *Client) {
					// The first append opens the connection that the second one reuses.
					if _, err := client.Append(t.Context(), "config", []byte("first")); err != nil {
						t.Fatal(err)
					}
					if err := platform.Control(infra.Control{Log: test.fault}); err != nil {
						t.Fatal(err)
					}
					ctx := t.Context()
					if test.timeout != 0 {
						var cancel context.CancelFunc
						ctx, cancel = context.WithTimeout(ctx, test.timeout)
						defer cancel()
					}
					if test.url != "" {
						client.url = test.url
					}
					_, err := client.Append(ctx, "config", make([]byte, max(1, test.size)))
					if diff := cmp.Diff(test.want, outcomeOf(t, err)); diff != "" {
						t.Errorf("outcome (-want +got):\n%s\n%v", diff, err)
					}
					if records := len(platform.Records("config")); records != test.records {
						t.Errorf("%d records, want %d", records, test.records)
					}
				})
			})
		})
	}
}

// TestRateLimit guards against an append above the rate limit that is not refused
// as a fault that did not run and has a retry time.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform(t)
		serve(t, platform, func(client *Client) {
			refused := 0
			for range 310 {
				if _, err := client.Append(t.Context(), "config", nil); err != nil {
					refused++
					want := faultOutcome{fault.LogUnavailable, fault.NotRun, true}
					if diff := cmp.Diff(want, outcomeOf(t, err)); diff != "" {
						t.Fatal(diff)
					}
				}
			}
			if refused != 10 {
				t.Errorf("%d of 310 appends at once refused, want 10", refused)
			}
		})
	})
}

// TestLongPoll guards against a read that misses an append or returns before its
// wait is over.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform(t)
		serve(t, platform, func(client *Client) {
			begin := time.Now()
			time.AfterFunc(3*time.Second, func() { platform.Append("config", []byte("late")) })
			got, err := client.Read(t.Context(), "config", 0, 10*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			want := Page{NextOffset: 1, Records: []Record{{Data: []byte("late"), Time: begin.Add(3 * time.Second)}}}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
			empty, err := client.Read(t.Context(), "config", 1, 2*time.Second)
			if err != nil || len(empty.Records) != 0 || time.Since(begin) != 5*time.Second {
				t.Errorf("page %v, error %v after %v; want none after 5s", empty, err, time.Since(begin))
			}
		})
	})
}

// TestRetention guards against hiding from a reader that records have expired.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform(t)
		serve(t, platform, func(client *Client) {
			for range 5 {
				platform.Append("config", []byte("x"))
				time.Sleep(48 * time.Hour)
			}
			page, err := client.Read(t.Context(), "config", 0, 0)
			if err != nil || page.FirstOffset != 2 || page.NextOffset != 5 || len(page.Records) != 3 {
				t.Errorf("page %+v, error %v; want offsets 2 to 4", page, err)
			}
		})
	})
}

// TestReadChecks guards against responses that would corrupt the reader's state
// or exhaust the memory.
func TestReadChecks(t *testing.T) {
	tests := []struct{ name, response, wantErr string }{
		{"gap", `{"first":0,"next":9,"records":[{"offset":2},{"offset":4}]}`, "offset 4 where 3 was due"},
		{"too early", `{"first":0,"next":9,"records":[{"offset":1}]}`, "offset 1 where 2 was due"},
		{"beyond the end", `{"first":0,"next":2,"records":[{"offset":2}]}`, "offset 2"},
		{"not JSON", `<html>`, "not valid"},
		{"too large", strings.Repeat(" ", maxPageSize+1), "more than"},
		{"cut", "", "no answer"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			calls := 0
			handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				calls++
				if test.response == "" && calls > 1 {
					infra.AbortConnection()
				}
				_, _ = fmt.Fprint(writer, test.response)
			})
			synctest.Test(t, func(t *testing.T) {
				serve(t, handler, func(client *Client) {
					_, _ = client.Read(t.Context(), "config", 2, 0)
					_, err := client.Read(t.Context(), "config", 2, 0)
					if err == nil || !strings.Contains(err.Error(), test.wantErr) {
						t.Errorf("error %v, want one with %q", err, test.wantErr)
					}
					if calls != 2 {
						t.Errorf("%d requests for 2 reads", calls)
					}
				})
			})
		})
	}
}
