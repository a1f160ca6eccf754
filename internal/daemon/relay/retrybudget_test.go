package relay

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestPastsFitDatagram guards against datagrams that are too large to be sent where there are
// many services, and against services whose past is then never told.
func TestPastsFitDatagram(t *testing.T) {
	const services, incarnations, datagramBytes = 60, 16, 64 << 10
	limits := retry.Limits{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	budget := newRetryBudget(func() retry.Limits { return limits }, process{identity: 1, start: time.Now().Add(-limits.Window)}, "10.0.0.1:7600")
	slots := make([]retry.Slot, limits.Window/retry.SlotTime)
	for number := range slots {
		slots[number] = retry.Slot{Requests: 200, Retries: 200}
	}
	for service := range services {
		use := retry.Use{Settled: true, Window: limits.Window}
		for number := range incarnations {
			use.Pasts = append(use.Pasts, retry.Past{
				Incarnation: retry.Incarnation{Instance: fmt.Sprintf("10.0.1.%d:7600", number), Start: 1}, Requests: 1 << 20, Retries: 1 << 20, Slots: slots,
			})
		}
		budget.ledger(fmt.Sprint("service-", service)).Recall(use)
	}
	told := make(map[string]bool)
	for range services {
		pasts := budget.encodePasts()
		if size := proto.Size(&wirepb.Usage{Retries: pasts}); size > datagramBytes {
			t.Fatalf("a datagram of %d bytes, want at most %d", size, datagramBytes)
		}
		for _, use := range pasts {
			if len(use.GetPasts()) > 0 {
				told[use.GetService()] = true
			}
		}
	}
	if len(told) != services {
		t.Errorf("the pasts of %d services are told, want %d", len(told), services)
	}
}
