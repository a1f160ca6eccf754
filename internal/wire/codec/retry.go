package codec

import (
	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// EncodeRetryUse encodes what an entry instance has sent to a service.
func EncodeRetryUse(service string, use retry.Use) *wirepb.RetryUse {
	encoded := &wirepb.RetryUse{Service: service, Requests: use.Requests, Retries: use.Retries}
	for _, slot := range use.Past {
		encoded.PastRequests = append(encoded.PastRequests, slot.Requests)
		encoded.PastRetries = append(encoded.PastRetries, slot.Retries)
	}
	return encoded
}

// DecodeRetryUse decodes what EncodeRetryUse encoded.
func DecodeRetryUse(encoded *wirepb.RetryUse) (service string, use retry.Use) {
	use = retry.Use{Requests: encoded.GetRequests(), Retries: encoded.GetRetries()}
	requests, retries := encoded.GetPastRequests(), encoded.GetPastRetries()
	for age := range min(len(requests), len(retries)) {
		use.Past = append(use.Past, retry.Slot{Requests: requests[age], Retries: retries[age]})
	}
	return encoded.GetService(), use
}
