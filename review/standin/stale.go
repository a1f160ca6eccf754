//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// addedRoutes is the size of a large configuration, as big_config makes it.
	addedRoutes = 456
	// stormVersions versions are written while the relay is cut off, stormGap apart.
	stormVersions = 12
	stormGap      = 330 * time.Millisecond
	// cutTime is how long the relay is cut off from the store.
	cutTime = 11 * time.Second
	// revokeBound is revoke_ms.
	revokeBound = 5 * time.Second
)

// staleKey cuts a relay off from the store. Meanwhile the operator writes more than one
// read holds, and at last takes a key away. After the cut, the key's client sends on.
func staleKey(trouble bool) bool {
	deployment := newDeployment()
	running = deployment
	both := []map[string]any{tenantEntry("hule930", "key-kept", "key-taken"), tenantEntry("tako112", "key-other")}
	one := []map[string]any{tenantEntry("hule930", "key-kept"), tenantEntry("tako112", "key-other")}
	version := 1
	deployment.store.put(topicOperator, "config", config(version, both, true, 0))
	engine := deployment.startRunner("127.0.0.21", "i-engine-1", "advisor", "hall-a", true)
	runners := []*runner{
		engine,
		deployment.startRunner("127.0.0.1", "i-plain-1", "counter", "hall-a", false),
		deployment.startRunner("127.0.0.1", "i-plain-2", "counter", "hall-b", false),
	}
	time.Sleep(100 * time.Millisecond)
	deployment.startLoader("hall-a", engine)
	cut := deployment.startRelay("hall-a")
	// One relay of three is cut off, a share of 0.33.
	deployment.startRelay("hall-b")
	deployment.startRelay("hall-b")
	deployment.awaitReady()
	version = 3
	deployment.store.put(topicOperator, "config", config(version, both, true, addedRoutes))
	time.Sleep(4 * time.Second)
	before := newClient().send(cut, http.MethodPost, "/order/1", "key-taken", time.Second, nil)
	require(before.status == http.StatusOK, "the key is not accepted before it is taken away: %v", before)

	if trouble {
		cut.store.setCut(true)
		record("%s is cut off from the store", cut.name)
	}
	cutAt := time.Now()
	size := 0
	for range stormVersions {
		version += 2
		change := config(version, both, true, addedRoutes)
		deployment.store.put(topicOperator, "config", change)
		size += len(encoded(change))
		record("version %d is acknowledged: a route changed", version)
		time.Sleep(stormGap)
	}
	version += 2
	takenAt := deployment.store.put(topicOperator, "config", config(version, one, true, addedRoutes))
	record("version %d is acknowledged: key-taken was taken away; %d bytes of versions before it", version, size)
	time.Sleep(time.Until(takenAt.Add(revokeBound)))
	record("from now on no request with key-taken may run")

	var senders sync.WaitGroup
	until := cutAt.Add(cutTime + 2*time.Second)
	for range 8 {
		senders.Go(func() {
			for client := newClient(); time.Now().Before(until); time.Sleep(8 * time.Millisecond) {
				client.send(cut, http.MethodPost, "/order/1", "key-taken", time.Second, nil)
			}
		})
	}
	senders.Go(func() {
		for client := newClient(); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			client.send(cut, http.MethodPost, "/order/1", "key-kept", time.Second, nil)
		}
	})
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if trouble {
		cut.store.setCut(false)
		record("%s reaches the store again", cut.name)
	}
	senders.Wait()
	return judgeStaleKey(runners, takenAt)
}

// judgeStaleKey reports whether a request with the key ran that was sent later than
// revoke_ms after the acknowledgement of the version that took it away.
func judgeStaleKey(runners []*runner, takenAt time.Time) bool {
	dumpAttempts(runners)
	ran := ranIDs(runners)
	bound := takenAt.Add(revokeBound)
	statuses := make(map[int]int)
	broken, kept := 0, 0
	for _, attempt := range allAttempts() {
		ranAt, did := ran[attempt.id]
		if attempt.key == "key-kept" && attempt.status == http.StatusOK && attempt.sentAt.After(bound) {
			kept++
		}
		if attempt.key != "key-taken" || !attempt.sentAt.After(bound) {
			continue
		}
		statuses[attempt.status]++
		if did {
			broken++
			recordAt(ranAt, "BROKEN, runs %.3f s after the acknowledgement: %v", ranAt.Sub(takenAt).Seconds(), attempt)
		}
	}
	record("requests with key-taken sent over %v after the acknowledgement: by status %v, of which %d ran", revokeBound, statuses, broken)
	record("requests with key-kept served in the same time: %d", kept)
	require(kept > 0, "the relay serves no sound request at the end")
	return broken > 0
}
