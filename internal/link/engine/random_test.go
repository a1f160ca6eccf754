package engine

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// TestRandomDisturbances compares each response with the expected one while
// streams break and the engine freezes and restarts. It guards against mixed-up
// responses and against tokens that are repeated or lost when a stream resumes.
func TestRandomDisturbances(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				serveEngine(t, nil, func(client *Client, engine *engsim.Engine) {
					random := rand.New(rand.NewPCG(seed, 1))
					var group sync.WaitGroup
					for index := range 60 {
						request := Request{
							RequestID: fmt.Sprintf("r%d", index), Adapter: "a", Version: uint32(1 + random.IntN(3)),
							Prompt: fmt.Sprintf("question %d", random.IntN(20)), MaxTokens: 1 + random.Int64N(200),
						}
						pause := time.Duration(random.IntN(5000)) * time.Millisecond
						group.Go(func() {
							time.Sleep(pause)
							generateUntilComplete(t, client, request)
						})
					}
					for range 20 {
						time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
						setControl(t, engine, []engsim.ControlRequest{
							{BreakStreams: true},
							{Freeze: infra.Duration(500 * time.Millisecond)},
							{Restart: &engsim.Restart{DownFor: infra.Duration(300 * time.Millisecond)}},
							{CompletionFault: &infra.Fault{Mode: engsim.ModeCutStream, AfterTokens: 3, Count: 2}},
							{LoadFault: &infra.Fault{Mode: engsim.ModeFailing, Count: 2}},
						}[random.IntN(5)])
					}
					group.Wait()
				})
			})
		})
	}
}

// generateUntilComplete sends a request until its response is complete. It
// resumes the stream as long as the engine still knows the request.
func generateUntilComplete(t *testing.T, client *Client, request Request) {
	var text string
	for attempt := 0; attempt < 200; attempt++ {
		stream, err := client.Generate(t.Context(), request)
		if err == nil {
			var token Token
			for token, err = stream.Next(); err == nil; token, err = stream.Next() {
				text += token.Text
				request.ResumeFrom = token.Index + 1
			}
		}
		if errors.Is(err, io.EOF) {
			if want := engsim.AnswerText(request.Adapter, request.Version, request.Prompt, request.MaxTokens); text != want {
				t.Errorf("request %s: response %q, want %q", request.RequestID, text, want)
			}
			return
		}
		switch known, _ := fault.As(err); {
		case known.Kind() == fault.LoadFailed:
			_ = client.Load(t.Context(), request.Adapter, request.Version)
		case known.Kind() == fault.UnknownRequest:
			text, request.ResumeFrom = "", 0
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
	t.Errorf("request %s: no complete response in 200 attempts", request.RequestID)
}
