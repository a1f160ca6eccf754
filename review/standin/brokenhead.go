//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func encoded(value any) []byte {
	text, err := json.Marshal(value)
	check(err)
	return text
}

const (
	// crashingPart is the part of a prompt that crashes each runner that begins to write
	// an answer on it, and downtime how long such a runner is down.
	crashingPart = "dead0001"
	downtime     = 3 * time.Second
	// bindingCrashes is the number of crashes, and stableWindow the time after the last
	// of them, from which on no more than maxArrivals such requests may reach runners.
	bindingCrashes = 5
	stableWindow   = 3 * time.Second
	maxArrivals    = 3
	// minSent is the number of sound requests from which on their share is judged.
	minSent     = 20
	engineCount = 5
	caseTime    = 45 * time.Second
	partPeriod  = 500 * time.Millisecond
	soundPeriod = 100 * time.Millisecond
)

// crashes holds the crashes of runners and the arrivals of requests with the part.
var crashes struct {
	sync.Mutex
	at       []time.Time
	arrivals []time.Time
}

// crashOnPart crashes a runner that begins to write an answer to a request with the part:
// the first bytes of the head have left, and the rest never comes.
func crashOnPart(runner *runner, writer http.ResponseWriter, request *http.Request) bool {
	if !strings.Contains(request.Header.Get("X-Jacinthfront-Prompt-Prefix"), crashingPart+":") {
		return true
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	check(err)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Jacinthfront-Attempt-Id: ")
	if os.Getenv("HEAD") == "whole" {
		// For comparison: the head is complete, and the body never comes.
		id := request.Header.Get("X-Jacinthfront-Attempt-Id")
		_, _ = fmt.Fprintf(conn, "%s\r\nX-Jacinthfront-Server-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	}
	time.Sleep(5 * time.Millisecond)
	crashes.Lock()
	crashes.at = append(crashes.at, time.Now())
	count := len(crashes.at)
	crashes.Unlock()
	record("crash %d: %s begins to write an answer to %s", count, runner.id, request.Header.Get("X-Jacinthfront-Attempt-Id"))
	_ = conn.Close()
	runner.crash(downtime)
	return false
}

// startEngines starts engines with their loaders, and two relays. Streams may be resumed
// if resumable is set. The function is called when an engine begins to run a request.
func (deployment *deployment) startEngines(resumable bool, onRequest func(*runner, http.ResponseWriter, *http.Request) bool) []*runner {
	deployment.store.put(topicOperator, "config", config(1, []map[string]any{tenantEntry("hule930", "key-1")}, resumable, 0))
	var runners []*runner
	for number := range engineCount {
		engine := deployment.startRunner(fmt.Sprintf("127.0.0.%d", 41+number), fmt.Sprintf("i-engine-%d", number+1), "advisor", "hall-a", true)
		engine.onRequest = onRequest
		runners = append(runners, engine)
	}
	time.Sleep(100 * time.Millisecond)
	for _, engine := range runners {
		deployment.startLoader("hall-a", engine)
	}
	for _, zone := range deployment.zones {
		deployment.startRelay(zone)
	}
	deployment.awaitReady()
	time.Sleep(2 * time.Second)
	return runners
}

// brokenHead sends requests with a part that crashes runners, no two alike, beside sound
// ones of the same caller.
func brokenHead(trouble bool) bool {
	deployment := newDeployment()
	running = deployment
	runners := deployment.startEngines(false, crashOnPart)

	withPart := make(map[string]bool)
	var mutex sync.Mutex
	var senders sync.WaitGroup
	until := time.Now().Add(caseTime)
	send := func(number int, parts string) attempt {
		relay := deployment.relays[number%len(deployment.relays)]
		return newClient().send(relay, http.MethodPost, fmt.Sprintf("/stream/%d", number), "key-1", 8*time.Second, map[string]string{
			"X-Jacinthfront-Model": fmt.Sprintf("%s/a%d", modelName, number%6+1), "X-Jacinthfront-Token-Usage": "300,36",
			"X-Jacinthfront-Prompt-Prefix": parts,
		})
	}
	for number := 0; time.Now().Before(until); number++ {
		senders.Go(func() { send(number, fmt.Sprintf("5c1e07a2:150,91bd3f%02x:100,e4%06x:50", number%8, number)) })
		if trouble && number > 30 && number%int(partPeriod/soundPeriod) == 0 {
			senders.Go(func() {
				sent := send(number, fmt.Sprintf("5c1e07a2:150,%s:100,f5%06x:50", crashingPart, number))
				mutex.Lock()
				defer mutex.Unlock()
				withPart[sent.id] = true
			})
		}
		time.Sleep(soundPeriod)
	}
	senders.Wait()
	tooMany := judgeCrashes(runners, withPart, bindingCrashes)
	record("BUDGET was broken: %v", tooMany)
	return judgeBegun(runners, withPart)
}

// judgeCrashes reports whether too many of the requests that crash runners reached
// runners. The rule binds after a number of crashes.
func judgeCrashes(runners []*runner, crashing map[string]bool, binding int) bool {
	dumpAttempts(runners)
	sound, served, cut := 0, 0, 0
	for _, attempt := range allAttempts() {
		if !crashing[attempt.id] {
			sound++
			if attempt.status == http.StatusOK && attempt.err == nil {
				served++
			}
			if attempt.status == http.StatusOK && attempt.err != nil {
				cut++
			}
		}
	}
	record("sound requests: %d, of which %d were served in full, and %d streams broke off", sound, served, cut)
	require(served > 0, "no sound request was served")
	if len(crashes.at) < binding {
		record("%d crashes; the rule does not bind", len(crashes.at))
		return false
	}
	bindsAt := crashes.at[binding-1].Add(stableWindow)
	late := 0
	for _, runner := range runners {
		for _, arrival := range runner.arrivals {
			if crashing[arrival.id] && arrival.at.After(bindsAt) {
				late++
				recordAt(arrival.at, "request %s that crashes runners reaches %s, %.1f s after crash %d", arrival.id, runner.id, arrival.at.Sub(crashes.at[binding-1]).Seconds(), binding)
			}
		}
	}
	record("crashes: %d; requests that crash runners and reached one later than %v after crash %d: %d, allowed %d", len(crashes.at), stableWindow, binding, late, maxArrivals)
	return late > maxArrivals
}

// judgeBegun reports whether sound requests begin to run less than half as often from twice
// stableWindow after the fifth crash on as before the first one, 20 or more of each.
func judgeBegun(runners []*runner, crashing map[string]bool) bool {
	if len(crashes.at) < bindingCrashes {
		return false
	}
	ran := ranIDs(runners)
	share := func(from, to time.Time) (begun, sent int) {
		for _, attempt := range allAttempts() {
			if crashing[attempt.id] || attempt.sentAt.Before(from) || attempt.sentAt.After(to) {
				continue
			}
			sent++
			if _, ok := ran[attempt.id]; ok {
				begun++
			}
		}
		return begun, sent
	}
	before, sentBefore := share(begin, crashes.at[0])
	from := crashes.at[bindingCrashes-1].Add(2 * stableWindow)
	after, sentAfter := share(from, lastSent(crashing))
	record("sound requests that begin to run: %d of %d before the first crash, %d of %d from %v after crash %d on", before, sentBefore, after, sentAfter, 2*stableWindow, bindingCrashes)
	require(sentBefore >= minSent && sentAfter >= minSent, "too few sound requests")
	return 2*float64(after)/float64(sentAfter) < float64(before)/float64(sentBefore)
}

// lastSent returns when the last request that crashes runners was sent.
func lastSent(crashing map[string]bool) time.Time {
	var last time.Time
	for _, attempt := range allAttempts() {
		if crashing[attempt.id] && attempt.sentAt.After(last) {
			last = attempt.sentAt
		}
	}
	return last
}
