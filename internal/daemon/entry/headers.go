package entry

import (
	"net/http"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// requestHeaders are the callers' headers that upstreams receive. Everything
// else, and credentials in particular, stays here.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type", "If-Match", "If-Modified-Since",
	"If-None-Match", "If-Unmodified-Since", "Range", "Traceparent", "Tracestate",
}

// answerHeaders are the upstreams' headers that callers receive.
var answerHeaders = map[string]bool{
	"Accept-Ranges": true, "Allow": true, "Cache-Control": true, "Content-Disposition": true,
	"Content-Language": true, "Content-Range": true, "Content-Type": true, "Etag": true, "Expires": true,
	"Last-Modified": true, "Location": true, "Retry-After": true, "Vary": true, "X-Answer-Digest": true,
}

// forwarded returns the headers for the upstream.
func forwarded(header http.Header) []*wirepb.Header {
	var list []*wirepb.Header
	for _, name := range requestHeaders {
		for _, value := range header.Values(name) {
			list = append(list, &wirepb.Header{Name: name, Value: value})
		}
	}
	return list
}

// setAnswerHeaders copies the headers that callers may receive.
func setAnswerHeaders(to http.Header, from []*wirepb.Header) {
	for _, header := range from {
		if name := http.CanonicalHeaderKey(header.GetName()); answerHeaders[name] {
			to.Add(name, header.GetValue())
		}
	}
}
