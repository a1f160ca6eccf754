package buffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// endless returns the same byte without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = 'a'
	}
	return len(buffer), nil
}

// TestFill guards against bodies that are kept with other bytes than were read, and
// against errors that are lost.
func TestFill(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name   string
		reader io.Reader
		limit  int64
		want   error
		size   int64
	}{
		{"empty", strings.NewReader(""), 10, nil, 0},
		{"one byte at a time", iotest.OneByteReader(strings.NewReader(strings.Repeat("abc", 20_000))), 1 << 20, nil, 60_000},
		{"up to the end of a chunk", strings.NewReader(strings.Repeat("a", firstChunk)), 1 << 20, nil, firstChunk},
		{"as large as the limit", strings.NewReader("0123456789"), 10, nil, 10},
		{"above the limit", strings.NewReader("0123456789a"), 10, ErrLarge, 11},
		{"breaks off", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), 10, broken, 3},
		{"without end", endless{}, 1 << 40, ErrFull, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := New(Config{Limit: 1 << 20})
			buffer := pool.NewBuffer("a")
			var read bytes.Buffer
			err := buffer.Fill(io.TeeReader(test.reader, &read), test.limit)
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if test.size > 0 && buffer.Size() != test.size {
				t.Errorf("size %d, want %d", buffer.Size(), test.size)
			}
			var written bytes.Buffer
			if _, err := buffer.WriteTo(&written); err != nil {
				t.Error(err)
			}
			kept, err := io.ReadAll(buffer.Reader())
			if err != nil {
				t.Error(err)
			}
			if !bytes.Equal(read.Bytes(), written.Bytes()) || !bytes.Equal(kept, written.Bytes()) {
				t.Errorf("read %d bytes, wrote %d, kept %d", read.Len(), written.Len(), len(kept))
			}
			if pool.Held() > pool.config.Limit {
				t.Errorf("%d bytes are held, limit %d", pool.Held(), pool.config.Limit)
			}
			buffer.Release()
			if pool.Held() != 0 || len(pool.byOwner) != 0 {
				t.Errorf("%d bytes are held after the release, by %v", pool.Held(), pool.byOwner)
			}
		})
	}
}

// TestShares guards against an owner that floods a process and leaves no memory for
// others: many endless bodies of one owner, then bodies of others.
func TestShares(t *testing.T) {
	const limit, flooded = 10 << 20, 200
	pool := New(Config{Limit: limit})
	var floods []*Buffer
	for range flooded {
		buffer := pool.NewBuffer("flood")
		if err := buffer.Fill(endless{}, 1<<40); !errors.Is(err, ErrFull) {
			t.Errorf("error %v, want %v", err, ErrFull)
		}
		floods = append(floods, buffer)
	}
	if held := pool.Held(); held > limit/2+flooded*Allowance {
		t.Errorf("the flood holds %d bytes, want at most half of %d", held, limit)
	}
	var sound []bool
	for _, owner := range []string{"b", "c", "d"} {
		buffer := pool.NewBuffer(owner)
		sound = append(sound, buffer.Fill(strings.NewReader(strings.Repeat("a", 300<<10)), 1<<20) == nil)
	}
	if diff := cmp.Diff([]bool{true, true, true, false, true}, append(sound, pool.Heavy("b"), pool.Heavy("flood"))); diff != "" {
		t.Errorf("bodies of others kept, heavy owners (-want +got):\n%s", diff)
	}
	for _, buffer := range floods {
		buffer.Release()
	}
	if pool.Heavy("flood") {
		t.Error("the owner is heavy without a body")
	}
}
