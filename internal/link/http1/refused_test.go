package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// refusedStep is a request that is sent once the one before it was answered.
type refusedStep struct {
	id string
	// refused means that the response is marked as a refusal.
	refused bool
	// want is the number of the connection on which the request must arrive.
	want int
}

// repeatStep returns steps with different ids.
func repeatStep(count int, refused bool, want int) []refusedStep {
	var steps []refusedStep
	for number := range count {
		steps = append(steps, refusedStep{fmt.Sprint("request-", number), refused, want})
	}
	return steps
}

// TestRefused guards against a request that is sent on a connection that has refused a
// request with its id, where a copy of that refusal would be taken for its answer (issue
// 50), and against needless new connections.
func TestRefused(t *testing.T) {
	tests := []struct {
		name  string
		steps []refusedStep
	}{
		{name: "again", steps: []refusedStep{{"a", true, 1}, {"a", false, 2}}},
		{name: "again, not refused", steps: []refusedStep{{"a", false, 1}, {"a", false, 1}}},
		{name: "another one", steps: []refusedStep{{"a", true, 1}, {"b", false, 1}}},
		{name: "again after another one", steps: []refusedStep{{"a", true, 1}, {"b", false, 1}, {"a", false, 2}}},
		{name: "again after another refusal", steps: []refusedStep{{"a", true, 1}, {"b", true, 1}, {"a", false, 2}, {"b", false, 2}}},
		{name: "refused at two connections", steps: []refusedStep{{"a", true, 1}, {"a", true, 2}, {"a", false, 3}}},
		{name: "the connection used last has refused it", steps: []refusedStep{{"a", true, 1}, {"a", false, 2}, {"b", true, 2}, {"b", false, 1}, {"a", false, 2}}},
		{name: "without an id", steps: []refusedStep{{"", false, 1}, {"", false, 1}}},
		{name: "without an id after a refusal", steps: []refusedStep{{"a", true, 1}, {"", false, 2}, {"b", false, 2}, {"", false, 2}}},
		{name: "refused without an id", steps: []refusedStep{{"", true, 1}, {"", false, 2}, {"a", false, 2}}},
		{name: "with an id after a refusal without one", steps: []refusedStep{{"", true, 1}, {"a", false, 1}}},
		{name: "most that are remembered", steps: append(repeatStep(maxRefused-1, true, 1), refusedStep{"a", false, 1})},
		{name: "more than are remembered", steps: append(repeatStep(maxRefused, true, 1), refusedStep{"a", false, 2})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serveNumbers(t)
			pool := New(Config{})
			defer pool.Close()
			for number, step := range test.steps {
				got, err := sendStep(t.Context(), pool, address, step)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(step.want, got); diff != "" {
					t.Errorf("connection of request %d (-want +got):\n%s", number, diff)
				}
			}
		})
	}
}

// serveNumbers answers each request with the number of its connection.
func serveNumbers(t *testing.T) string {
	t.Helper()
	var accepted atomic.Int64
	return serveRaw(t, func(conn net.Conn) {
		text := strconv.FormatInt(accepted.Add(1), 10)
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	})
}

// sendStep sends the request of a step and returns the number of its connection.
func sendStep(ctx context.Context, pool *Pool, address string, step refusedStep) (int, error) {
	response, err := pool.Do(ctx, address, Request{ID: step.id, Method: http.MethodGet, Target: "/x", Host: "a.example", Header: http.Header{}})
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if step.refused {
		response.MarkRefused()
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(string(text))
}
