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
	// maxBody bounds the body of a request.
	maxBody = 4 << 20
	// maxAnswerTokens bounds max_tokens.
	maxAnswerTokens = 1 << 17
	// maxResumes is the number of remembered requests from which on each new one
	// causes the expired ones to be dropped.
	maxResumes = 4096
)

// completion is a valid request.
type completion struct {
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

// parse reads a request; its error names what to correct.
func parse(request *http.Request, body []byte) (completion, error) {
	var parsed completion
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

// same reports whether two requests have the same answer.
func (completion completion) same(other completion) bool {
	return completion.ref == other.ref && completion.prompt == other.prompt && completion.MaxTokens == other.MaxTokens
}

// refusal is why a request is not accepted.
type refusal struct {
	status  int
	cause   string
	message string
}

// refuse answers with a refusal and counts it.
func (engine *Engine) refuse(writer http.ResponseWriter, refusal *refusal) {
	engine.mutex.Lock()
	engine.observed.refused[refusal.cause]++
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
	parsed, err := parse(request, body)
	if err != nil {
		engine.refuse(writer, &refusal{http.StatusBadRequest, "invalid", err.Error()})
		return
	}
	if _, hit := engine.calls.Inject(ModeCutBefore, parsed.id); hit {
		infra.AbortConnection()
	}
	if _, hit := engine.calls.Inject(ModeRefusing, parsed.id); hit {
		engine.refuse(writer, &refusal{http.StatusServiceUnavailable, "refusing", "the engine refuses requests"})
		return
	}
	run, refused := engine.accept(request, parsed)
	if refused != nil {
		engine.refuse(writer, refused)
		return
	}
	engine.relay(writer, request, run, parsed.resumeFrom)
}

// accept queues or resumes a request unless it has to be refused.
func (engine *Engine) accept(request *http.Request, parsed completion) (*run, *refusal) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkFence(request); refused != nil {
		return nil, refused
	}
	if slot, ok := engine.slots[parsed.ref]; !ok || !slot.loaded {
		return nil, &refusal{http.StatusConflict, "not-loaded", fmt.Sprintf("adapter %s is not loaded", parsed.ref)}
	}
	if len(engine.batch.waiting) >= engine.config.QueueLimit {
		return nil, &refusal{http.StatusServiceUnavailable, "queue-full", fmt.Sprintf("%d requests wait", len(engine.batch.waiting))}
	}
	accepted := &run{request: parsed, prefill: PromptTokens(parsed.prompt), changed: make(chan struct{}, 1)}
	accepted.length, accepted.finish = AnswerLength(parsed.ref.Adapter, parsed.ref.Version, parsed.prompt, parsed.MaxTokens)
	if parsed.resumeFrom > 0 {
		if refused := engine.resume(accepted); refused != nil {
			return nil, refused
		}
	}
	accepted.start = engine.observed.addStart(request, parsed)
	engine.forget()
	engine.resumes[parsed.id] = accepted
	if accepted.produced == accepted.length {
		engine.remove(accepted, outcomeFinished)
		return accepted, nil
	}
	engine.add(accepted)
	return accepted, nil
}

// forget drops the requests that can no longer be resumed, once there are many.
func (engine *Engine) forget() {
	if len(engine.resumes) < maxResumes {
		return
	}
	maps.DeleteFunc(engine.resumes, func(_ string, run *run) bool {
		return run.outcome != "" && time.Since(run.ended) > engine.config.ResumeRetention
	})
}

// resume takes over the progress of an earlier request of the same id, which is
// cancelled if its connection has not been seen to close.
func (engine *Engine) resume(resumed *run) *refusal {
	gone := &refusal{http.StatusGone, "not-resumable", fmt.Sprintf("request %s cannot be resumed; send it from the start", resumed.request.id)}
	earlier, ok := engine.resumes[resumed.request.id]
	if !ok || engine.config.ResumeRetention == 0 {
		return gone
	}
	engine.remove(earlier, outcomeCancelled)
	if time.Since(earlier.ended) > engine.config.ResumeRetention {
		delete(engine.resumes, resumed.request.id)
		return gone
	}
	if !earlier.request.same(resumed.request) || resumed.request.resumeFrom > earlier.produced {
		return &refusal{http.StatusBadRequest, "invalid", fmt.Sprintf("resume of %s from %d does not fit the request, which produced %d tokens", resumed.request.id, resumed.request.resumeFrom, earlier.produced)}
	}
	resumed.produced, resumed.prefill, resumed.stored = earlier.produced, earlier.prefill, earlier.stored
	return nil
}
