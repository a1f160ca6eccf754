package engsim

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

const (
	// maxBody is the largest accepted request body in bytes.
	maxBody = 4 << 20
	// maxAnswerTokens is the largest accepted max_tokens.
	maxAnswerTokens = 1 << 17
	// resumeSweepThreshold is the number of resumable requests from which on each
	// new request first removes the expired ones.
	resumeSweepThreshold = 4096
)

// completionRequest is a parsed and valid request.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`

	id         string
	ref        AdapterRef
	prompt     string
	resumeFrom int64
}

// parseCompletion parses a request. Its error says which field or header is
// invalid.
func parseCompletion(request *http.Request, body []byte) (completionRequest, error) {
	var parsed completionRequest
	if err := json.Unmarshal(body, &parsed); err != nil {
		return parsed, err
	}
	var err error
	if parsed.ref, err = parseRef(parsed.Model); err != nil {
		return parsed, err
	}
	parsed.prompt = parsed.Prompt
	if len(parsed.Messages) > 0 {
		parsed.prompt = ChatPrompt(parsed.Messages)
	}
	parsed.id = request.Header.Get("X-Request-Id")
	switch {
	case parsed.id == "":
		return parsed, errors.New("header X-Request-Id is missing")
	case parsed.prompt == "":
		return parsed, errors.New("prompt and messages are empty")
	case parsed.MaxTokens < 1 || parsed.MaxTokens > maxAnswerTokens:
		return parsed, fmt.Errorf("max_tokens %d is not between 1 and %d", parsed.MaxTokens, maxAnswerTokens)
	case !parsed.Stream:
		return parsed, errors.New("stream is not true; this engine answers as a stream only")
	}
	if text := request.Header.Get("X-Resume-From"); text != "" {
		if parsed.resumeFrom, err = strconv.ParseInt(text, 10, 64); err != nil || parsed.resumeFrom < 0 {
			return parsed, fmt.Errorf("X-Resume-From %q is not a token index", text)
		}
	}
	return parsed, nil
}

// sameAnswer reports whether two requests have the same answer.
func (completion completionRequest) sameAnswer(other completionRequest) bool {
	return completion.ref == other.ref && completion.prompt == other.prompt && completion.MaxTokens == other.MaxTokens
}

// refusal is the status, the cause (the key in Observed.Refused) and the message
// of a refused request.
type refusal struct {
	status  int
	cause   string
	message string
}

// writeRefusal writes a refusal as the response and counts it.
func (engine *Engine) writeRefusal(writer http.ResponseWriter, refusal *refusal) {
	engine.mutex.Lock()
	engine.observer.refused[refusal.cause]++
	engine.mutex.Unlock()
	if refusal.status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", "1")
	}
	infra.WriteError(writer, refusal.status, "%s", refusal.message)
}

// serveCompletions handles POST /v1/completions and POST /v1/chat/completions.
func (engine *Engine) serveCompletions(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		infra.WriteError(writer, http.StatusRequestEntityTooLarge, "body: %v", err)
		return
	}
	engine.requests.Add(request, body)
	writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	parsed, err := parseCompletion(request, body)
	if err != nil {
		engine.writeRefusal(writer, &refusal{http.StatusBadRequest, "invalid", err.Error()})
		return
	}
	if _, hit := engine.completionFaults.Inject(ModeCutBefore, parsed.id); hit {
		infra.AbortConnection()
	}
	if _, hit := engine.completionFaults.Inject(ModeRefusing, parsed.id); hit {
		engine.writeRefusal(writer, &refusal{http.StatusServiceUnavailable, "refusing", "the engine refuses requests"})
		return
	}
	job, refused := engine.accept(request, parsed)
	if refused != nil {
		engine.writeRefusal(writer, refused)
		return
	}
	engine.streamAnswer(writer, request, job, parsed.resumeFrom)
}

// accept checks the fencing token, the adapter and the queue limit, and then
// enqueues or resumes the request.
func (engine *Engine) accept(request *http.Request, parsed completionRequest) (*job, *refusal) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkFencingToken(request); refused != nil {
		return nil, refused
	}
	if slot, ok := engine.slots[parsed.ref]; !ok || !slot.loaded {
		return nil, &refusal{http.StatusConflict, "not-loaded", fmt.Sprintf("adapter %s is not loaded", parsed.ref)}
	}
	if len(engine.batch.waiting) >= engine.config.QueueLimit {
		return nil, &refusal{http.StatusServiceUnavailable, "queue-full", fmt.Sprintf("%d requests wait", len(engine.batch.waiting))}
	}
	accepted := &job{request: parsed, remainingPrompt: PromptTokens(parsed.prompt), changed: make(chan struct{}, 1)}
	accepted.totalTokens, accepted.finishReason = AnswerLength(parsed.ref.Adapter, parsed.ref.Version, parsed.prompt, parsed.MaxTokens)
	if parsed.resumeFrom > 0 {
		if refused := engine.restoreProgress(accepted); refused != nil {
			return nil, refused
		}
	}
	accepted.record = engine.observer.addAccepted(request, parsed)
	engine.dropExpired()
	engine.resumable[parsed.id] = accepted
	if accepted.producedTokens == accepted.totalTokens {
		engine.endJob(accepted, outcomeFinished)
		return accepted, nil
	}
	engine.enqueue(accepted)
	return accepted, nil
}

// dropExpired removes the requests whose retention has expired, once
// resumeSweepThreshold requests are held.
func (engine *Engine) dropExpired() {
	if len(engine.resumable) < resumeSweepThreshold {
		return
	}
	maps.DeleteFunc(engine.resumable, func(_ string, job *job) bool {
		return job.outcome != "" && time.Since(job.ended) > engine.config.ResumeRetention
	})
}

// restoreProgress copies the progress of an earlier request with the same id. The
// earlier request is cancelled if it has not ended, because the engine may notice
// a closed connection late.
func (engine *Engine) restoreProgress(resumed *job) *refusal {
	gone := &refusal{http.StatusGone, "not-resumable", fmt.Sprintf("request %s cannot be resumed; send it from the start", resumed.request.id)}
	earlier, ok := engine.resumable[resumed.request.id]
	if !ok || engine.config.ResumeRetention == 0 {
		return gone
	}
	engine.endJob(earlier, outcomeCancelled)
	if time.Since(earlier.ended) > engine.config.ResumeRetention {
		delete(engine.resumable, resumed.request.id)
		return gone
	}
	if !earlier.request.sameAnswer(resumed.request) || resumed.request.resumeFrom > earlier.producedTokens {
		return &refusal{http.StatusBadRequest, "invalid", fmt.Sprintf("resume of %s from %d does not fit the request, which produced %d tokens", resumed.request.id, resumed.request.resumeFrom, earlier.producedTokens)}
	}
	resumed.producedTokens, resumed.remainingPrompt, resumed.promptCached = earlier.producedTokens, earlier.remainingPrompt, earlier.promptCached
	return nil
}
