package engine

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// connUses tells which connections are in use. http.Transport may give a connection to
// the next request before the caller has seen the response to the last one, and the next
// request must not be sent if that response makes the caller close the connection.
type connUses struct {
	mutex  sync.Mutex
	latest map[net.Conn]*connUse
}

// connUse is one exchange's use of a connection.
type connUse struct {
	uses *connUses
	conn net.Conn
	// closed means that the connection was closed before the use began: nothing was sent.
	closed bool
	once   sync.Once
	ended  chan struct{}
}

// newConnUses returns connUses without connections.
func newConnUses() *connUses { return &connUses{latest: make(map[net.Conn]*connUse)} }

// begin starts a use of a connection once the last one has ended. It returns nil for an
// HTTP/2 connection, which serves several requests at once and assigns the responses.
func (uses *connUses) begin(info httptrace.GotConnInfo) *connUse {
	if tlsConn, ok := info.Conn.(*tls.Conn); ok && tlsConn.ConnectionState().NegotiatedProtocol == "h2" {
		return nil
	}
	use := &connUse{uses: uses, conn: info.Conn, ended: make(chan struct{})}
	uses.mutex.Lock()
	last := uses.latest[info.Conn]
	uses.latest[info.Conn] = use
	uses.mutex.Unlock()
	if last != nil {
		<-last.ended
	}
	// Setting a deadline that is not set has no effect, and fails on a closed connection.
	use.closed = info.Conn.SetWriteDeadline(time.Time{}) != nil
	return use
}

// end ends the use. The connection may serve another request then.
func (use *connUse) end() {
	if use == nil {
		return
	}
	use.once.Do(func() {
		use.uses.mutex.Lock()
		if use.uses.latest[use.conn] == use {
			delete(use.uses.latest, use.conn)
		}
		use.uses.mutex.Unlock()
		close(use.ended)
	})
}

// wasClosed reports whether the connection was closed before the use began.
func (use *connUse) wasClosed() bool { return use != nil && use.closed }

// closeAfter makes the end of a response's body close the connection.
func (use *connUse) closeAfter(response *http.Response) {
	if use != nil {
		response.Body = &lastBody{ReadCloser: response.Body, use: use}
	}
}

// lastBody is the body of the last response on a connection.
type lastBody struct {
	io.ReadCloser
	use *connUse
}

// Read implements io.Reader.
func (body *lastBody) Read(buffer []byte) (int, error) {
	n, err := body.ReadCloser.Read(buffer)
	if err != nil {
		body.closeConn()
	}
	return n, err
}

// Close implements io.Closer.
func (body *lastBody) Close() error {
	body.closeConn()
	return body.ReadCloser.Close()
}

// closeConn closes the connection before the next request is sent on it.
func (body *lastBody) closeConn() {
	_ = body.use.conn.Close()
	body.use.end()
}
