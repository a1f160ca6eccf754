//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// config is the operator's configuration: an engine service, a plain one, and routes to them.
func config(adapterSlots int) map[string]any {
	stream := func(name, prefix string, resumable bool, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 1000,
			"priority": 1, "service": "advisor", "max_attempts": attempts, "public": true, "sticky": true, "resumable": resumable, "target_gap_ms": 300,
		}
	}
	plain := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": 60000, "target_latency_ms": 100,
			"priority": 2, "service": "counter", "max_attempts": attempts, "public": true, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			stream("care-note", "/note/", true, 2), stream("layout-note", "/plan/", false, 1),
			plain("place-order", "/book/", "unsafe", 1), plain("stock-look", "/look/", "safe", 2),
		},
		"services": []any{
			map[string]any{"name": "advisor", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 122011, "stride": 3, "weights_mb": 66600.0, "adapter_slot_count": adapterSlots, "loads_per_s": 2.8,
				"models": []any{map[string]any{"name": modelName, "weights_mb": 65100.0, "load_time_s": 0.72, "adapters": 3000, "adapter_size_mb": 12.0}},
			}},
			map[string]any{"name": "counter", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{},
	}
}

// stream is a request of a streaming route.
func stream(prefix string, events, gap int, adapter string, deadline time.Duration) request {
	model := modelName
	if adapter != "" {
		model += "/" + adapter
	}
	return request{
		method: http.MethodPost, path: fmt.Sprintf("/%s/%d/%d", prefix, events, gap), body: "the prompt", deadline: deadline,
		header: map[string]string{headerModel: model, "X-Jacinthfront-Token-Usage": "200,60", "X-Jacinthfront-Prompt-Prefix": "5c1e07a2:120,e4402b7d:80"},
	}
}

// lateOrder: an order that got no answer is carried out seconds later, when its
// runner has started again under its id.
func lateOrder() {
	const adapterSlots, lateness = 4, 6 * time.Second
	running.store.put(topicOperator, "config", config(adapterSlots))
	var lateOnce sync.Once
	var late order
	var lateAt atomic.Int64
	unanswered := make(chan struct{})
	var broken atomic.Bool
	newIncarnation := func(models []string) *runner {
		return &runner{
			id: "i-7f3a91c2", service: "advisor", adapterSlots: adapterSlots, store: running.store, models: models,
			onOrder: func(taken order) (held bool) {
				// The first load after the slots were full once.
				if trouble && taken.Operation == "load" && taken.Adapter == "a5" {
					lateOnce.Do(func() {
						held, late = true, taken
						lateAt.Store(time.Now().UnixNano())
						note("runner: order %v gets no answer, and will be carried out in %v", taken, lateness)
						close(unanswered)
					})
				}
				return held
			},
		}
	}
	first := newIncarnation([]string{modelName})
	first.start("127.31.1.1:0")
	relay := running.startRelay("edge-hall-a-1", "127.31.0.1")
	running.startLoader("side-hall-a-1", first.address)
	relay.awaitReady()

	// The demand moves: each phase asks for four adapters.
	var asked atomic.Pointer[[]string]
	var served, failed, cut atomic.Int64
	setDemand := func(adapters ...string) {
		asked.Store(&adapters)
		note("clients: ask for the adapters %v", adapters)
	}
	setDemand("a1", "a2", "a3", "a4")
	go func() {
		for number := 0; ; number++ {
			adapters := *asked.Load()
			go func() {
				got := ask(relay.callers, stream("plan", 20, 50, adapters[number%len(adapters)], 8*time.Second))
				switch {
				case got.complete && got.status == http.StatusOK:
					served.Add(1)
				case got.status == http.StatusOK:
					cut.Add(1)
				default:
					failed.Add(1)
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(4 * time.Second)
	setDemand("a2", "a3", "a4", "a5")
	second := newIncarnation(nil)
	if !trouble {
		time.Sleep(10 * time.Second)
		note("clients: %d streams whole, %d refused or failed, %d cut", served.Load(), failed.Load(), cut.Load())
		finish(exitHeld, "held: no order loaded more than %d adapters", adapterSlots)
	}
	select {
	case <-unanswered:
	case <-time.After(5 * time.Second):
		cannotRun("no order to load a5")
	}
	time.Sleep(time.Second)
	first.end("it crashes")
	time.Sleep(500 * time.Millisecond)
	setDemand("a2", "a3", "a4", "a6")
	second.overloaded = func(taken order, held int) {
		broken.Store(true)
		note("runner %s: was ordered to load %s while it holds %d adapters in %d slots; it crashes", second.id, taken.Adapter, held, adapterSlots)
		second.end("ordered to load more than it holds")
	}
	second.start(first.address)
	time.Sleep(time.Until(time.Unix(0, lateAt.Load()).Add(lateness)))
	second.mutex.Lock()
	note("runner %s: born %d, sequence %d, holds %v, pending %v", second.id, second.born, second.sequence, second.adapters, second.pending)
	second.mutex.Unlock()
	note("clients: %d streams whole, %d refused or failed, %d cut so far", served.Load(), failed.Load(), cut.Load())
	before := cut.Load()
	status := second.carryOut(late)
	note("runner %s: carries out late: order %v: %d", second.id, late, status)
	time.Sleep(time.Second)
	if broken.Load() {
		finish(exitBroken, "LIMIT broken: an order loaded a fifth adapter into four slots; the runner crashed and cut %d streams", cut.Load()-before)
	}
	finish(exitHeld, "held: the late order was answered with %d and loaded nothing beyond the slots", status)
}

// leavingUnframed: a runner that leaves ends while it runs streams that have neither
// a length nor chunks.
func leavingUnframed() {
	const events, gap, streams = 60, 100, 12
	running.store.put(topicOperator, "config", config(8))
	newRunner := func(id, address string) *runner {
		started := &runner{id: id, service: "advisor", adapterSlots: 8, store: running.store, models: []string{modelName}, unframed: true}
		started.start(address)
		return started
	}
	leaver, other := newRunner("i-7f3a91c2", "127.31.1.1:0"), newRunner("i-52c0d6e8", "127.31.1.2:0")
	relay := running.startRelay("edge-hall-a-1", "127.31.0.1")
	running.startLoader("side-hall-a-1", leaver.address)
	running.startLoader("side-hall-a-2", other.address)
	relay.awaitReady()
	time.Sleep(time.Second)

	// Short streams, as usual traffic.
	stop := make(chan struct{})
	var short, shortFailed atomic.Int64
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			go func() {
				if got := ask(relay.callers, stream("plan", 3, 20, "", 8*time.Second)); got.complete && got.status == http.StatusOK {
					short.Add(1)
				} else {
					shortFailed.Add(1)
				}
			}()
		}
	}()
	answers := make([]answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		prefix := [...]string{"plan", "note"}[i%2]
		group.Go(func() { answers[i] = ask(relay.callers, stream(prefix, events, gap, "", 15*time.Second)) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		leaver.leave()
		// It serves on for drain_ms and a little longer, and exits.
		time.Sleep(2500 * time.Millisecond)
		leaver.end("it has left")
	}
	group.Wait()
	close(stop)
	time.Sleep(500 * time.Millisecond)
	note("clients: %d short streams whole, %d not", short.Load(), shortFailed.Load())
	early, atLeaver := 0, 0
	for i, got := range answers {
		route := [...]string{"layout-note", "care-note (may be resumed)"}[i%2]
		note("client: %s: %v", route, got)
		leaver.mutex.Lock()
		if leaver.ran[got.id] > 0 {
			atLeaver++
		}
		leaver.mutex.Unlock()
		if got.complete && got.status == http.StatusOK && got.last < events {
			early++
			note("client: %s: the stream ended as complete after event %d of %d", got.id, got.last, events)
		}
	}
	switch {
	case early > 0:
		finish(exitBroken, "ORDER broken: %d of %d streams ended as complete before their last piece", early, streams)
	case atLeaver == 0:
		cannotRun("no stream ran at the runner that left")
	}
	finish(exitHeld, "held: no stream ended as complete before its last piece; %d of %d began at the runner that left", atLeaver, streams)
}

// frozenLoader: a runner crashes while the loader beside it is frozen, and runs streams that have
// neither a length nor chunks.
func frozenLoader() {
	const events, gap, streams = 60, 100, 12
	frozenFor := 3500 * time.Millisecond
	running.store.put(topicOperator, "config", config(8))
	var runners []*runner
	var loaders []*process
	relay := running.startRelay("edge-hall-a-1", "127.31.0.1")
	for i, id := range []string{"i-7f3a91c2", "i-52c0d6e8"} {
		started := &runner{id: id, service: "advisor", adapterSlots: 8, store: running.store, models: []string{modelName}, unframed: true}
		started.start(fmt.Sprintf("127.31.1.%d:0", i+1))
		runners = append(runners, started)
		loaders = append(loaders, running.startLoader(fmt.Sprintf("side-hall-a-%d", i+1), started.address))
	}
	relay.awaitReady()
	time.Sleep(time.Second)
	answers := make([]answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = ask(relay.callers, stream("plan", events, gap, "", 15*time.Second)) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	crashed := runners[0]
	if trouble {
		freeze, crash := os.Getenv("ONLY") != "crash", os.Getenv("ONLY") != "freeze"
		if freeze {
			note("platform: %s is frozen for %v", loaders[0].name, frozenFor)
			_ = loaders[0].command.Process.Signal(syscall.SIGSTOP)
		}
		time.Sleep(time.Second)
		if crash {
			crashed.end("it crashes")
		}
		time.Sleep(frozenFor - time.Second)
		if freeze {
			note("platform: %s is thawed", loaders[0].name)
			_ = loaders[0].command.Process.Signal(syscall.SIGCONT)
		}
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	early, atCrashed := 0, 0
	for _, got := range answers {
		note("client: layout-note: %v", got)
		crashed.mutex.Lock()
		if crashed.ran[got.id] > 0 {
			atCrashed++
		}
		crashed.mutex.Unlock()
		if got.complete && got.status == http.StatusOK && got.last < events {
			early++
			note("client: %s: the stream ended as complete after event %d of %d", got.id, got.last, events)
		}
	}
	switch {
	case early > 0:
		finish(exitBroken, "ORDER broken: %d of %d streams ended as complete before their last piece", early, streams)
	case atCrashed == 0:
		cannotRun("no stream ran at the runner that crashed")
	}
	finish(exitHeld, "held: no stream ended as complete before its last piece; %d of %d ran at the runner that crashes", atCrashed, streams)
}

// slowReader: clients read a booking's answer slowly, but all the time.
func slowReader() {
	const clients, size, part, pause = 6, 1 << 20, 4 << 10, 100 * time.Millisecond
	running.store.put(topicOperator, "config", config(8))
	counter := &runner{id: "i-c07a4411", service: "counter", store: running.store, answerBytes: size}
	counter.start("127.31.1.3:0")
	relay := running.startRelay("edge-hall-a-1", "127.31.0.1")
	relay.awaitReady()
	time.Sleep(500 * time.Millisecond)
	var cut, whole atomic.Int64
	var group sync.WaitGroup
	for number := range clients {
		group.Go(func() {
			conn, err := net.Dial("tcp", relay.callers)
			if err != nil {
				cannotRun("client: %v", err)
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReaderSize(conn, 4096)
			// The first request makes the connection a kept one.
			for _, slowly := range []bool{false, trouble} {
				got := answer{id: newID()}
				began := time.Now()
				if err := (request{method: http.MethodPost, path: "/book/1", body: "one bench", deadline: time.Minute}).write(conn, got.id); err != nil {
					got.err = err
				} else if response, err := http.ReadResponse(reader, nil); err != nil {
					got.err = err
				} else {
					got.status, got.header = response.StatusCode, response.Header
					buffer := make([]byte, part)
					for {
						n, err := response.Body.Read(buffer)
						got.body = append(got.body, buffer[:n]...)
						if err != nil {
							got.err = err
							break
						}
						if slowly {
							time.Sleep(pause)
						}
					}
					length, _ := strconv.Atoi(response.Header.Get("Content-Length"))
					got.complete = len(got.body) == length
				}
				got.took = time.Since(began)
				note("client %d, slowly %v: %v", number, slowly, got)
				if got.complete {
					whole.Add(1)
				} else {
					cut.Add(1)
					return
				}
			}
		})
	}
	group.Wait()
	if cut.Load() > 3 {
		finish(exitBroken, "LOST broken: the relay closed %d kept connections without a complete answer to a booking that a sound runner had run", cut.Load())
	}
	finish(exitHeld, "held: %d answers whole, %d cut", whole.Load(), cut.Load())
}

// optionsAsterisk: a request that no route matches.
func optionsAsterisk() {
	running.store.put(topicOperator, "config", config(8))
	counter := &runner{id: "i-c07a4411", service: "counter", store: running.store}
	counter.start("127.31.1.3:0")
	relay := running.startRelay("edge-hall-a-1", "127.31.0.1")
	relay.awaitReady()
	path := "*"
	if !trouble {
		path = "/nowhere/"
	}
	got := ask(relay.callers, request{method: http.MethodOptions, path: path, deadline: time.Second})
	note("client: OPTIONS %s: %v", path, got)
	if got.status/100 == 2 && got.header.Get(headerSeal) == "" {
		finish(exitBroken, "MIXED broken: OPTIONS %s got %d without a seal", path, got.status)
	}
	finish(exitHeld, "held: OPTIONS %s got %d", path, got.status)
}

// revokedKey: the store comes back from an earlier copy, which lacks the withdrawal of a key, while
// all relays are killed and start again.
func revokedKey() {
	const key, kept = "i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb"
	// Limits: the copy's age, how long the store is away, and how long relays are down.
	const copyAge, awayFor, downFor, rewriteAfter = 8 * time.Second, 500 * time.Millisecond, 650 * time.Millisecond, 2 * time.Second
	withKeys := func(version int, keys ...string) map[string]any {
		made := config(8)
		made["version"] = version
		for _, route := range made["routes"].([]any) {
			route.(map[string]any)["public"] = false
		}
		made["tenants"] = []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1, "unit": "token_based", "uncached_tokens": 200, "rate_per_s": 62311, "burst": 62311}}
		return made
	}
	running.store.put(topicOperator, "config", withKeys(7, key, kept))
	engine := &runner{id: "i-7f3a91c2", service: "advisor", adapterSlots: 8, store: running.store, models: []string{modelName}}
	engine.start("127.31.1.1:0")
	counter := &runner{id: "i-c07a4411", service: "counter", store: running.store}
	counter.start("127.31.1.3:0")
	relays := []*process{running.startRelay("edge-hall-a-1", "127.31.0.1"), running.startRelay("edge-hall-a-2", "127.31.0.2")}
	running.startLoader("side-hall-a-1", engine.address)
	for _, relay := range relays {
		relay.awaitReady()
	}
	time.Sleep(time.Second)
	look := func(relay *process, with string) answer {
		return ask(relay.callers, request{method: http.MethodGet, path: "/look/1", deadline: time.Second, header: map[string]string{"X-Api-Key": with}})
	}
	for _, relay := range relays {
		if got := look(relay, key); got.status != http.StatusOK {
			cannotRun("the key is not accepted before it is withdrawn: %v", got)
		}
	}
	copied := running.store.copied()
	copiedAt := time.Now()
	note("store: a copy is made; configuration 7 is the newest in it")
	time.Sleep(time.Second)
	running.store.put(topicOperator, "config", withKeys(8, kept))
	withdrawnAt := time.Now()
	note("operator: configuration 8 takes the key %s away; acknowledged", key)
	time.Sleep(time.Until(copiedAt.Add(copyAge)))
	for _, relay := range relays {
		got := look(relay, key)
		note("client: with the withdrawn key at %s: %v", relay.name, got)
		if got.status == http.StatusOK {
			finish(exitBroken, "CONFIG broken before the disruption")
		}
	}
	if trouble {
		running.store.leave()
		note("store: is away")
		for _, relay := range relays {
			relay.kill()
		}
		time.Sleep(awayFor)
		running.store.restore(copied)
		note("store: is back from the copy, %v old, Store-Era 1", time.Since(copiedAt).Round(100*time.Millisecond))
		time.AfterFunc(rewriteAfter, func() {
			note("operator: writes configuration 8 again")
			running.store.put(topicOperator, "config", withKeys(8, kept))
		})
		time.Sleep(downFor - awayFor)
		for _, relay := range relays {
			relay.run(running.folder)
		}
	}
	ran := 0
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, relay := range relays {
			got := look(relay, key)
			if got.status != 0 {
				note("client: with the withdrawn key at %s: %v", relay.name, got)
			}
			counter.mutex.Lock()
			if counter.ran[got.id] > 0 {
				ran++
			}
			counter.mutex.Unlock()
		}
	}
	good := look(relays[0], kept)
	note("client: with the other key at %s: %v", relays[0].name, good)
	if ran > 0 {
		finish(exitBroken, "CONFIG broken: %d requests with a key ran that was withdrawn %v before", ran, time.Since(withdrawnAt).Round(time.Second))
	}
	if good.status != http.StatusOK {
		cannotRun("the other key is not accepted: %v", good)
	}
	finish(exitHeld, "held: no request with the withdrawn key ran")
}
