package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// maxHeadPrefix bounds the bytes of a response head that are kept for a CutHeadError.
const maxHeadPrefix = 1 << 10

// StatusLinePrefix begins each response head.
const StatusLinePrefix = "HTTP/1."

// CutHeadError means that an exchange ended within the head of the final response: the
// upstream had begun to answer.
type CutHeadError struct {
	// Status is 0 if the status line is incomplete.
	Status int
	// Header holds the lines that were received whole, within the first maxHeadPrefix
	// bytes.
	Header http.Header
	// BeganAt is when the first byte was received.
	BeganAt time.Time

	err error
}

// Error implements error.
func (err *CutHeadError) Error() string { return "within the response head: " + err.err.Error() }

// Unwrap returns the error with which the exchange ended.
func (err *CutHeadError) Unwrap() error { return err.err }

// headPrefix is the beginning of what a connection has received since a request.
type headPrefix struct {
	bytes []byte
	// received counts all bytes, also those that are not kept.
	received int
	beganAt  time.Time
}

// add records received bytes.
func (headPrefix *headPrefix) add(received []byte) {
	if headPrefix.received == 0 {
		headPrefix.beganAt = time.Now()
	}
	headPrefix.received += len(received)
	kept := min(len(received), maxHeadPrefix-len(headPrefix.bytes))
	headPrefix.bytes = append(headPrefix.bytes, received[:kept]...)
}

// cutHead returns err as a CutHeadError if the bytes from start on, where the last
// response began, are the beginning of a final response.
func (headPrefix *headPrefix) cutHead(start int, err error) error {
	if headPrefix.received <= start {
		return err
	}
	cut := &CutHeadError{BeganAt: headPrefix.beganAt, err: err}
	statusLine, lines, complete := bytes.Cut(headPrefix.bytes[min(start, len(headPrefix.bytes)):], []byte("\n"))
	switch status, ok := parseStatus(string(statusLine)); {
	case !ok || status != "" && (status[0] < '2' || status[0] > '5'):
		return err
	case complete:
		cut.Status, _ = strconv.Atoi(status)
	}
	whole := lines[:bytes.LastIndexByte(lines, '\n')+1]
	// The error is that the header has no end.
	header, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(whole))).ReadMIMEHeader()
	cut.Header = http.Header(header)
	return cut
}

// parseStatus returns what the beginning of a status line has of the status. It returns
// false if the text begins no status line.
func parseStatus(line string) (status string, ok bool) {
	if len(line) < len(StatusLinePrefix) {
		return "", strings.HasPrefix(StatusLinePrefix, line)
	}
	version, rest, _ := strings.Cut(line, " ")
	status, _, _ = strings.Cut(strings.TrimSpace(rest), " ")
	return status, strings.HasPrefix(version, StatusLinePrefix)
}
