package entry

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAnswers guards against answers whose form is not the public API's or
// which miss a part.
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
			run(t, nil, func(world *world) {
				got := world.send(world.request(world.t.Context(), test.method, test.path, test.key, test.body))
				if got.err != nil || got.status != test.status || got.header.Get(headerRequestID) == "" {
					t.Fatalf("answer %+v", got)
				}
				if diff := cmp.Diff(test.version, got.header.Get(headerVersion)); diff != "" {
					t.Errorf("version (-want +got):\n%s", diff)
				}
				rest := got.body
				for _, part := range test.want {
					_, after, found := strings.Cut(rest, part)
					if !found {
						t.Errorf("answer lacks %q at its place: %s", part, got.body)
					}
					rest = after
				}
				if got.header.Get("Set-Cookie") != "" || strings.Contains(got.body, "oak@") && test.key == birchKey {
					t.Errorf("answer shows what it must not: %+v", got)
				}
			})
		})
	}
}
