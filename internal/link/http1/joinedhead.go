package http1

import (
	"errors"
	"net/http"
	"regexp"
	"slices"
)

// errJoinedHead means that a response head holds the status line of another response.
var errJoinedHead = errors.New("the response head is joined with that of another response")

// statusLine matches a status line within a line of a response head.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}`)

// isJoinedHead reports whether a response head was joined from two. A faulty upstream may
// break off an earlier response that it writes again, for instance within its status line,
// and write the response that is due after it. The head then has the status of the earlier
// response and the headers of the other one.
func isJoinedHead(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}
