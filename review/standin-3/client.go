//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Headers of clients and runners.
const (
	headerAttempt     = "X-Jacinthfront-Attempt-Id"
	headerDeadline    = "X-Jacinthfront-Deadline-Ms"
	headerSeal        = "X-Jacinthfront-Server-Seal"
	headerNotExecuted = "X-Jacinthfront-Not-Executed"
	headerExpected    = "X-Jacinthfront-Expected-Instance"
	headerModel       = "X-Jacinthfront-Model"
	headerLastEvent   = "Last-Event-Id"
	headerResumes     = "Resumes"
	headerRetryAfter  = "Retry-After"
)

// host is the host of all routes.
const host = "ficu95.example"

// attempts numbers the client attempts.
var attempts atomic.Int64

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	// complete means that the answer ended as HTTP/1.1 says that it ends. err is how it ended
	// otherwise.
	complete bool
	err      error
	// last is the id of the last whole event of a stream.
	last int
	took time.Duration
}

// String describes the answer for the record.
func (answer answer) String() string {
	end := "complete"
	if !answer.complete {
		end = fmt.Sprintf("incomplete (%v)", answer.err)
	}
	return fmt.Sprintf("%s: status %d, seal %q, %d bytes, last event %d, %s, after %v",
		answer.id, answer.status, answer.header.Get(headerSeal), len(answer.body), answer.last, end, answer.took.Round(time.Millisecond))
}

// request is what a client asks.
type request struct {
	method, path string
	header       map[string]string
	body         string
	deadline     time.Duration
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// write writes a request to a connection.
func (request request) write(conn net.Conn, id string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", request.method, request.path, host, headerAttempt, id, headerDeadline, request.deadline.Milliseconds())
	for name, value := range request.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if request.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(request.body))
	}
	text.WriteString("\r\n" + request.body)
	_, err := io.WriteString(conn, text.String())
	return err
}

// ask sends a request on a new connection and reads the answer.
func ask(address string, request request) answer {
	began := time.Now()
	asked := answer{id: newID(), header: http.Header{}}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		asked.err = err
		return asked
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(request.deadline))
	if err := request.write(conn, asked.id); err != nil {
		asked.err = err
		return asked
	}
	asked.read(bufio.NewReader(conn), request.method)
	asked.took = time.Since(began)
	return asked
}

// read reads an answer to its end.
func (answer *answer) read(reader *bufio.Reader, method string) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		answer.err = err
		return
	}
	answer.status, answer.header = response.StatusCode, response.Header
	answer.body, err = io.ReadAll(response.Body)
	answer.complete, answer.err = err == nil, err
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		answer.complete, answer.err = false, errors.New("no length and no chunks")
	}
	for event := range strings.SplitSeq(string(answer.body), "\n\n") {
		for line := range strings.SplitSeq(event, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				answer.last, _ = strconv.Atoi(id)
			}
		}
	}
}

// refusal returns the text of an answer that is no success.
func (answer answer) refusal() string {
	if answer.status/100 == 2 {
		return ""
	}
	return strings.TrimSpace(string(answer.body))
}
