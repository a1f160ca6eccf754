package buffer

import (
	"bytes"
	"errors"
	"io"
)

const (
	// firstChunk is the size of the first chunk of a Buffer, and moreChunk that of the
	// others after its allowance.
	firstChunk = 4 << 10
	moreChunk  = 32 << 10
)

var (
	// ErrFull means that there is no memory for more of a body.
	ErrFull = errors.New("the memory for bodies is used up")
	// ErrLarge means that a body exceeds its limit.
	ErrLarge = errors.New("the body is too large")
)

// Buffer holds a body in chunks of reserved memory. Its methods must not be called
// concurrently.
type Buffer struct {
	reservation *Reservation
	chunks      [][]byte
	size        int64
}

// NewBuffer returns an empty Buffer of an owner.
func (pool *Pool) NewBuffer(owner string) *Buffer {
	return &Buffer{reservation: pool.Reserve(owner)}
}

// Fill reads a body to its end. Its error is that of the reader, ErrLarge for a body of
// more than limit bytes, or ErrFull. What was read before an error stays in the Buffer.
func (buffer *Buffer) Fill(reader io.Reader, limit int64) error {
	for {
		if buffer.size == buffer.reservation.held && !buffer.grow() {
			return ErrFull
		}
		last := &buffer.chunks[len(buffer.chunks)-1]
		n, err := reader.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		buffer.size += int64(n)
		switch {
		case buffer.size > limit:
			return ErrLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow adds a chunk.
func (buffer *Buffer) grow() bool {
	held, size := buffer.reservation.held, int64(moreChunk)
	switch {
	case held == 0:
		size = firstChunk
	case held < Allowance:
		size = Allowance - held
	}
	if !buffer.reservation.Grow(held + size) {
		return false
	}
	buffer.chunks = append(buffer.chunks, make([]byte, 0, size))
	return true
}

// Size returns the number of bytes that were read.
func (buffer *Buffer) Size() int64 { return buffer.size }

// Chunks returns the body in parts. They stay valid after Release.
func (buffer *Buffer) Chunks() [][]byte { return buffer.chunks }

// Reader returns a reader of the body.
func (buffer *Buffer) Reader() io.Reader {
	readers := make([]io.Reader, 0, len(buffer.chunks))
	for _, chunk := range buffer.chunks {
		readers = append(readers, bytes.NewReader(chunk))
	}
	return io.MultiReader(readers...)
}

// WriteTo implements io.WriterTo.
func (buffer *Buffer) WriteTo(writer io.Writer) (int64, error) {
	var written int64
	for _, chunk := range buffer.chunks {
		n, err := writer.Write(chunk)
		if written += int64(n); err != nil {
			return written, err
		}
	}
	return written, nil
}

// Release empties the Buffer and gives its memory back.
func (buffer *Buffer) Release() {
	buffer.reservation.Release()
	buffer.chunks, buffer.size = nil, 0
}
