package codec

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// maxPasts and maxPastSlots bound the pasts that are decoded, and the slots of each.
const (
	maxPasts     = 64
	maxPastSlots = 36_000
)

// EncodeRetryUse encodes what an entry instance has sent to a service.
func EncodeRetryUse(service string, use retry.Use) *wirepb.RetryUse {
	encoded := &wirepb.RetryUse{
		Service: service, Requests: use.Requests, Retries: use.Retries, Settled: use.Settled, WindowMs: uint32(use.Window.Milliseconds()),
	}
	for _, past := range use.Pasts {
		encoded.Pasts = append(encoded.Pasts, encodeRetryPast(past))
	}
	return encoded
}

// DecodeRetryUse decodes what EncodeRetryUse encoded.
func DecodeRetryUse(encoded *wirepb.RetryUse) (service string, use retry.Use) {
	use = retry.Use{
		Requests: encoded.GetRequests(), Retries: encoded.GetRetries(), Settled: encoded.GetSettled(),
		Window: time.Duration(encoded.GetWindowMs()) * time.Millisecond,
	}
	for _, past := range encoded.GetPasts()[:min(len(encoded.GetPasts()), maxPasts)] {
		use.Pasts = append(use.Pasts, decodeRetryPast(past))
	}
	return encoded.GetService(), use
}

func encodeRetryPast(past retry.Past) *wirepb.RetryPast {
	encoded := &wirepb.RetryPast{
		Entry: past.Incarnation.Instance, Start: past.Incarnation.Start, Requests: past.Requests, Retries: past.Retries, Slots: uint32(len(past.Slots)),
	}
	for _, slot := range past.Slots {
		encoded.SlotRequests = append(encoded.SlotRequests, slot.Requests)
		encoded.SlotRetries = append(encoded.SlotRetries, slot.Retries)
	}
	encoded.SlotRequests, encoded.SlotRetries = withoutTrailingZeros(encoded.GetSlotRequests()), withoutTrailingZeros(encoded.GetSlotRetries())
	return encoded
}

func decodeRetryPast(encoded *wirepb.RetryPast) retry.Past {
	past := retry.Past{
		Incarnation: retry.Incarnation{Instance: encoded.GetEntry(), Start: encoded.GetStart()},
		Requests:    encoded.GetRequests(), Retries: encoded.GetRetries(), Slots: make([]retry.Slot, min(encoded.GetSlots(), maxPastSlots)),
	}
	requests, retries := encoded.GetSlotRequests(), encoded.GetSlotRetries()
	for age := range past.Slots {
		if age < len(requests) {
			past.Slots[age].Requests = requests[age]
		}
		if age < len(retries) {
			past.Slots[age].Retries = retries[age]
		}
	}
	return past
}

// withoutTrailingZeros returns numbers without the zeros at their end.
func withoutTrailingZeros(numbers []uint32) []uint32 {
	for len(numbers) > 0 && numbers[len(numbers)-1] == 0 {
		numbers = numbers[:len(numbers)-1]
	}
	return numbers
}
