//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// runFailedOrder sends orders, which must not run twice, to runners that run a part of them and
// then fail them with 503 and their seal, without saying that the request was not run.
func runFailedOrder(bed *bed, trouble bool) {
	const orders, work = 40, 15 * time.Millisecond
	bed.store.put(topicOperator, "config", plainConfig(nil))
	for i := range 2 {
		spec := runnerSpec{
			id: fmt.Sprintf("i-plain-%d", i), service: "counter", address: freeAddress("127.0.0.1"), slots: 6,
			flags: []string{"--work", work.String()},
		}
		if trouble {
			spec.flags = append(spec.flags, "--fail-every", "4", "--fail-status", "503")
		}
		bed.startRunner(spec)
	}
	relay := bed.startRelay("edge-1", "127.0.0.1")
	time.Sleep(time.Second)
	refused, again := 0, 0
	for number := range orders {
		order := fmt.Sprintf("order-%d", number)
		for attempt := range 2 {
			id := fmt.Sprintf("attempt-%d-%d", number, attempt)
			reply := bed.callBody(relay, "POST", "/order/1", id, order, map[string]string{headerDeadline: "1000"})
			bed.note("client has %s (%s): status %d, seal %q, Retry-After %q, %s", id, order, reply.status, reply.seal, reply.header.Get("Retry-After"), strings.TrimSpace(reply.body))
			if reply.status != http.StatusServiceUnavailable && reply.status != http.StatusTooManyRequests {
				break
			}
			// The status promises that the order has not run, so the client sends it again.
			if reply.seal != "" {
				refused++
			}
			again++
		}
	}
	summary := fmt.Sprintf("%d orders, %d answers of 503 or 429 to orders that had run, %d orders sent again", orders, refused, again)
	if refused > 0 {
		bed.end(exitBroken, "REFUSED broken: %s", summary)
	}
	bed.end(exitHeld, "held: %s", summary)
}
