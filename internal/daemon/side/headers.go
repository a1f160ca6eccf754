package side

import (
	"net/textproto"
	"strconv"
)

// allowedHeaders are the callers' headers that an upstream may see. Keys
// travel in none of them.
var allowedHeaders = map[string]bool{
	"Accept":          true,
	"Accept-Language": true,
	"Content-Type":    true,
	"If-Match":        true,
	"If-None-Match":   true,
	"Traceparent":     true,
	"Tracestate":      true,
}

// hiddenHeaders are headers of an answer that concern one connection only.
var hiddenHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
	"Set-Cookie":        true,
}

// upstreamHeaders returns the allowed headers of a request with the names of
// the request, its attempt and its organisation.
func upstreamHeaders(ticket *ticket) []Header {
	headers := make([]Header, 0, len(ticket.request.GetHeaders())+3)
	for _, header := range ticket.request.GetHeaders() {
		name := textproto.CanonicalMIMEHeaderKey(header.GetName())
		if allowedHeaders[name] {
			headers = append(headers, Header{Name: name, Value: header.GetValue()})
		}
	}
	return append(headers,
		Header{Name: "X-Request-Id", Value: ticket.attempt.RequestID},
		Header{Name: "X-Attempt", Value: strconv.FormatUint(uint64(ticket.attempt.Number), 10)},
		Header{Name: "X-Organisation", Value: ticket.organisation},
	)
}

// callerHeaders returns the headers of an upstream's answer for the caller.
func callerHeaders(headers []Header) []Header {
	kept := make([]Header, 0, len(headers))
	for _, header := range headers {
		if !hiddenHeaders[textproto.CanonicalMIMEHeaderKey(header.Name)] {
			kept = append(kept, header)
		}
	}
	return kept
}
