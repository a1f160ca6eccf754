package loader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/link/dgram"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestRemembers guards against knowledge that is lost when all entry instances end, or when
// one that knows less tells later: one that starts must be sent all that others knew, with
// its age, and only then.
func TestRemembers(t *testing.T) {
	datagrams, err := dgram.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loader := New(Config{Engine: &engine{report: healthyReport()}, Datagrams: datagrams, Logger: zap.NewNop()})
	told := []*wirepb.RetryPast{
		{Entry: "10.0.0.1:7600", Start: 1, Requests: 9, Retries: 2, Slots: 3, SlotRetries: []uint32{2}},
		{Entry: "10.0.0.1:7600", Start: 1, Requests: 7, Retries: 1, Slots: 3, SlotRetries: []uint32{1}},
		{Entry: "10.0.0.1:7600", Start: 2, Requests: 1, Retries: 1, Slots: 3, SlotRetries: []uint32{1}},
	}
	blame := map[int64]*wirepb.PoisonNews{1: {Evidence: []*wirepb.CrashEvidence{{Part: "p"}}}}
	for _, past := range told {
		loader.handleDatagram("", &wirepb.Datagram{Body: &wirepb.Datagram_Memory{Memory: &wirepb.Memory{
			Entry: "10.0.0.1:7600", Start: past.GetStart(), Poison: blame[past.GetStart()],
			Levels: []*wirepb.BucketLevel{{Organisation: "hule", Level: float64(past.GetRetries()), Rate: 1, Burst: 100}}, Retries: []*wirepb.RetryUse{{Service: "advisor", Settled: past.GetRetries() == 2, Pasts: []*wirepb.RetryPast{past}, WindowMs: 1000}},
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
	const kept = 2 * retry.SlotTime
	time.Sleep(kept)
	for range 3 {
		loader.handleDatagram("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
			Entry: entry.Address(), Start: 1, Model: "m", Upstream: "i-1", Born: 1000,
		}}})
	}
	for _, check := range []func(memory *wirepb.Memory){
		func(memory *wirepb.Memory) { checkLevel(t, memory) },
		func(memory *wirepb.Memory) { checkRetries(t, memory) },
		func(memory *wirepb.Memory) {
			if memory.GetEntry() != "10.0.0.1:7600" || len(memory.GetPoison().GetEvidence()) != 1 || memory.GetAgeMs() < uint32(kept.Milliseconds()) {
				t.Errorf("memory %v, want one of 10.0.0.1:7600 with evidence, at least %v old", memory, kept)
			}
		},
	} {
		select {
		case memory := <-received:
			check(memory)
		case <-time.After(time.Second):
			t.Fatal("a starting entry instance received too little")
		}
	}
	select {
	case <-received:
		t.Error("received the same twice")
	case <-time.After(kept):
	}
}

// checkRetries checks what a loader has kept of retries: the most that was told of each
// incarnation, not in the last two slots.
func checkRetries(t *testing.T, memory *wirepb.Memory) {
	t.Helper()
	if len(memory.GetRetries()) != 1 || !memory.GetRetries()[0].GetSettled() {
		t.Fatalf("received %v, want the retries to one service, settled", memory)
	}
	got := make(map[int64]uint64)
	for _, past := range memory.GetRetries()[0].GetPasts() {
		got[past.GetStart()] = past.GetRetries()
		if late := past.GetSlotRetries()[:2]; late[0] > 0 || late[1] > 0 {
			t.Errorf("retries of the last slots of incarnation %d: %v, want none", past.GetStart(), late)
		}
	}
	if diff := cmp.Diff(map[int64]uint64{1: 2, 2: 1}, got); diff != "" {
		t.Errorf("retries by incarnation (-want +got):\n%s", diff)
	}
}

// checkLevel checks that a loader has kept the lowest level that it was told, and counts
// what has been added since by the rate.
func checkLevel(t *testing.T, memory *wirepb.Memory) {
	t.Helper()
	if levels := memory.GetLevels(); len(levels) != 1 || levels[0].GetLevel() <= 1 || levels[0].GetLevel() >= 2 {
		t.Errorf("levels %v, want one between 1 and 2", levels)
	}
}
