package entry

import (
	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/ring"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// fallbackMaxTokens is the limit where neither the request nor the route sets
// one.
const fallbackMaxTokens conf.Tokens = 256

func (exchange *exchange) serveChat() *fault.Fault { return exchange.serveModel(true) }

func (exchange *exchange) serveCompletion() *fault.Fault { return exchange.serveModel(false) }

// serveModel serves a chat or text completion.
func (exchange *exchange) serveModel(chat bool) *fault.Fault {
	if fault := exchange.resolveModelRoute(); fault != nil {
		return fault
	}
	body, fault := exchange.readBody()
	if fault != nil {
		return fault
	}
	prompt, fault := parsePrompt(body, chat)
	if fault != nil {
		return fault
	}
	if fault := exchange.resolveAdapter(prompt.model); fault != nil {
		return fault
	}
	job, fault := exchange.newModelJob(prompt, body, chat)
	if fault != nil {
		return fault
	}
	return job.serve()
}

func (exchange *exchange) newModelJob(prompt *prompt, body []byte, chat bool) (*job, *fault.Fault) {
	var sink sink = &bufferedSink{exchange: exchange, chat: chat}
	if prompt.stream {
		sink = &streamSink{exchange: exchange, chat: chat, includeUsage: prompt.includeUsage}
	}
	job, fault := newJob(exchange, sink)
	if fault != nil {
		return nil, fault
	}
	if prompt.maxTokens == 0 {
		prompt.maxTokens = exchange.route.DefaultMaxTokens
	}
	if prompt.maxTokens == 0 {
		prompt.maxTokens = fallbackMaxTokens
	}
	job.setTokens(prompt.estimateTokens(), prompt.maxTokens)
	job.routing.AdapterHash = ring.AdapterHash(exchange.adapter, exchange.version)
	job.routing.PrefixHash = prompt.prefixHash(job.routing.AdapterHash)
	template := job.template
	template.PrefixHash, template.Stream = job.routing.PrefixHash, prompt.stream
	template.Method, template.Path = exchange.request.Method, "/v1/completions"
	if chat {
		template.Path = "/v1/chat/completions"
	}
	if template.Body, fault = prompt.encode(exchange.adapter, exchange.version); fault != nil {
		return nil, fault
	}
	return job, job.bindIdempotencyKey(body)
}
