package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/encoding/protojson"
)

const goodBody = `{"model":"oak","prompt":"hi"}`

// TestRefusals guards against bad input that reaches an upstream, and against
// refusals that reveal other organisations or repeat a key.
func TestRefusals(t *testing.T) {
	completions := "/v1/completions"
	tests := []struct {
		name, method, path, key, body string
		headers                       []string
		status                        int
		kind                          string
	}{
		{"no key", "POST", completions, "", goodBody, nil, 401, "unauthenticated"},
		{"malformed key", "POST", completions, "jf_ash1_short", goodBody, nil, 401, "unauthenticated"},
		{"unknown key", "POST", completions, strings.Replace(ashKey, "ash1", "ash9", 1), goodBody, nil, 401, "unauthenticated"},
		{"two keys", "POST", completions, ashKey, goodBody, []string{"Authorization", "Bearer " + birchKey}, 401, "unauthenticated"},
		{"malformed key on an open route", "GET", "/services/counter/stock", "nothing", "", nil, 401, "unauthenticated"},
		{"key in query", "POST", completions + "?key=" + ashKey, ashKey, goodBody, nil, 400, "key-in-request"},
		{"escaped key in query", "POST", completions + "?key=" + strings.Replace(ashKey, "_", "%255F", 2), ashKey, goodBody, nil, 400, "key-in-request"},
		{"escaped key beside a wrong escape", "GET", "/services/counter/stock?a=%zz&b=%6A" + ashKey[1:], "", "", nil, 400, "key-in-request"},
		{"key in path", "GET", "/services/counter/stock/" + ashKey, "", "", nil, 400, "key-in-request"},
		{"key in body", "POST", completions, ashKey, `{"model":"oak","prompt":"` + birchKey + `"}`, nil, 400, "key-in-request"},
		{"escaped key in body", "POST", completions, ashKey, `{"model":"oak","prompt":"\u006a` + ashKey[1:] + `"}`, nil, 400, "key-in-request"},
		{"form-escaped key in body", "POST", "/services/counter/orders", ashKey, "a=%6A" + ashKey[1:], nil, 400, "key-in-request"},
		{"key in another header", "POST", completions, ashKey, goodBody, []string{"X-Api-Key", ashKey}, 400, "key-in-request"},
		{"key in a forwarded header", "POST", completions, ashKey, goodBody, []string{"Tracestate", "a=" + birchKey}, 400, "key-in-request"},
		{"no object", "POST", completions, ashKey, `[1]`, nil, 400, "bad-request"},
		{"cut JSON", "POST", completions, ashKey, goodBody[:9], nil, 400, "bad-request"},
		{"null", "POST", completions, ashKey, `null`, nil, 400, "bad-request"},
		{"model of wrong type", "POST", completions, ashKey, `{"model":1,"prompt":"hi"}`, nil, 400, "bad-request"},
		{"model in another case", "POST", completions, ashKey, `{"model":"oak","Model":"pine","prompt":"hi"}`, nil, 400, "bad-request"},
		{"no model", "POST", completions, ashKey, `{"prompt":"hi"}`, nil, 400, "bad-request"},
		{"prompt of wrong type", "POST", completions, ashKey, `{"model":"oak","prompt":["hi"]}`, nil, 400, "bad-request"},
		{"stream of wrong type", "POST", completions, ashKey, `{"model":"oak","prompt":"hi","stream":"yes"}`, nil, 400, "bad-request"},
		{"max_tokens of wrong type", "POST", completions, ashKey, `{"model":"oak","prompt":"hi","max_tokens":1.5}`, nil, 400, "bad-request"},
		{"max_tokens too low", "POST", completions, ashKey, `{"model":"oak","prompt":"hi","max_tokens":0}`, nil, 400, "bad-request"},
		{"max_tokens too high", "POST", completions, ashKey, `{"model":"oak","prompt":"hi","max_tokens":99999999999}`, nil, 400, "bad-request"},
		{"several answers", "POST", completions, ashKey, `{"model":"oak","prompt":"hi","n":2}`, nil, 400, "bad-request"},
		{"no messages", "POST", "/v1/chat/completions", ashKey, `{"model":"oak","messages":[]}`, nil, 400, "bad-request"},
		{"message without role", "POST", "/v1/chat/completions", ashKey, `{"model":"oak","messages":[{"content":"hi"}]}`, nil, 400, "bad-request"},
		{"content of wrong type", "POST", "/v1/chat/completions", ashKey, `{"model":"oak","messages":[{"role":"user","content":7}]}`, nil, 400, "bad-request"},
		{"unknown adapter", "POST", completions, ashKey, `{"model":"elm","prompt":"hi"}`, nil, 404, "unknown-adapter"},
		{"unknown version", "POST", completions, ashKey, `{"model":"oak@9","prompt":"hi"}`, nil, 404, "unknown-adapter"},
		{"odd version", "POST", completions, ashKey, `{"model":"oak@01","prompt":"hi"}`, nil, 404, "unknown-adapter"},
		{"another organisation's adapter", "POST", completions, birchKey, goodBody, nil, 404, "unknown-adapter"},
		{"unknown route", "POST", "/routes/none/v1/completions", ashKey, goodBody, nil, 404, "unknown-route"},
		{"plain route for a model", "POST", "/routes/orders/v1/completions", ashKey, goodBody, nil, 404, "unknown-route"},
		{"unknown service", "GET", "/services/none/x", ashKey, "", nil, 404, "unknown-route"},
		{"method without route", "DELETE", "/services/counter/orders", ashKey, "", nil, 404, "unknown-route"},
		{"dot segment", "POST", "/services/counter/orders/../stock", ashKey, "", nil, 400, "bad-request"},
		{"escaped service", "POST", "/services/co%75nter/orders", ashKey, "", nil, 400, "bad-request"},
		{"escaped separator", "POST", "/services/counter/orders%2F7", ashKey, "", nil, 400, "bad-request"},
		{"root", "GET", "/", ashKey, "", nil, 404, "unknown-route"},
		{"unknown path", "GET", "/nothing", ashKey, "", nil, 404, "unknown-route"},
		{"unknown path of a route", "POST", "/routes/once/nothing", ashKey, "", nil, 404, "unknown-route"},
		{"no service", "GET", "/services", ashKey, "", nil, 404, "unknown-route"},
		{"wrong method", "GET", completions, ashKey, "", nil, 405, "method-not-allowed"},
		{"long body", "POST", completions, ashKey, strings.Repeat("x", 1<<20+1), nil, 413, "body-too-large"},
		{"long headers", "POST", completions, ashKey, goodBody, []string{"X-Long", strings.Repeat("x", 16<<10)}, 431, "headers-too-large"},
		{"empty Idempotency-Key", "POST", completions, ashKey, goodBody, []string{"Idempotency-Key", ""}, 400, "bad-request"},
		{"Idempotency-Key without key", "GET", "/services/counter/stock", "", "", []string{"Idempotency-Key", "k"}, 400, "bad-request"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, nil, func(harness *harness) {
				got := harness.send(harness.request(harness.t.Context(), test.method, test.path, test.key, test.body, test.headers...))
				if got.err != nil || got.status != test.status || !strings.HasPrefix(got.body, `{"error":{"kind":"`+test.kind+`"`) || !strings.Contains(got.body, `"ran":"not-run"`) {
					t.Errorf("want %d %s, got %+v", test.status, test.kind, got)
				}
				id := got.header.Get(headerRequestID)
				if id == "" || !strings.Contains(got.body, `"request-id":"`+id+`"`) {
					t.Errorf("request id %q is not in %s", id, got.body)
				}
				if strings.Contains(got.body, "0123456789") {
					t.Errorf("response repeats a key: %s", got.body)
				}
				if runs, _ := harness.received(); len(runs) > 0 {
					t.Errorf("a side process received %v", runs)
				}
			})
		})
	}
}

// TestSameAnswer guards against responses that reveal whether another
// organisation's adapter exists.
func TestSameAnswer(t *testing.T) {
	runTest(t, func(harness *harness) { harness.config.NewRequestID = func() string { return "id" } }, func(harness *harness) {
		unknown := harness.post("/v1/completions", birchKey, `{"model":"elm","prompt":"hi"}`)
		foreign := harness.post("/v1/completions", birchKey, goodBody)
		if diff := cmp.Diff(unknown.body, foreign.body); diff != "" {
			t.Errorf("responses (-unknown +foreign):\n%s", diff)
		}
	})
}

// TestKeyLeak guards against keys in requests to side processes and in logs.
func TestKeyLeak(t *testing.T) {
	runTest(t, nil, func(harness *harness) {
		extra := []string{"Cookie", "a=b", "Proxy-Authorization", "Basic eDp5", "X-Other", "1", "Idempotency-Key", "order 7", "Traceparent", "00-1"}
		for _, path := range []string{"/v1/completions", "/routes/once/v1/completions", "/services/counter/orders?x=1", "/services/counter/stock"} {
			if got := harness.post(path, ashKey, goodBody, extra...); got.status != http.StatusOK {
				t.Errorf("%s: %+v", path, got)
			}
		}
		runs, _ := harness.received()
		for _, request := range runs {
			text := protojson.Format(request) + string(request.GetBody())
			for _, secret := range []string{ashKey, "0123456789", "Bearer", "Cookie", "eDp5", "X-Other", "order 7"} {
				if strings.Contains(text, secret) {
					t.Errorf("side process received %q: %s", secret, text)
				}
			}
			if request.GetKeyId() != "ash1" || request.GetOrganisation() != "ash" || len(request.GetHeaders()) != 1 {
				t.Errorf("request %s", text)
			}
		}
		for _, entry := range harness.logs.All() {
			if text := fmt.Sprint(entry.Message, entry.ContextMap()); strings.Contains(text, "0123456789") || strings.Contains(text, `"hi"`) {
				t.Errorf("log shows a key or prompt: %s", text)
			}
		}
	})
}

// TestSlowCallers guards against callers that hold connections by sending slowly.
func TestSlowCallers(t *testing.T) {
	tests := []struct {
		name, head string
		within     time.Duration
		want       string
	}{
		{"refused body", "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 9\r\n\r\n{", 11 * time.Second, `"kind":"unauthenticated"`},
		{"headers", "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nX-Slow: ", 6 * time.Second, ""},
		{"body", "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + ashKey + "\r\nContent-Length: 9\r\n\r\n{", 11 * time.Second, `"kind":"body-timeout"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, nil, func(harness *harness) {
				conn, err := harness.client.Transport.(*http.Transport).DialContext(harness.t.Context(), "", "")
				if err != nil {
					t.Fatal(err)
				}
				sent := time.Now()
				_, _ = io.WriteString(conn, test.head)
				data, _ := io.ReadAll(conn)
				if took := time.Since(sent); took > test.within || !strings.Contains(string(data), test.want) {
					t.Errorf("after %s: %q", took, data)
				}
				_ = conn.Close()
			})
		})
	}
}

// TestInFlightLimit guards against exceeding the limit of requests in flight and
// against delayed refusals.
func TestInFlightLimit(t *testing.T) {
	runTest(t, func(harness *harness) {
		harness.config.Limits.MaxInFlight = 2
		harness.setScripts(runScript(sleep(10*time.Second), eventSender.started, chunks(0, "a"), eventSender.done))
	}, func(harness *harness) {
		replies := make(chan reply, 2)
		for range 2 {
			go func() { replies <- harness.chat("") }()
		}
		synctest.Wait()
		sent := time.Now()
		got := harness.chat("")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "1" || !strings.Contains(got.body, `"ran":"not-run"`) {
			t.Errorf("response %+v", got)
		}
		if took := time.Since(sent); took > 0 {
			t.Errorf("refused after %s", took)
		}
		for range 2 {
			if got := <-replies; got.status != http.StatusOK {
				t.Errorf("response %+v", got)
			}
		}
	})
}
