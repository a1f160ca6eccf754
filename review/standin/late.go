//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// applyBound is config_apply_ms.
	applyBound = 2 * time.Second
	// changeGap is the time between two changes of the configuration.
	changeGap = 330 * time.Millisecond
	// readerCut is how long the relay that reads the store is cut off from it.
	readerCut = 5500 * time.Millisecond
	// quietTime is how long the store's calls are counted to see which relay reads it.
	quietTime = 6 * time.Second
)

// lateConfig cuts the relay of a zone that reads the store off from it while the
// configuration changes. The other relay of the zone, which is not disturbed, must go on to
// apply what the operator writes.
func lateConfig(trouble bool) bool {
	deployment := newDeployment()
	running = deployment
	// Both relays are in the same zone.
	deployment.zones = []string{"hall-a", "hall-a"}
	runners := deployment.startEngines(false, func(*runner, http.ResponseWriter, *http.Request) bool { return true })
	counter := deployment.startRunner("127.0.0.1", "i-plain-1", "counter", "hall-a", false)
	runners = append(runners, counter)
	deployment.awaitReady()
	before := []int64{deployment.relays[0].store.accepted.Load(), deployment.relays[1].store.accepted.Load()}
	time.Sleep(quietTime)
	reader, other := deployment.relays[0], deployment.relays[1]
	calls := []int64{reader.store.accepted.Load() - before[0], other.store.accepted.Load() - before[1]}
	if calls[1] > calls[0] {
		reader, other = other, reader
	}
	record("bytes of calls to the store within %v: %v; %s reads it, %s does not", quietTime, calls, reader.name, other.name)

	tenants := []map[string]any{tenantEntry("hule930", "key-1")}
	version := 1
	change := func(routes ...string) time.Time {
		version += 3
		entry := config(version, tenants, false, 0)
		list, _ := entry["routes"].([]map[string]any)
		for _, name := range routes {
			list = append(list, routeEntry("r-"+name, "/"+name+"/", "unsafe", "counter", false))
		}
		entry["routes"] = list
		at := deployment.store.put(topicOperator, "config", entry)
		record("version %d is acknowledged: routes %v added", version, routes)
		return at
	}
	// A storm of changes; the fourth to eighth come after the cut.
	change("going")
	time.Sleep(changeGap)
	change("going", "one")
	time.Sleep(changeGap)
	change("going", "two")
	time.Sleep(changeGap / 2)
	if trouble {
		reader.store.setCut(true)
		record("%s is cut off from the store", reader.name)
	}
	cutAt := time.Now()
	time.Sleep(changeGap / 2)
	goneAt := change("three")
	record("the route /going/ is dropped")
	time.Sleep(changeGap)
	change("four")

	var senders sync.WaitGroup
	until := goneAt.Add(5 * time.Second)
	for range 4 {
		senders.Go(func() {
			for client := newClient(); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				client.send(other, http.MethodPost, "/going/1", "key-1", time.Second, nil)
				client.send(other, http.MethodPost, "/order/1", "key-1", time.Second, nil)
			}
		})
	}
	time.Sleep(time.Until(cutAt.Add(readerCut)))
	reader.store.setCut(false)
	record("%s reaches the store again", reader.name)
	senders.Wait()

	dumpAttempts(runners)
	ran := ranIDs(runners)
	statuses := make(map[int]int)
	broken, kept := 0, 0
	for _, attempt := range allAttempts() {
		if attempt.path == "/order/1" && attempt.status == http.StatusOK {
			kept++
		}
		if attempt.path != "/going/1" || !attempt.sentAt.After(goneAt.Add(applyBound)) {
			continue
		}
		statuses[attempt.status]++
		if ranAt, did := ran[attempt.id]; did {
			broken++
			recordAt(ranAt, "BROKEN, sent %.3f s after the acknowledgement: %v", attempt.sentAt.Sub(goneAt).Seconds(), attempt)
		}
	}
	record("requests on the dropped route sent to %s over %v after the acknowledgement: by status %v, of which %d ran", other.name, applyBound, statuses, broken)
	record("requests on a route that stays: %d served", kept)
	require(kept > 0 && len(statuses) > 0, "no requests were sent in time: %s", fmt.Sprint(statuses))
	return broken > 0
}
