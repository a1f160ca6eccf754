package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// TestRepeatedRefusal guards against a refusal that an engine writes again on a kept
// connection, just after the next request was sent, and that is taken for a proof that
// this one did not run.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n"
	tests := []struct {
		name string
		// second is the header of the second refusal.
		second string
		want   fault.Execution
	}{
		{"with the earlier id", "X-Request-Id: r-1\r\n", fault.RunUnknown},
		{"without an id", "", fault.RunUnknown},
		{"of the request itself", "X-Request-Id: r-2\r\n", fault.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for _, named := range []string{"X-Request-Id: r-1\r\n", test.second} {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = fmt.Fprintf(conn, refusal, named)
				}
				_, _ = reader.Peek(1)
			}()
			client := New(Config{URL: "http://" + listener.Addr().String()})
			var got []fault.Execution
			for _, id := range []string{"r-1", "r-2"} {
				_, err := client.Generate(t.Context(), Request{RequestID: id, MaxTokens: 1})
				found, ok := fault.As(err)
				if !ok {
					t.Fatalf("%s: %v", id, err)
				}
				got = append(got, found.Ran())
			}
			if diff := cmp.Diff([]fault.Execution{fault.NotRun, test.want}, got); diff != "" {
				t.Errorf("whether the requests ran (-want +got):\n%s", diff)
			}
		})
	}
}
