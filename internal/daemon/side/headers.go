package side

import (
	"net/textproto"
	"strconv"
)

// allowedHeaders are the callers' headers that are forwarded to an upstream.
// None of them carries a key.
var allowedHeaders = map[string]bool{
	"Accept":          true,
	"Accept-Language": true,
	"Content-Type":    true,
	"If-Match":        true,
	"If-None-Match":   true,
	"Traceparent":     true,
	"Tracestate":      true,
}

// hiddenHeaders are the response headers that are not passed on: those of a
// single connection, and cookies.
var hiddenHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
	"Set-Cookie":        true,
}

// upstreamHeaders returns the allowed headers of a request, with the ids of the
// request, its attempt and its organisation.
func upstreamHeaders(task *task) []Header {
	headers := make([]Header, 0, len(task.request.GetHeaders())+3)
	for _, header := range task.request.GetHeaders() {
		name := textproto.CanonicalMIMEHeaderKey(header.GetName())
		if allowedHeaders[name] {
			headers = append(headers, Header{Name: name, Value: header.GetValue()})
		}
	}
	return append(headers,
		Header{Name: "X-Request-Id", Value: task.attempt.RequestID},
		Header{Name: "X-Attempt", Value: strconv.FormatUint(uint64(task.attempt.Number), 10)},
		Header{Name: "X-Organisation", Value: task.organisation},
	)
}

// callerHeaders returns the headers of an upstream's response that are passed
// on to the caller.
func callerHeaders(headers []Header) []Header {
	kept := make([]Header, 0, len(headers))
	for _, header := range headers {
		if !hiddenHeaders[textproto.CanonicalMIMEHeaderKey(header.Name)] {
			kept = append(kept, header)
		}
	}
	return kept
}
