//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// deadlyPath names the request that crashes each runner that begins to run it. It
	// has the same path, caller and body each time.
	deadlyPath = "/stream/deadly"
	deadlyBody = "the same body each time"
	// thirdCrash is the crash from which on, after stableWindow, no more than
	// maxArrivals such requests may reach runners.
	thirdCrash = 3
	// firstGap is the time between the first three, and pauseTime that until two clients
	// send it again, each with repeats at once.
	firstGap  = 1200 * time.Millisecond
	pauseTime = 3600 * time.Millisecond
	repeats   = 3
	impatient = 2
)

// crashOnRun crashes a runner that begins to run the deadly request.
func crashOnRun(runner *runner, _ http.ResponseWriter, request *http.Request) bool {
	if request.URL.Path != deadlyPath {
		return true
	}
	crashes.Lock()
	crashes.at = append(crashes.at, time.Now())
	count := len(crashes.at)
	crashes.Unlock()
	record("crash %d: %s begins to run %s", count, runner.id, request.Header.Get("X-Jacinthfront-Attempt-Id"))
	runner.crash(downtime)
	return false
}

// deadlyBurst sends a request that crashes runners three times, and later again from
// clients that repeat at once, beside sound requests.
func deadlyBurst(trouble bool) bool {
	deployment := newDeployment()
	running = deployment
	runners := deployment.startEngines(false, crashOnRun)
	deadly := make(map[string]bool)
	var mutex sync.Mutex
	var senders sync.WaitGroup
	send := func(number int, path string) attempt {
		relay := deployment.relays[number%len(deployment.relays)]
		client := newClient()
		if path == deadlyPath {
			client.body = deadlyBody
		}
		return client.send(relay, http.MethodPost, path, "key-1", 8*time.Second, map[string]string{
			"X-Jacinthfront-Model": fmt.Sprintf("%s/a%d", modelName, number%6+1), "X-Jacinthfront-Token-Usage": "300,36",
			"X-Jacinthfront-Prompt-Prefix": fmt.Sprintf("5c1e07a2:150,91bd3f%02x:100,e4%06x:50", number%8, number),
		})
	}
	sendDeadly := func(number int) {
		senders.Go(func() {
			sent := send(number, deadlyPath)
			mutex.Lock()
			defer mutex.Unlock()
			deadly[sent.id] = true
		})
	}
	until := time.Now().Add(20 * time.Second)
	senders.Go(func() {
		for number := 0; time.Now().Before(until); number++ {
			senders.Go(func() { send(number, fmt.Sprintf("/stream/%d", number)) })
			time.Sleep(soundPeriod)
		}
	})
	time.Sleep(2 * time.Second)
	if trouble {
		for number := range thirdCrash {
			sendDeadly(number)
			time.Sleep(firstGap)
		}
		time.Sleep(pauseTime)
		for number := range impatient * (1 + repeats) {
			sendDeadly(number)
		}
	}
	senders.Wait()
	return judgeCrashes(runners, deadly, thirdCrash)
}
