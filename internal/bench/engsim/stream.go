package engsim

import (
	"encoding/json"
	"fmt"
	"net/http"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// tokenEvent is the data of a token's event.
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

// streamAnswer writes the answer of a request as server-sent events, beginning
// with the token at index from. A closed connection cancels the request.
func (engine *Engine) streamAnswer(writer http.ResponseWriter, request *http.Request, job *job, from int64) {
	controller := http.NewResponseController(writer)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("X-Request-Id", job.request.id)
	writer.WriteHeader(http.StatusOK)
	limit := int64(-1)
	if fault, hit := engine.completionFaults.Inject(ModeCutStream, job.request.id); hit {
		limit = from + int64(fault.AfterTokens)
	}
	written, seed := from, answerSeed(job.request.ref.Adapter, job.request.ref.Version, job.request.prompt)
	for {
		if controller.Flush() != nil {
			engine.cancel(job, outcomeCancelled)
			return
		}
		produced, outcome := engine.progress(job)
		for ; written < produced && written != limit; written++ {
			writeEvent(writer, "", tokenEvent{written, seededToken(seed, written), job.request.Model})
		}
		if written == limit {
			_ = controller.Flush()
			engine.cancel(job, outcomeBroken)
			infra.AbortConnection()
		}
		if outcome != "" {
			writeEnd(writer, job, outcome)
			return
		}
		select {
		case <-job.changed:
		case <-request.Context().Done():
			engine.cancel(job, outcomeCancelled)
			return
		}
	}
}

// writeEnd writes the last event of an answer, or aborts the connection if the
// outcome has none.
func writeEnd(writer http.ResponseWriter, job *job, outcome string) {
	switch outcome {
	case outcomeFinished:
		writeEvent(writer, "end", endEvent{job.finishReason, PromptTokens(job.request.prompt), job.totalTokens})
	case outcomeEvicted:
		writeEvent(writer, "error", map[string]string{"message": "the adapter was unloaded"})
	default:
		infra.AbortConnection()
	}
}

// writeEvent writes one server-sent event.
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

// progress returns the number of tokens produced so far and the outcome.
func (engine *Engine) progress(job *job) (produced int64, outcome string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return job.producedTokens, job.outcome
}

// cancel ends a request whose connection is closed or aborted.
func (engine *Engine) cancel(job *job, outcome string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.endJob(job, outcome)
}
