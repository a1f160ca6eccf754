package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/daemon/relay"
)

// TestExplain guards against a command that asks for or prints something else than what the
// relay says, and against unclear errors. The answer is that of TestServeExplain of the relay.
func TestExplain(t *testing.T) {
	said, err := os.ReadFile("../../internal/daemon/relay/testdata/explain.json")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/explain.txt")
	if err != nil {
		t.Fatal(err)
	}
	command := explainCommand{Host: "api.example.org", Path: "/chat", Organisation: "acme", Model: "m", Adapter: "a1", PromptTokens: 900, OutputTokens: 200, Timeout: 8 * time.Second}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		query, err := relay.ParseQuery(request.URL.Query())
		if query != command.query() || err != nil || request.URL.Path != relay.ExplainPath {
			writer.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(writer).Encode(relay.ExplainError{Error: "no route matches"})
			return
		}
		_, _ = writer.Write(said)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	tests := []struct {
		format, relay, route, text, err string
	}{
		{format: "text", relay: address, text: string(want)},
		{format: "json", relay: address, text: string(said)},
		{format: "text", relay: address, route: "other", err: "the relay cannot explain the request: no route matches"},
		{format: "text", relay: "127.0.0.1:1", err: "cannot ask the relay"},
	}
	for _, test := range tests {
		var text, compact bytes.Buffer
		asked := command
		asked.Relay, asked.Format, asked.Route = test.relay, test.format, test.route
		if err := asked.explain(t.Context(), &text); (err == nil) != (test.err == "") || err != nil && !strings.Contains(err.Error(), test.err) {
			t.Errorf("error %v, want %q", err, test.err)
		}
		if json.Compact(&compact, text.Bytes()) == nil && compact.Len() > 0 {
			text = compact
			text.WriteByte('\n')
		}
		if diff := cmp.Diff(test.text, text.String()); diff != "" {
			t.Errorf("format %s (-want +got):\n%s", test.format, diff)
		}
	}
}
