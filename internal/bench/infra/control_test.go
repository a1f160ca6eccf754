package infra

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// TestWrongInput guards against invalid input that is accepted without effect, and
// against error messages that do not name the valid input.
func TestWrongInput(t *testing.T) {
	tests := []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/control", `{"log":{"mode":"broken"}}`, 400, "write one of none, down"},
		{"POST", "/control", `{"log":{"mode":"down","for":3}}`, 400, `for example \"1.5s\"`},
		{"POST", "/control", `{"log":{"mode":"down","share":1.5}}`, 400, "between 0 and 1"},
		{"POST", "/control", `{"queue":{"mode":"down"}}`, 400, `unknown field \"queue\"`},
		{"POST", "/control", `{} {}`, 400, "more than one value"},
		{"POST", "/control", `{"store":{"mode":"slow","delay":"2s"}}`, 200, `"2s"`},
		{"POST", "/v1/streams/Config/records", `x`, 400, "a-z, 0-9 and -"},
		{"GET", "/v1/streams/config/records?from=x", ``, 400, `from=\"x\" is not a number`},
		{"GET", "/v1/streams/config/records?from=1", ``, 416, "beyond its end 0"},
		{"GET", "/v1/weights/a/latest", ``, 400, "not a number"},
		{"PUT", "/v1/instances/s1", `{"role":"side","address":"a:1"}`, 400, "needs its upstream"},
		{"PUT", "/v1/instances/s1", `{"role":"proxy","address":"a:1"}`, 400, "write entry or side"},
		{"PUT", "/v1/instances/s1", `{"role":"entry","address":"a:1","state":"gone"}`, 400, "write live or leaving"},
		{"DELETE", "/v1/streams/config/records", ``, 405, ""},
	}
	for _, test := range tests {
		t.Run(test.method+" "+test.path+" "+test.body, func(t *testing.T) {
			platform, err := New(DefaultConfig())
			if err != nil {
				t.Fatal(err)
			}
			recorder := httptest.NewRecorder()
			platform.ServeHTTP(recorder, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
			if recorder.Code != test.status || !strings.Contains(recorder.Body.String(), test.want) {
				t.Errorf("%d %s, want %d with %s", recorder.Code, recorder.Body, test.status, test.want)
			}
		})
	}
}

// TestKeyLeaks guards against a caller's key that reaches an upstream undetected.
func TestKeyLeaks(t *testing.T) {
	const key = "jf_42_0123456789abcdefABCDEF0123456789_-x"
	tests := []struct {
		name, path, header, body string
		want                     int
	}{
		{"none", "/orders", "Bearer x", "jf_42_", 0},
		{"header", "/orders", "Bearer " + key, "", 1},
		{"query", "/orders?key=" + key, "", "", 1},
		{"body", "/orders", "", `{"key":"` + key + `"}`, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := NewRequestLog()
			request := httptest.NewRequest("POST", test.path, nil)
			request.Header.Set("Authorization", test.header)
			log.Add(request, []byte(test.body))
			if summary := log.Summary(); len(summary.KeyLeaks) != test.want {
				t.Errorf("leaks %v, want %d", summary.KeyLeaks, test.want)
			}
		})
	}
}
