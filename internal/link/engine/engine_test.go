package engine

import (
	stdcmp "cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// serve calls run with a client of a handler, in virtual time.
func serve(t *testing.T, handler http.Handler, run func(client *Client)) {
	t.Helper()
	loopback := infra.NewPipeNetwork()
	stop, err := loopback.Serve("upstream:80", handler)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	run(New(Config{URL: "http://upstream:80", HTTP: loopback.Client(), FencingToken: func() uint64 { return 7 }}))
}

// serveEngine calls run with an engine that has adapter a@3 loaded.
func serveEngine(t *testing.T, change func(config *engsim.Config), run func(client *Client, engine *engsim.Engine)) {
	t.Helper()
	config := engsim.DefaultConfig()
	if change != nil {
		change(&config)
	}
	engine, err := engsim.New(config)
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	serve(t, engine, func(client *Client) {
		if err := client.Load(t.Context(), "a", 3); err != nil {
			t.Fatal(err)
		}
		run(client, engine)
	})
}

// readAll returns the text of a stream and the error that ended it.
func readAll(stream Stream) (text string, err error) {
	for {
		token, err := stream.Next()
		if err != nil {
			return text, err
		}
		text += token.Text
	}
}

// setControl injects a fault into an engine.
func setControl(t *testing.T, engine *engsim.Engine, control engsim.ControlRequest) {
	t.Helper()
	if err := engine.ApplyControl(control); err != nil {
		t.Fatal(err)
	}
}

// faultOutcome holds the fields of a fault that decide whether a caller retries.
type faultOutcome struct {
	Kind fault.Kind
	Ran  fault.Execution
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
	return faultOutcome{known.Kind(), known.Ran()}
}

// request returns a request for 40 tokens from adapter a@3.
func request() Request {
	return Request{RequestID: "r1", Adapter: "a", Version: 3, Prompt: "Which oil suits a beech worktop?", MaxTokens: 40}
}

// TestGenerate guards against responses generated with another adapter, version
// or prompt than the request names.
func TestGenerate(t *testing.T) {
	chat := `{"messages":[{"role":"user","content":"Which oil?"}],"max_tokens":9999,"temperature":0.2,"model":"other"}`
	tests := []struct {
		name    string
		request Request
		prompt  string
	}{
		{"prompt", request(), request().Prompt},
		{"body", Request{RequestID: "r2", Adapter: "a", Version: 3, Body: []byte(`{"prompt":"Which oil?"}`), MaxTokens: 2000}, "Which oil?"},
		{"chat", Request{RequestID: "r3", Adapter: "a", Version: 3, Path: "/v1/chat/completions", Body: []byte(chat), MaxTokens: 50}, "user: Which oil?\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				serveEngine(t, nil, func(client *Client, _ *engsim.Engine) {
					stream, err := client.Generate(t.Context(), test.request)
					if err != nil {
						t.Fatal(err)
					}
					defer stream.Close()
					got, err := readAll(stream)
					want := engsim.AnswerText("a", 3, test.prompt, test.request.MaxTokens)
					_, finish := engsim.AnswerLength("a", 3, test.prompt, test.request.MaxTokens)
					if diff := cmp.Diff(want, got); diff != "" || !errors.Is(err, io.EOF) || stream.FinishReason() != finish {
						t.Errorf("error %v, finish %q, response (-want +got):\n%s", err, stream.FinishReason(), diff)
					}
				})
			})
		})
	}
}

// TestResume guards against repeated or lost tokens when a broken stream is
// resumed.
func TestResume(t *testing.T) {
	tests := []struct {
		name        string
		breakStream func(t *testing.T, engine *engsim.Engine)
	}{
		{"cut after 5 tokens", func(t *testing.T, engine *engsim.Engine) {
			setControl(t, engine, engsim.ControlRequest{CompletionFault: &infra.Fault{Mode: engsim.ModeCutStream, AfterTokens: 5, Count: 1}})
		}},
		{"all streams broken", func(t *testing.T, engine *engsim.Engine) {
			time.AfterFunc(200*time.Millisecond, func() { setControl(t, engine, engsim.ControlRequest{BreakStreams: true}) })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				serveEngine(t, nil, func(client *Client, engine *engsim.Engine) {
					test.breakStream(t, engine)
					stream, err := client.Generate(t.Context(), request())
					if err != nil {
						t.Fatal(err)
					}
					var got string
					next := int64(0)
					for token, err := stream.Next(); ; token, err = stream.Next() {
						if err != nil {
							if diff := cmp.Diff(faultOutcome{fault.UpstreamFailed, fault.DidRun}, outcomeOf(t, err)); diff != "" {
								t.Fatal(diff)
							}
							break
						}
						got += token.Text
						next = token.Index + 1
					}
					again := request()
					again.ResumeFrom = next
					if stream, err = client.Generate(t.Context(), again); err != nil {
						t.Fatal(err)
					}
					rest, err := readAll(stream)
					if diff := cmp.Diff(engsim.AnswerText("a", 3, again.Prompt, again.MaxTokens), got+rest); diff != "" || !errors.Is(err, io.EOF) {
						t.Errorf("error %v after resume from %d, response (-want +got):\n%s", err, next, diff)
					}
					if tokens := engine.Observed().Tokens; tokens != 40 {
						t.Errorf("the engine generated %d tokens for a response of 40", tokens)
					}
				})
			})
		})
	}
}

// TestResumeAfterRestart guards against a stream that goes on at an engine that has started
// again since, which may have other software (postmortem of issue 50, first set-up).
func TestResumeAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serveEngine(t, nil, func(client *Client, engine *engsim.Engine) {
			setControl(t, engine, engsim.ControlRequest{CompletionFault: &infra.Fault{Mode: engsim.ModeCutStream, AfterTokens: 5, Count: 1}})
			first := request()
			stream, err := client.Generate(t.Context(), first)
			if err != nil {
				t.Fatal(err)
			}
			if _, err = readAll(stream); errors.Is(err, io.EOF) {
				t.Fatal("the stream did not break")
			}
			setControl(t, engine, engsim.ControlRequest{Restart: &engsim.Restart{}})
			if err := client.Load(t.Context(), first.Adapter, first.Version); err != nil {
				t.Fatal(err)
			}
			first.ResumeFrom = 5
			_, err = client.Generate(t.Context(), first)
			if diff := cmp.Diff(faultOutcome{fault.UnknownRequest, fault.NotRun}, outcomeOf(t, err)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	})
}

// TestGenerateFaults guards against faults that report wrongly whether the
// request ran.
func TestGenerateFaults(t *testing.T) {
	tests := []struct {
		name    string
		config  func(config *engsim.Config)
		control engsim.ControlRequest
		change  func(request *Request)
		timeout time.Duration
		want    faultOutcome
	}{
		{name: "not loaded", change: func(request *Request) { request.Version = 4 }, want: faultOutcome{fault.LoadFailed, fault.NotRun}},
		{name: "engine restarted", control: engsim.ControlRequest{Restart: &engsim.Restart{}}, want: faultOutcome{fault.LoadFailed, fault.NotRun}},
		{name: "engine down", control: engsim.ControlRequest{Restart: &engsim.Restart{DownFor: infra.Duration(time.Second)}}, want: faultOutcome{fault.UpstreamFailed, fault.RunUnknown}},
		{name: "refusing", control: engsim.ControlRequest{CompletionFault: &infra.Fault{Mode: engsim.ModeRefusing}}, want: faultOutcome{fault.Overloaded, fault.NotRun}},
		{name: "cut before", control: engsim.ControlRequest{CompletionFault: &infra.Fault{Mode: engsim.ModeCutBefore}}, want: faultOutcome{fault.UpstreamFailed, fault.RunUnknown}},
		{name: "frozen", control: engsim.ControlRequest{Freeze: infra.Duration(time.Minute)}, timeout: time.Second, want: faultOutcome{fault.DeadlineExceeded, fault.RunUnknown}},
		{name: "queue full", config: func(config *engsim.Config) { config.QueueLimit = 0 }, want: faultOutcome{fault.Overloaded, fault.NotRun}},
		{name: "nothing to resume", change: func(request *Request) { request.ResumeFrom = 3 }, want: faultOutcome{fault.UnknownRequest, fault.NotRun}},
		{name: "no limit", change: func(request *Request) { request.MaxTokens = 0 }, want: faultOutcome{fault.BadRequest, fault.NotRun}},
		{name: "body is not an object", change: func(request *Request) { request.Body = []byte(`[1]`) }, want: faultOutcome{fault.BadRequest, fault.NotRun}},
		{name: "no prompt", change: func(request *Request) { request.Body = []byte(`{}`) }, want: faultOutcome{fault.BadRequest, fault.NotRun}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				serveEngine(t, test.config, func(client *Client, engine *engsim.Engine) {
					setControl(t, engine, test.control)
					request := request()
					if test.change != nil {
						test.change(&request)
					}
					ctx, cancel := context.WithTimeout(t.Context(), stdcmp.Or(test.timeout, time.Hour))
					defer cancel()
					_, err := client.Generate(ctx, request)
					if diff := cmp.Diff(test.want, outcomeOf(t, err)); diff != "" {
						t.Errorf("outcome (-want +got):\n%s\n%v", diff, err)
					}
					if starts := engine.Observed().AcceptedRequests; len(starts) != 0 {
						t.Errorf("the engine accepted %+v", starts)
					}
				})
			})
		})
	}
}

// TestMalformedStreams guards against a stream that counts as complete although
// it is truncated, belongs to another request or exceeds the size limit.
func TestMalformedStreams(t *testing.T) {
	const first = "data: {\"index\":0,\"text\":\"x\",\"model\":\"a@3\"}\n\n"
	tests := []struct{ name, response, wantErr string }{
		{"no end event", first, "unexpected EOF"},
		{"token missing", first + "data: {\"index\":2,\"text\":\"x\"}\n\n", "token 1 was due"},
		{"token repeated", first + first, "token 1 was due"},
		{"other adapter", first + "data: {\"index\":1,\"text\":\"x\",\"model\":\"b@3\"}\n\n", "b@3"},
		{"error event", first + "event: error\ndata: {\"message\":\"out of memory\"}\n\n", "out of memory"},
		{"unknown event", first + "event: pause\ndata: {}\n\n", "pause"},
		{"not JSON", first + "data: x\n\n", "event data"},
		{"long line", first + "data: " + strings.Repeat("x", maxLineSize), "above"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, test.response)
			})
			synctest.Test(t, func(t *testing.T) {
				serve(t, handler, func(client *Client) {
					stream, err := client.Generate(t.Context(), request())
					if err != nil {
						t.Fatal(err)
					}
					text, err := readAll(stream)
					if text != "x" || outcomeOf(t, err) != (faultOutcome{fault.UpstreamFailed, fault.DidRun}) || !strings.Contains(err.Error(), test.wantErr) {
						t.Errorf("text %q, error %v; want x and %q", text, err, test.wantErr)
					}
					if _, again := stream.Next(); !errors.Is(again, err) {
						t.Errorf("error %v after the end of the stream, want the same again", again)
					}
				})
			})
		})
	}
}

// TestConnectionUse guards against reusing a connection with unread bytes of an
// earlier response, and against closing one after a complete response.
func TestConnectionUse(t *testing.T) {
	tests := []struct {
		name   string
		tokens int
		want   int
	}{
		{"complete responses", 41, 1},
		{"closed early", 2, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				serveEngine(t, nil, func(client *Client, engine *engsim.Engine) {
					opened := 1
					ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
						if !info.Reused {
							opened++
						}
					}})
					for range 3 {
						stream, err := client.Generate(ctx, request())
						if err != nil {
							t.Fatal(err)
						}
						for range test.tokens {
							_, _ = stream.Next()
						}
						stream.Close()
						time.Sleep(time.Second)
					}
					if opened != test.want {
						t.Errorf("%d connections, want %d", opened, test.want)
					}
					for _, start := range engine.Observed().AcceptedRequests {
						if finished := start.Outcome == "finished"; finished != (test.tokens == 41) {
							t.Errorf("outcome %q with %d tokens; an early close must cancel", start.Outcome, start.GeneratedTokens)
						}
					}
				})
			})
		})
	}
}

// TestOrders guards against refused orders that are reported as successful.
func TestOrders(t *testing.T) {
	conflict := faultOutcome{fault.Conflict, fault.NotRun}
	failed := faultOutcome{fault.LoadFailed, fault.NotRun}
	tests := []struct {
		name   string
		config func(config *engsim.Config)
		order  func(ctx context.Context, client *Client, engine *engsim.Engine) error
		want   faultOutcome
		loaded []AdapterRef
	}{
		{"load", nil, func(ctx context.Context, client *Client, _ *engsim.Engine) error {
			return client.Load(ctx, "b", 1)
		}, faultOutcome{}, []AdapterRef{{"a", 3}, {"b", 1}}},
		{"no slot", func(config *engsim.Config) { config.AdapterSlots = 1 }, func(ctx context.Context, client *Client, _ *engsim.Engine) error {
			return client.Load(ctx, "b", 1)
		}, failed, []AdapterRef{{"a", 3}}},
		{"failing load", nil, func(ctx context.Context, client *Client, engine *engsim.Engine) error {
			_ = engine.ApplyControl(engsim.ControlRequest{LoadFault: &infra.Fault{Mode: engsim.ModeFailing}})
			return client.Load(ctx, "b", 1)
		}, failed, []AdapterRef{{"a", 3}}},
		{"unload", nil, func(ctx context.Context, client *Client, _ *engsim.Engine) error {
			return errors.Join(client.Unload(ctx, "a", 3), client.Unload(ctx, "a", 3))
		}, faultOutcome{}, []AdapterRef{}},
		{"unload in use", nil, func(ctx context.Context, client *Client, _ *engsim.Engine) error {
			if _, err := client.Generate(ctx, request()); err != nil {
				return err
			}
			return client.Unload(ctx, "a", 3)
		}, failed, []AdapterRef{{"a", 3}}},
		{"old fencing token", nil, func(ctx context.Context, client *Client, _ *engsim.Engine) error {
			client.fencingToken = func() uint64 { return 6 }
			return client.Unload(ctx, "a", 3)
		}, conflict, []AdapterRef{{"a", 3}}},
		{"generation with an old fencing token", nil, func(ctx context.Context, client *Client, _ *engsim.Engine) error {
			client.fencingToken = func() uint64 { return 6 }
			_, err := client.Generate(ctx, request())
			return err
		}, conflict, []AdapterRef{{"a", 3}}},
		{"old fencing token ignored", func(config *engsim.Config) { config.Fencing = engsim.FencingIgnored }, func(ctx context.Context, client *Client, _ *engsim.Engine) error {
			client.fencingToken = func() uint64 { return 6 }
			return client.SetRole(ctx, "drain")
		}, faultOutcome{}, []AdapterRef{{"a", 3}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				serveEngine(t, test.config, func(client *Client, engine *engsim.Engine) {
					err := test.order(t.Context(), client, engine)
					if diff := cmp.Diff(test.want, outcomeOf(t, err)); diff != "" {
						t.Errorf("outcome (-want +got):\n%s\n%v", diff, err)
					}
					state, err := client.State(t.Context())
					if diff := cmp.Diff(test.loaded, state.Loaded); diff != "" || err != nil {
						t.Errorf("error %v, loaded (-want +got):\n%s", err, diff)
					}
				})
			})
		})
	}
}
