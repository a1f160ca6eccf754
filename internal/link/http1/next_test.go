package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// otherHeader is the header of responses that belong to another request.
	otherHeader = "Other"
	otherHead   = "HTTP/1.1 503 Service Unavailable\r\n" + otherHeader + ": 1\r\n"
	otherEmpty  = otherHead + "Content-Length: 0\r\n\r\n"
	// nextPause is the time between two writes of a response, and nextWait how long the
	// tests wait for a response.
	nextPause = 20 * time.Millisecond
	nextWait  = 300 * time.Millisecond
)

// nextResult is the result of a request whose response follows others.
type nextResult struct {
	Text string
	// Abandoned and Broken are the class of the error, Cut and Status those of a CutHeadError.
	Abandoned, Broken, Cut bool
	Status                 int
	Reused                 bool
}

// TestNext guards against a response to another request that costs a caller its own, is
// taken for a part of it, or is read without bound.
func TestNext(t *testing.T) {
	answered := nextResult{Text: "200 ok", Reused: true}
	abandoned, broken := nextResult{Abandoned: true}, nextResult{Broken: true}
	tests := []struct {
		name   string
		method string
		// writes are written nextPause apart. The connection stays open unless ends is
		// true.
		writes []string
		ends   bool
		want   nextResult
	}{
		{name: "none", writes: []string{okResponse}, want: nextResult{Text: "200 ok"}},
		{name: "empty", writes: []string{otherEmpty, okResponse}, want: answered},
		{name: "empty, in one piece", writes: []string{otherEmpty + okResponse}, want: answered},
		{name: "no content", writes: []string{"HTTP/1.1 204 No Content\r\n" + otherHeader + ": 1\r\n\r\n", okResponse}, want: answered},
		{name: "length", writes: []string{otherHead + "Content-Length: 4\r\n\r\nbu", "sy" + okResponse}, want: answered},
		{name: "chunks", writes: []string{otherHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n", "0\r\n\r\n" + okResponse}, want: answered},
		{name: "interim response", writes: []string{otherEmpty + "HTTP/1.1 103 Early Hints\r\n\r\n", okResponse}, want: answered},
		{name: "closes", writes: []string{otherHead + "Connection: close\r\nContent-Length: 0\r\n\r\n", okResponse}, want: answered},
		{name: "most that are skipped", writes: []string{strings.Repeat(otherEmpty, maxSkipped) + okResponse}, want: answered},
		{name: "more than are skipped", writes: []string{strings.Repeat(otherEmpty, maxSkipped+1) + okResponse}, want: abandoned},
		{name: "longest", writes: []string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", otherHead, maxSkippedBytes) + strings.Repeat("a", maxSkippedBytes), okResponse}, want: answered},
		{name: "too long", writes: []string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", otherHead, maxSkippedBytes+1) + strings.Repeat("a", maxSkippedBytes+1), okResponse}, want: abandoned},
		{name: "too many chunks", writes: []string{otherHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("100\r\n"+strings.Repeat("a", 256)+"\r\n", maxSkippedBytes/256+1)}, want: abandoned},
		{name: "unframed", writes: []string{otherHead + "\r\n", okResponse}, want: abandoned},
		{name: "to HEAD", method: http.MethodHead, writes: []string{otherEmpty, okResponse}, want: abandoned},
		{name: "no response of its own", writes: []string{otherEmpty}, want: abandoned},
		{name: "body without end", writes: []string{otherHead + "Content-Length: 4\r\n\r\nbu"}, want: abandoned},
		{name: "then the connection ends", writes: []string{otherEmpty}, ends: true, want: broken},
		{name: "the connection ends in the body", writes: []string{otherHead + "Content-Length: 4\r\n\r\nbu"}, ends: true, want: broken},
		{name: "then a cut head", writes: []string{otherEmpty, "HTTP/1.1 200 OK\r\nA: 1"}, ends: true, want: nextResult{Broken: true, Cut: true, Status: 200}},
		{name: "then a cut head, in one piece", writes: []string{otherEmpty + "HTTP/1.1 200 OK\r\nA: 1"}, ends: true, want: nextResult{Broken: true, Cut: true, Status: 200}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var accepted atomic.Int64
			address := serveRaw(t, func(conn net.Conn) {
				accepted.Add(1)
				reader := bufio.NewReader(conn)
				if request, err := http.ReadRequest(reader); err != nil || request.Body.Close() != nil {
					return
				}
				for _, text := range test.writes {
					_, _ = io.WriteString(conn, text)
					time.Sleep(nextPause)
				}
				if !test.ends {
					_, _ = io.Copy(io.Discard, reader)
				}
			})
			pool := New(Config{})
			defer pool.Close()
			method := test.method
			if method == "" {
				method = http.MethodGet
			}
			began := time.Now()
			got := getNext(t.Context(), pool, address, method)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			if took := time.Since(began); took > 2*nextWait {
				t.Errorf("took %v", took)
			}
			if got.Reused {
				if _, err := pool.Do(t.Context(), address, Request{Method: http.MethodGet, Target: "/x", Host: "a.example", Header: http.Header{}}); err != nil || accepted.Load() != 2 {
					t.Errorf("a request after a skipped response: error %v, %d connections, want 2", err, accepted.Load())
				}
			}
		})
	}
}

// TestNextCancelled guards against reading on after the end of the request's context.
func TestNextCancelled(t *testing.T) {
	address, _ := serveResponses(t, otherEmpty)
	ctx, cancel := context.WithTimeout(t.Context(), nextPause)
	defer cancel()
	pool := New(Config{})
	defer pool.Close()
	if got := getNext(ctx, pool, address, http.MethodGet); !got.Broken {
		t.Errorf("%+v, want class Broken", got)
	}
}

// getNext sends a request and returns the first response that belongs to no other one.
func getNext(ctx context.Context, pool *Pool, address, method string) nextResult {
	response, err := pool.Do(ctx, address, Request{Method: method, Target: "/x", Host: "a.example", Header: http.Header{}})
	for err == nil && response.Header.Get(otherHeader) != "" {
		response, err = response.Next(nextWait)
	}
	if err != nil {
		result := nextResult{Abandoned: Abandoned.Has(err), Broken: Broken.Has(err)}
		var cut *CutHeadError
		if errors.As(err, &cut) {
			result.Cut, result.Status = true, cut.Status
		}
		return result
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nextResult{Text: err.Error()}
	}
	return nextResult{Text: fmt.Sprint(response.Status, " ", string(text)), Reused: response.Reused}
}
