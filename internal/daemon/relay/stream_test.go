package relay

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

// TestReadEvent guards against a part of a long line that is taken for an empty line,
// which ends an event, or for a response head (ORDER, review/4).
func TestReadEvent(t *testing.T) {
	var lengths []int
	for _, size := range []int{0, streamBufferBytes, 2 * streamBufferBytes, 4 * streamBufferBytes} {
		for length := max(1, size-3); length <= size+3; length++ {
			lengths = append(lengths, length)
		}
	}
	for _, end := range []string{"\n", "\r\n"} {
		for _, length := range lengths {
			line := strings.Repeat("x", length) + end
			inner := strings.Repeat("x", streamBufferBytes) + "HTTP/1.1 200 OK" + end
			for _, text := range []string{line, line + line, inner} {
				reader := bufio.NewReaderSize(strings.NewReader(text), streamBufferBytes)
				if event, err := readEvent(reader, func(int64) bool { return true }); !errors.Is(err, errPartialEvent) {
					t.Errorf("lines of %d bytes without an empty line: event of %d bytes, error %v", length, len(event), err)
				}
				reader = bufio.NewReaderSize(strings.NewReader(text+end+"next"), streamBufferBytes)
				if event, err := readEvent(reader, func(int64) bool { return true }); string(event) != text+end || err != nil {
					t.Errorf("lines of %d bytes: event of %d bytes, want %d; error %v", length, len(event), len(text+end), err)
				}
				if rest, _ := io.ReadAll(reader); string(rest) != "next" {
					t.Errorf("lines of %d bytes: %d bytes follow, want 4", length, len(rest))
				}
			}
		}
	}
}
