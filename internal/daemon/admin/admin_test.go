package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/daemon/syncer"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// fakeStore applies patches directly. Before each patch it publishes one of the
// competing patches, as if another operator had been faster.
type fakeStore struct {
	*replay.Replayer
	competingPatches int
	publishError     error
}

func (store *fakeStore) Current() *conf.Config { return store.Config() }

func (store *fakeStore) Publish(_ context.Context, record patch.Patch) (syncer.PublishReport, error) {
	if store.publishError != nil {
		return syncer.PublishReport{}, store.publishError
	}
	if store.competingPatches > 0 {
		store.competingPatches--
		store.ApplyPatch(store.NextOffset(), patch.Patch{ID: record.ID + "-rival", BaseVersion: record.BaseVersion, Ops: []patch.Op{upstream("rival")}})
	}
	result, _ := store.ApplyPatch(store.NextOffset(), record)
	return syncer.PublishReport{Result: result, Advice: result.Kind.String()}, nil
}

func (store *fakeStore) History() []syncer.Change {
	return []syncer.Change{{Version: 1, ID: "first", Operator: "anna", Ops: []string{"put-upstream: upstream up-1"}}}
}
func (store *fakeStore) ConfirmedAge() time.Duration { return 1500 * time.Millisecond }
func (store *fakeStore) Isolated() bool              { return true }

type fakeProcess struct{ ready bool }

func (process *fakeProcess) Ready() bool { return process.ready }
func (process *fakeProcess) Status() (string, any) {
	return "entry", map[string]int{"open-requests": 3}
}

func upstream(id string) patch.Op {
	return patch.PutUpstream{Upstream: conf.UpstreamSpec{ID: id, Service: "advisor", FailureDomain: "one"}}
}

func startAdmin(t *testing.T) (*fakeStore, *fakeProcess, Client) {
	store, process := &fakeStore{Replayer: replay.New()}, &fakeProcess{}
	admin, err := New(Config{Instance: "instance-1", ConfigStore: store, Process: process})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(admin.Handler())
	t.Cleanup(server.Close)
	return store, process, Client{URL: server.URL}
}

// TestPatches guards against results that reach the command line changed, and
// against an HTTP status that hides a rejected patch from scripts.
func TestPatches(t *testing.T) {
	store, _, client := startAdmin(t)
	record := patch.Patch{ID: "first", Operator: "anna", Ops: []patch.Op{upstream("up-1")}}
	tests := []struct {
		name   string
		record patch.Patch
		want   PatchReport
	}{
		{name: "accepted", record: record, want: PatchReport{ID: "first", Result: patch.Accepted, Version: 1, Advice: "accepted"}},
		{name: "again", record: record, want: PatchReport{ID: "first", Result: patch.Duplicate, Version: 1, Advice: "duplicate"}},
		{name: "conflict", record: patch.Patch{ID: "second", Ops: record.Ops}, want: PatchReport{ID: "second", Result: patch.Conflict, Version: 1, Advice: "conflict"}},
		{name: "invalid", record: patch.Patch{ID: "third", BaseVersion: 1}, want: PatchReport{
			ID: "third", Result: patch.Invalid, Version: 1, Field: "ops", Reason: "has 0 operations; write 1 to 10000", Advice: "invalid",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := client.Publish(t.Context(), test.record)
			if diff := cmp.Diff(test.want, got); diff != "" || err != nil {
				t.Errorf("error %v (-want +got):\n%s", err, diff)
			}
		})
	}
	got, err := client.PatchResult(t.Context(), "second")
	if diff := cmp.Diff(PatchReport{ID: "second", Result: patch.Conflict, Version: 1}, got); diff != "" || err != nil {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
	history, err := client.History(t.Context())
	if diff := cmp.Diff(changesToJSON(store.History()), history); diff != "" || err != nil {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
	store.publishError = fault.New(fault.Stale, fault.NotRun, "cut off").WithRetryAfter(time.Second)
	_, err = client.Publish(t.Context(), record)
	if failure, ok := fault.As(err); !ok || failure.Kind() != fault.Stale || failure.Ran() != fault.NotRun || failure.RetryAfter() != time.Second {
		t.Errorf("got error %v, want the store's", err)
	}
}

// TestKeys guards against a key that is shown again, that does not work, or that
// is lost to a race with other operators.
func TestKeys(t *testing.T) {
	store, _, client := startAdmin(t)
	setUp := patch.Patch{ID: "first", Ops: []patch.Op{
		upstream("up-1"), patch.PutOrganisation{Organisation: conf.OrganisationSpec{Name: "looms", Rate: 1, Burst: 1}},
	}}
	if report, err := client.Publish(t.Context(), setUp); err != nil || report.Result != patch.Accepted {
		t.Fatal(report, err)
	}
	store.competingPatches = maxPublishAttempts - 1
	issued, err := client.IssueKey(t.Context(), "looms", "anna")
	if err != nil {
		t.Fatal(err)
	}
	if spec, err := creds.Authenticate(store.Current(), issued.Key); err != nil || spec.ID != issued.ID || spec.Organisation != "looms" {
		t.Errorf("the issued key does not work: %v", err)
	}
	keys, err := client.Keys(t.Context(), "looms")
	if diff := cmp.Diff([]codec.KeyJSON{{ID: issued.ID, Organisation: "looms"}}, keys); diff != "" || err != nil {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
	var text bytes.Buffer
	if err := client.Config(t.Context(), "", &text); err != nil || strings.Contains(text.String(), "salt") {
		t.Errorf("error %v, or the configuration shows the salt: %s", err, &text)
	}
	store.competingPatches = maxPublishAttempts
	if _, err := client.WithdrawKey(t.Context(), issued.ID, "anna"); !isKind(err, fault.Conflict) {
		t.Errorf("got error %v after %d conflicts, want one", err, maxPublishAttempts)
	}
	if report, err := client.WithdrawKey(t.Context(), issued.ID, "anna"); err != nil || report.Result != patch.Accepted {
		t.Errorf("got %+v, error %v", report, err)
	}
	if _, err := creds.Authenticate(store.Current(), issued.Key); err == nil {
		t.Error("the withdrawn key works")
	}
	if _, err := client.IssueKey(t.Context(), "none", "anna"); !isKind(err, fault.Invalid) {
		t.Errorf("got error %v for an unknown organisation, want invalid", err)
	}
}

func isKind(err error, kind fault.Kind) bool {
	failure, ok := fault.As(err)
	return ok && failure.Kind() == kind
}

// TestConfig guards against a configuration that is not valid JSON or not limited
// to the adapters asked for.
func TestConfig(t *testing.T) {
	_, _, client := startAdmin(t)
	ops := []patch.Op{upstream("up-1")}
	for _, name := range []string{"felt-1", "felt-2", "wool"} {
		ops = append(ops, patch.PutAdapter{Adapter: conf.AdapterSpec{Name: name, Service: "advisor", Versions: []uint32{1}, DefaultVersion: 1}})
	}
	if report, err := client.Publish(t.Context(), patch.Patch{ID: "first", Ops: ops}); err != nil || report.Result != patch.Accepted {
		t.Fatal(report, err)
	}
	for prefix, want := range map[string][]string{"": {"felt-1", "felt-2", "wool"}, "felt": {"felt-1", "felt-2"}, "x": nil} {
		var text bytes.Buffer
		if err := client.Config(t.Context(), prefix, &text); err != nil {
			t.Fatal(err)
		}
		var form struct {
			Version  uint64
			Adapters []codec.AdapterJSON
		}
		if err := json.Unmarshal(text.Bytes(), &form); err != nil {
			t.Fatalf("%v: %s", err, &text)
		}
		var got []string
		for _, adapter := range form.Adapters {
			got = append(got, adapter.Name)
		}
		if diff := cmp.Diff(want, got); diff != "" || form.Version != 1 {
			t.Errorf("version %d (-want +got):\n%s", form.Version, diff)
		}
	}
}

// TestPaths guards against probes and errors that the platform or scripts would
// misread.
func TestPaths(t *testing.T) {
	_, process, client := startAdmin(t)
	process.ready = true
	large := strings.Repeat(" ", maxBodyBytes+1)
	tests := []struct {
		method, path, body string
		status             int
		text               string
	}{
		{"GET", "/healthz", "", 200, "ok\n"},
		{"GET", "/readyz", "", 200, "ready\n"},
		{"GET", "/debug/vars", "", 200, `"memstats"`},
		{"GET", "/none", "", 404, `"kind":"unknown-route"`},
		{"POST", "/config/patches", `{"bas":1}`, 400, "unknown field"},
		{"POST", "/config/patches", `{"ops":[{"put-upstream":{"id":"up-1","service":"advisor","failure-domain":"one"}}]}`, 200, `"result":"accepted"`},
		{"POST", "/config/patches", `{"ops":[{"remove-adapter":"none"}]}`, 409, `"result":"conflict"`},
		{"POST", "/config/patches", large, 413, `"kind":"body-too-large"`},
		{"POST", "/config/patches", `{"base":1,"ops":[{"remove-adapter":"none"}]}`, 422, `"result":"invalid"`},
		{"POST", "/keys", `{"organisation":"looms","extra":1}`, 400, "unknown field"},
		{"DELETE", "/keys/none", "", 422, `"kind":"invalid"`},
	}
	for _, test := range tests {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			status, text := sendRequest(t, test.method, client.URL+test.path, test.body)
			if status != test.status || !strings.Contains(text, test.text) {
				t.Errorf("got status %d and %s, want %d and %s", status, text, test.status, test.text)
			}
		})
	}
	process.ready = false
	if status, _ := sendRequest(t, "GET", client.URL+"/readyz", ""); status != 503 {
		t.Errorf("got status %d while not ready, want 503", status)
	}
	want := Status{Instance: "instance-1", Role: "entry", Version: 1, ConfirmedAge: "1.5s", Isolated: true}
	got, err := client.Status(t.Context())
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(Status{}, "Detail")); diff != "" || err != nil || got.Detail == nil {
		t.Errorf("detail %v, error %v (-want +got):\n%s", got.Detail, err, diff)
	}
}

func sendRequest(t *testing.T, method, address, body string) (int, string) {
	request, err := http.NewRequestWithContext(t.Context(), method, address, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil && !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}
