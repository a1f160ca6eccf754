package relay

import (
	"io"
	"strconv"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"
)

// identityHasher hashes what makes two requests the same: organisation, method, target
// and body. Callers repeat a request with another id.
type identityHasher struct{ hasher *xxh3.Hasher }

// newIdentityHasher returns a hasher of the request to which its body is yet to be
// written.
func (proxyRequest *proxyRequest) newIdentityHasher() identityHasher {
	hasher := xxh3.New()
	for _, text := range []string{proxyRequest.organisationName(), proxyRequest.request.Method, proxyRequest.request.Host, proxyRequest.request.RequestURI} {
		_, _ = hasher.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	return identityHasher{hasher}
}

// tee returns a reader of the body that hashes what is read.
func (identityHasher identityHasher) tee(body io.Reader) io.Reader {
	return io.TeeReader(body, identityHasher.hasher)
}

// identity returns the hash, which is never 0.
func (identityHasher identityHasher) identity() uint64 {
	return max(identityHasher.hasher.Sum64(), 1)
}

// identityField returns the log field of a request's identity.
func (proxyRequest *proxyRequest) identityField() zap.Field {
	return zap.String("identity", strconv.FormatUint(proxyRequest.identity, 16))
}
