package loader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/link/dgram"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestRemembers guards against knowledge that is lost when all entry instances end: one
// that starts must be sent what the others knew last, with its age, and only then.
func TestRemembers(t *testing.T) {
	datagrams, err := dgram.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loader := New(Config{Engine: &engine{report: healthyReport()}, Datagrams: datagrams, Logger: zap.NewNop()})
	for _, retries := range []uint64{1, 2} {
		loader.handleDatagram("", &wirepb.Datagram{Body: &wirepb.Datagram_Memory{Memory: &wirepb.Memory{
			Entry: "10.0.0.1:7600", Retries: []*wirepb.RetryUse{{Service: "advisor", Retries: retries}},
		}}})
	}
	entry, err := dgram.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan *wirepb.Memory, 10)
	go func() {
		_ = entry.Serve(t.Context(), func(_ string, datagram *wirepb.Datagram) {
			if memory := datagram.GetMemory(); memory != nil {
				received <- memory
			}
		})
	}()
	const kept = 30 * time.Millisecond
	time.Sleep(kept)
	for range 3 {
		loader.handleDatagram("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
			Entry: entry.Address(), Start: 1, Model: "m", Upstream: "i-1", Born: 1000,
		}}})
	}
	select {
	case memory := <-received:
		if diff := cmp.Diff(uint64(2), memory.GetRetries()[0].GetRetries()); diff != "" || memory.GetAgeMs() < uint32(kept.Milliseconds()) {
			t.Errorf("age %d ms, retries (-want +got):\n%s", memory.GetAgeMs(), diff)
		}
	case <-time.After(time.Second):
		t.Fatal("a starting entry instance received nothing")
	}
	select {
	case <-received:
		t.Error("received the same twice")
	case <-time.After(kept):
	}
}
