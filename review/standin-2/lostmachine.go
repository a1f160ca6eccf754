//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// runLostMachine kills a runner and the loader beside it while streams run that cannot be
// resumed. The runner's streams have neither a length nor chunks.
func runLostMachine(bed *bed, trouble bool) {
	const events, interval, streams = 40, 100 * time.Millisecond, 8
	engines := []runnerSpec{}
	for i := range 2 {
		ip := fmt.Sprintf("127.0.0.%d", 2+i)
		engines = append(engines, runnerSpec{
			id: fmt.Sprintf("i-engine-%d", i), service: "advisor", address: freeAddress(ip), slots: 64,
			flags: []string{"--engine", "--loaded", "--unframed", "--adapter-slots", "16", "--events", fmt.Sprint(events), "--interval", interval.String()},
		})
	}
	bed.store.put(topicOperator, "config", engineConfig(16, nil))
	var runner, loader *process
	for i, engine := range engines {
		started := bed.startRunner(engine)
		beside := bed.startLoader(fmt.Sprintf("side-%d", i), fmt.Sprintf("127.0.0.%d", 2+i), engine.address)
		if i == 0 {
			runner, loader = started, beside
		}
	}
	relay := bed.startRelay("edge-1", "127.0.0.1")
	time.Sleep(time.Second)
	replies := make([]reply, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			id := fmt.Sprintf("attempt-%d", i)
			bed.note("client sends %s", id)
			replies[i] = bed.call(relay, "POST", "/draft/1", id, map[string]string{
				headerModel: fmt.Sprintf("%s/a%d", modelName, i%4), headerUsage: "400,60", headerDeadline: "15000",
				headerParts: fmt.Sprintf("5c1e07a2:300,%08x:100", i+1),
			})
			bed.note("client has %s: status %d, seal %q, %d events, cut: %v", id, replies[i].status, replies[i].seal, replies[i].events(), replies[i].cut)
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		bed.note("machine of i-engine-0 is lost: its runner and its loader are killed")
		_ = loader.command.Process.Kill()
		_ = runner.command.Process.Kill()
	}
	group.Wait()
	whole, cut, short := 0, 0, 0
	for _, reply := range replies {
		switch {
		case reply.cut != nil || reply.status != 200:
			cut++
		case reply.events() < events:
			short++
		default:
			whole++
		}
	}
	summary := fmt.Sprintf("%d streams whole, %d broken off or refused, %d ended as complete before their last event", whole, cut, short)
	switch {
	case short > 0:
		bed.end(exitBroken, "ORDER broken: %s", summary)
	case !trouble && whole < streams:
		bed.end(exitNotRun, "not run: %s", summary)
	case trouble && cut == 0:
		bed.end(exitNotRun, "not run, no stream ran at the lost machine: %s", summary)
	}
	bed.end(exitHeld, "held: %s", summary)
}
