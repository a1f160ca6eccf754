package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

// errUnsentRequest means that a response without a length ended before its request was
// written. A reset of the connection is reported once, to the write or to the read, so the
// read alone does not tell whether the response is whole.
var errUnsentRequest = errors.New("the connection ended before the request was written")

// requestWrite is the writing of a request.
type requestWrite struct {
	once sync.Once
	// done is closed at the end of the write, and err is then its error.
	done chan struct{}
	err  error
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

// end records the end of the write.
func (write *requestWrite) end(err error) {
	write.once.Do(func() {
		write.err = err
		close(write.done)
	})
}

// check makes the body of a response that ends with its connection fail at its end unless
// the whole request was written.
func (write *requestWrite) check(ctx context.Context, response *http.Response) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.ProtoMajor == 1 && response.Body != http.NoBody {
		response.Body = &unframedBody{ReadCloser: response.Body, ctx: ctx, written: write}
	}
}

// unframedBody is the body of a response that has neither a length nor chunks.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context
	written *requestWrite
}

// Read implements io.Reader.
func (body *unframedBody) Read(buffer []byte) (int, error) {
	n, err := body.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	select {
	case <-body.written.done:
		if body.written.err != nil {
			return n, errors.Join(errUnsentRequest, body.written.err)
		}
		return n, io.EOF
	case <-body.ctx.Done():
		return n, body.ctx.Err()
	}
}
