package entry

import (
	"net/http"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// requestHeaders are the callers' headers that upstreams receive. All others,
// credentials in particular, are dropped.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type", "If-Match", "If-Modified-Since",
	"If-None-Match", "If-Unmodified-Since", "Range", "Traceparent", "Tracestate",
}

// responseHeaders are the upstreams' headers that callers receive.
var responseHeaders = map[string]bool{
	"Accept-Ranges": true, "Allow": true, "Cache-Control": true, "Content-Disposition": true,
	"Content-Language": true, "Content-Range": true, "Content-Type": true, "Etag": true, "Expires": true,
	"Last-Modified": true, "Location": true, "Retry-After": true, "Vary": true, "X-Answer-Digest": true,
}

// forwardedHeaders returns the headers that the upstream receives.
func forwardedHeaders(header http.Header) []*wirepb.Header {
	var list []*wirepb.Header
	for _, name := range requestHeaders {
		for _, value := range header.Values(name) {
			list = append(list, &wirepb.Header{Name: name, Value: value})
		}
	}
	return list
}

// copyResponseHeaders copies the headers that callers may receive.
func copyResponseHeaders(to http.Header, from []*wirepb.Header) {
	for _, header := range from {
		if name := http.CanonicalHeaderKey(header.GetName()); responseHeaders[name] {
			to.Add(name, header.GetValue())
		}
	}
}
