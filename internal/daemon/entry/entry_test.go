package entry

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestAnswers guards against responses that do not have the form of the public
// API or lack a part.
func TestAnswers(t *testing.T) {
	text := `{"model":"oak@1","prompt":"hi"`
	tests := []struct {
		name, method, path, key, body string
		status                        int
		want                          []string
		version                       string
	}{
		{"chat", "POST", "/v1/chat/completions", ashKey, `{"model":"oak","messages":[{"role":"user","content":"hi"}]}`, 200,
			[]string{`"object":"chat.completion"`, `"message":{"role":"assistant","content":"abc"},"finish_reason":"stop"`, `"completion_tokens":3`}, "2"},
		{"text", "POST", "/v1/completions", ashKey, text + `}`, 200, []string{`"object":"text_completion"`, `"text":"abc"`}, "1"},
		{"streamed", "POST", "/v1/completions", ashKey, text + `,"stream":true}`, 200,
			[]string{`"text":"a"`, `"text":"b"`, `"text":"c"`, `"finish_reason":"stop"`, "data: [DONE]\n\n"}, "1"},
		{"named route", "POST", "/routes/once/v1/completions", ashKey, text + `}`, 200, []string{`"text":"abc"`}, "1"},
		{"plain service", "POST", "/services/counter/orders/7?x=1", ashKey, `order`, 200, []string{"abc"}, ""},
		{"open route without key", "GET", "/services/counter/stock", "", "", 200, []string{"abc"}, ""},
		{"models of another organisation", "GET", "/v1/models", birchKey, "", 200, []string{`"data":[{"id":"pine"`, `"id":"pine@1"`}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, nil, func(harness *harness) {
				got := harness.send(harness.request(harness.t.Context(), test.method, test.path, test.key, test.body))
				if got.err != nil || got.status != test.status || got.header.Get(headerRequestID) == "" {
					t.Fatalf("response %+v", got)
				}
				if diff := cmp.Diff(test.version, got.header.Get(headerVersion)); diff != "" {
					t.Errorf("version (-want +got):\n%s", diff)
				}
				rest := got.body
				for _, part := range test.want {
					_, after, found := strings.Cut(rest, part)
					if !found {
						t.Errorf("response lacks %q at its place: %s", part, got.body)
					}
					rest = after
				}
				if got.header.Get("Set-Cookie") != "" || strings.Contains(got.body, "oak@") && test.key == birchKey {
					t.Errorf("response shows a forbidden header or adapter: %+v", got)
				}
			})
		})
	}
}

// TestRunRequest guards against a request to the side process whose path,
// adapter, class or cost differs from the caller's.
func TestRunRequest(t *testing.T) {
	type sent struct {
		Method, Path, Body, Adapter string
		Version                     uint32
		Class                       wirepb.Class
		Prompt, Most                int64
		Idempotent                  bool
	}
	tests := []struct {
		path, body string
		want       sent
	}{
		{"/v1/completions", `{"model":"oak@1","prompt":"12345","temperature":0.5}`,
			sent{"POST", "/v1/completions", `{"max_tokens":100,"model":"oak@1","prompt":"12345","stream":true,"temperature":0.5}`, "oak", 1, wirepb.Class_CLASS_INTERACTIVE, 2, 100, true}},
		{"/routes/once/v1/chat/completions", `{"model":"oak","max_completion_tokens":7,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`,
			sent{"POST", "/v1/chat/completions", `{"max_tokens":7,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"model":"oak@2","stream":true}`, "oak", 2, wirepb.Class_CLASS_PATIENT, 3, 7, false}},
		{"/services/counter/orders/7?x=1&y=%20", "order", sent{Method: "POST", Path: "/orders/7?x=1&y=%20", Body: "order", Most: 5}},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			runTest(t, nil, func(harness *harness) {
				if got := harness.post(test.path, ashKey, test.body); got.status != 200 {
					t.Fatalf("response %+v", got)
				}
				runs, _ := harness.received()
				got := sent{
					runs[0].GetMethod(), runs[0].GetPath(), string(runs[0].GetBody()), runs[0].GetAdapter(), runs[0].GetAdapterVersion(),
					runs[0].GetClass(), runs[0].GetPromptTokens(), runs[0].GetMaxTokens(), runs[0].GetIdempotent(),
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("sent (-want +got):\n%s", diff)
				}
			})
		})
	}
}
