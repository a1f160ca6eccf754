//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runLeaving has a runner leave that never reports that it drains: its entry is removed, its
// answers say that it leaves, and it exits after a while. Its streams have neither a length nor
// chunks. The route allows them to be resumed at the other runner.
func runLeaving(bed *bed, trouble bool) {
	const (
		events, interval, streams = 40, 150 * time.Millisecond, 8
		prefill                   = 300 * time.Millisecond
		// leaveAfter is drain_ms and a little longer.
		leaveAfter = 2500 * time.Millisecond
	)
	bed.store.put(topicOperator, "config", engineConfig(16, map[string]any{"resumable": true, "max_attempts": 2}))
	var leaving *process
	var left runnerSpec
	for i := range 2 {
		ip := fmt.Sprintf("127.0.0.%d", 2+i)
		spec := runnerSpec{
			id: fmt.Sprintf("i-engine-%d", i), service: "advisor", address: freeAddress(ip), slots: 64,
			flags: []string{"--engine", "--loaded", "--unframed", "--adapter-slots", "16", "--events", fmt.Sprint(events), "--interval", interval.String(), "--prefill", prefill.String(), "--leave-after", leaveAfter.String()},
		}
		started := bed.startRunner(spec)
		bed.startLoader(fmt.Sprintf("side-%d", i), ip, spec.address)
		if i == 0 {
			leaving, left = started, spec
		}
	}
	relay := bed.startRelay("edge-1", "127.0.0.1")
	time.Sleep(time.Second)
	headers := func(number int) map[string]string {
		return map[string]string{
			headerModel: fmt.Sprintf("%s/a%d", modelName, number%4), headerUsage: "400,60", headerDeadline: "15000",
			headerParts: fmt.Sprintf("5c1e07a2:300,%08x:100", number+1),
		}
	}
	replies := make([]reply, streams)
	var group, others sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			id := fmt.Sprintf("attempt-%d", i)
			bed.note("client sends %s", id)
			replies[i] = bed.call(relay, "POST", "/draft/1", id, headers(i))
			bed.note("client has %s: status %d, seal %q, %d events, cut: %v", id, replies[i].status, replies[i].seal, replies[i].events(), replies[i].cut)
		})
	}
	var ended atomic.Bool
	for client := range 4 {
		others.Go(func() {
			for number := 0; !ended.Load(); number++ {
				bed.call(relay, "POST", "/draft"+shortSuffix, fmt.Sprintf("short-%d-%d", client, number), headers(100+client))
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		bed.note("i-engine-0 leaves: its entry is removed, and it serves on for %v", leaveAfter)
		close(leaving.unlisted)
		leaving.signal(syscall.SIGUSR1)
		bed.store.drop(topicServers, left.id)
	}
	group.Wait()
	ended.Store(true)
	others.Wait()
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
	}
	bed.end(exitHeld, "held: %s", summary)
}
