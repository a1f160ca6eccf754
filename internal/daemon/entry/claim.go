package entry

import (
	"crypto/sha256"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// maxIdempotencyKey bounds the header Idempotency-Key in bytes.
const maxIdempotencyKey = 256

// bindIdempotencyKey sets the job's idempotency key hash and request digest if
// the caller has sent an Idempotency-Key.
func (job *job) bindIdempotencyKey(body []byte) *fault.Fault {
	exchange := job.exchange
	values := exchange.request.Header.Values("Idempotency-Key")
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKey {
		return badRequest("send one header Idempotency-Key of 1 to %d bytes", maxIdempotencyKey)
	}
	if exchange.organisation.Name == "" {
		return badRequest("the header Idempotency-Key needs a caller's key; send one in the header Authorization")
	}
	job.idempotencyKeyHash = digest(exchange.organisation.Name, values[0])
	job.template.RequestDigest = digest(exchange.request.Method, exchange.request.URL.RequestURI(), string(body))
	return nil
}

// digest hashes the parts. Each part is hashed on its own first, so that no two
// lists of parts give the same input.
func digest(parts ...string) []byte {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256([]byte(part))
		_, _ = hash.Write(sum[:])
	}
	return hash.Sum(nil)
}
