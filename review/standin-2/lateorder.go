//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// runLateOrder has one order to a runner arrive ten seconds late, and meanwhile ends the
// runner, which starts again under its id.
func runLateOrder(bed *bed, trouble bool) {
	const (
		places   = 4
		events   = 10
		interval = 50 * time.Millisecond
		lateness = 10 * time.Second
	)
	own, listed := freeAddress("127.0.0.2"), freeAddress("127.0.0.2")
	wire := newWire(bed, listed, own)
	flags := []string{"--engine", "--adapter-slots", fmt.Sprint(places), "--events", fmt.Sprint(events), "--interval", interval.String()}
	spec := runnerSpec{id: "i-engine-0", service: "advisor", address: own, listed: listed, slots: 64, flags: append(flags, "--loaded")}
	bed.store.put(topicOperator, "config", engineConfig(places, map[string]any{"timeout_ms": 5000}))
	runner := bed.startRunner(spec)
	bed.startLoader("side-0", "127.0.0.2", listed)
	relay := bed.startRelay("edge-1", "127.0.0.1")
	callers := &adapterCallers{bed: bed, relay: relay, events: events}
	if trouble {
		wire.holdNext(func(operation, adapter string) bool { return operation == "load" && adapter == "a5" })
	}
	for _, adapter := range []string{"a1", "a2", "a3", "a4"} {
		callers.begin(adapter)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	callers.replace("a1", "a5")
	time.Sleep(2 * time.Second)
	callers.replace("a5", "a6")
	time.Sleep(2 * time.Second)
	if trouble {
		bed.note("runner %s crashes", spec.id)
		runner.kill()
		time.Sleep(500 * time.Millisecond)
		spec.flags = flags
		runner = bed.startRunner(spec)
		for wire.heldFor() > 0 && wire.heldFor() < lateness {
			time.Sleep(10 * time.Millisecond)
		}
		if wire.heldFor() == 0 {
			bed.end(exitNotRun, "not run: no order was held back")
		}
		wire.deliver()
	}
	time.Sleep(2 * time.Second)
	broken := false
	select {
	case <-runner.ended:
		broken = runner.command.ProcessState.ExitCode() == exitLimit
	default:
	}
	callers.stop()
	summary := fmt.Sprintf("%d streams whole, %d refused, %d broken off", callers.whole.Load(), callers.refused.Load(), callers.cut.Load())
	switch {
	case broken:
		bed.end(exitBroken, "LIMIT broken: the runner was ordered to hold more adapters than it has places, and crashed; %s", summary)
	case callers.whole.Load() == 0:
		bed.end(exitNotRun, "not run: %s", summary)
	}
	bed.end(exitHeld, "held: %s", summary)
}

// adapterCallers are clients that each use one adapter, one stream after the other.
type adapterCallers struct {
	bed    *bed
	relay  *relay
	events int

	group               sync.WaitGroup
	stops               sync.Map
	number              atomic.Int64
	whole, refused, cut atomic.Int64
}

// begin starts a client that uses an adapter.
func (callers *adapterCallers) begin(adapter string) {
	ended := make(chan struct{})
	callers.stops.Store(adapter, ended)
	callers.bed.note("client begins to use %s", adapter)
	callers.group.Go(func() {
		for {
			select {
			case <-ended:
				return
			default:
			}
			callers.call(adapter)
		}
	})
}

// call sends a request, and waits before the next one after a failure.
func (callers *adapterCallers) call(adapter string) {
	number := callers.number.Add(1)
	id := fmt.Sprintf("attempt-%d", number)
	reply := callers.bed.call(callers.relay, "POST", "/draft/1", id, map[string]string{
		headerModel: modelName + "/" + adapter, headerUsage: "400,60", headerDeadline: "4000",
		headerParts: fmt.Sprintf("5c1e07a2:300,%08x:100", number),
	})
	if reply.status == 200 && reply.cut == nil && reply.events() == callers.events {
		callers.whole.Add(1)
		return
	}
	callers.bed.note("client has %s (%s): status %d, %d events, cut: %v", id, adapter, reply.status, reply.events(), reply.cut)
	if reply.status == 503 || reply.status == 429 {
		callers.refused.Add(1)
	} else {
		callers.cut.Add(1)
	}
	time.Sleep(200 * time.Millisecond)
}

// replace has the client of one adapter use another one.
func (callers *adapterCallers) replace(before, after string) {
	if ended, ok := callers.stops.LoadAndDelete(before); ok {
		callers.bed.note("client of %s leaves", before)
		close(ended.(chan struct{}))
	}
	callers.begin(after)
}

// stop has all clients stop and waits for their last requests.
func (callers *adapterCallers) stop() {
	callers.stops.Range(func(_, ended any) bool {
		close(ended.(chan struct{}))
		return true
	})
	callers.group.Wait()
}
