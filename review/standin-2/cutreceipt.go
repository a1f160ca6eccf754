//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runCutReceipt has runners of a plain service crash, one at a time, while orders run there that
// must not run twice. Their answers have neither a length nor chunks.
func runCutReceipt(bed *bed, trouble bool) {
	const (
		clients = 12
		work    = 100 * time.Millisecond
		crashes = 3
		down    = 2 * time.Second
		between = 4 * time.Second
	)
	bed.store.put(topicOperator, "config", plainConfig(nil))
	var specs []runnerSpec
	var runners []*process
	for i := range 4 {
		spec := runnerSpec{
			id: fmt.Sprintf("i-plain-%d", i), service: "counter", address: freeAddress("127.0.0.1"), slots: 6,
			flags: []string{"--work", work.String(), "--unframed"},
		}
		specs, runners = append(specs, spec), append(runners, bed.startRunner(spec))
	}
	relay := bed.startRelay("edge-1", "127.0.0.1")
	time.Sleep(time.Second)
	var number, whole, short, failed atomic.Int64
	var ended atomic.Bool
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for !ended.Load() {
				id := fmt.Sprintf("attempt-%d", number.Add(1))
				reply := bed.call(relay, "POST", "/order/1", id, map[string]string{headerDeadline: "1500"})
				switch {
				case reply.cut != nil || reply.status != http.StatusOK:
					failed.Add(1)
					bed.note("client has %s: status %d, cut: %v", id, reply.status, reply.cut)
				case reply.body != plainText(id):
					short.Add(1)
					bed.note("client has %s: status 200, seal %q, Content-Length %s, whole by its framing: %d of %d bytes", id, reply.seal, reply.header.Get("Content-Length"), len(reply.body), len(plainText(id)))
				default:
					whole.Add(1)
				}
			}
		})
	}
	for crash := range crashes {
		time.Sleep(between - down)
		if trouble {
			bed.note("%s crashes", specs[crash].id)
			runners[crash].kill()
		}
		time.Sleep(down)
		if trouble {
			specs[crash].id += "b"
			runners[crash] = bed.startRunner(specs[crash])
		}
	}
	ended.Store(true)
	group.Wait()
	summary := fmt.Sprintf("%d answers whole, %d refused or failed, %d cut short and passed on as whole", whole.Load(), failed.Load(), short.Load())
	switch {
	case short.Load() > 0:
		bed.end(exitBroken, "MIXED broken: %s", summary)
	case whole.Load() == 0:
		bed.end(exitNotRun, "not run: %s", summary)
	}
	bed.end(exitHeld, "held: %s", summary)
}
