package engsim

import (
	"encoding/json"
	"fmt"
	"net/http"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// tokenEvent is the data of the event of a token.
type tokenEvent struct {
	Index int64  `json:"index"`
	Text  string `json:"text"`
	Model string `json:"model"`
}

// endEvent is the data of the last event of a complete answer.
type endEvent struct {
	FinishReason    string `json:"finish-reason"`
	PromptTokens    int64  `json:"prompt-tokens"`
	GeneratedTokens int64  `json:"generated-tokens"`
}

// relay writes the answer of a request as server-sent events. A connection that
// closes cancels the request.
func (engine *Engine) relay(writer http.ResponseWriter, request *http.Request, run *run, from int64) {
	controller := http.NewResponseController(writer)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("X-Request-Id", run.request.id)
	writer.WriteHeader(http.StatusOK)
	limit := int64(-1)
	if fault, hit := engine.calls.Inject(ModeCutStream, run.request.id); hit {
		limit = from + int64(fault.AfterTokens)
	}
	written, hash := from, seed(run.request.ref.Adapter, run.request.ref.Version, run.request.prompt)
	for {
		if controller.Flush() != nil {
			engine.cancel(run, outcomeCancelled)
			return
		}
		produced, outcome := engine.progress(run)
		for ; written < produced && written != limit; written++ {
			writeEvent(writer, "", tokenEvent{written, token(hash, written), run.request.Model})
		}
		if written == limit {
			_ = controller.Flush()
			engine.cancel(run, outcomeBroken)
			infra.AbortConnection()
		}
		if outcome != "" {
			finish(writer, run, outcome)
			return
		}
		select {
		case <-run.changed:
		case <-request.Context().Done():
			engine.cancel(run, outcomeCancelled)
			return
		}
	}
}

// finish writes the last event of an answer or cuts its connection.
func finish(writer http.ResponseWriter, run *run, outcome string) {
	switch outcome {
	case outcomeFinished:
		writeEvent(writer, "end", endEvent{run.finish, PromptTokens(run.request.prompt), run.length})
	case outcomeEvicted:
		writeEvent(writer, "error", map[string]string{"message": "the adapter was unloaded"})
	default:
		infra.AbortConnection()
	}
}

// writeEvent writes one event.
func writeEvent(writer http.ResponseWriter, name string, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		panic(err)
	}
	if name != "" {
		_, _ = fmt.Fprintf(writer, "event: %s\n", name)
	}
	_, _ = fmt.Fprintf(writer, "data: %s\n\n", encoded)
}

// progress returns how far a request is.
func (engine *Engine) progress(run *run) (produced int64, outcome string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return run.produced, run.outcome
}

// cancel ends a request that nobody reads any more.
func (engine *Engine) cancel(run *run, outcome string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.remove(run, outcome)
}
