//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// config is the operator's configuration: an engine service, a plain one, and routes to them.
func config() map[string]any {
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
				"slots": 64, "kv_capacity_tokens": 122011, "stride": 3, "weights_mb": 66600.0, "adapter_slot_count": 8, "loads_per_s": 2.8,
				"models": []any{map[string]any{"name": modelName, "weights_mb": 65100.0, "load_time_s": 0.72, "adapters": 3000, "adapter_size_mb": 12.0}},
			}},
			map[string]any{"name": "counter", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{},
	}
}

// stream is a request of a streaming route.
func stream(route string, events, gap int, deadline time.Duration) request {
	return request{
		method: http.MethodPost, path: fmt.Sprintf("/%s/%d/%d", route, events, gap), body: "the prompt", deadline: deadline,
		header: map[string]string{headerModel: modelName, "X-Jacinthfront-Token-Usage": "200,60", "X-Jacinthfront-Prompt-Prefix": "5c1e07a2:120,e4402b7d:80"},
	}
}

// slowReader plays clients that read a booking's answer slowly, but all the time.
func slowReader() {
	const clients, size, part, pause = 9, 1 << 20, 4 << 10, 100 * time.Millisecond
	running.store.put(topicOperator, "config", config())
	counter := &runner{id: "i-c07a4411", service: "counter", store: running.store, answerBytes: size}
	counter.start("127.31.1.3")
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

// optionsAsterisk plays a request that no route matches.
func optionsAsterisk() {
	running.store.put(topicOperator, "config", config())
	counter := &runner{id: "i-c07a4411", service: "counter", store: running.store}
	counter.start("127.31.1.3")
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

// revokedKey plays a store that comes back from an earlier copy, which lacks the withdrawal of a key, while
// all relays are killed and start again.
func revokedKey() {
	const key, kept = "i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb"
	// Limits: the copy's age, how long the store is away, and how long relays are down.
	const copyAge, awayFor, downFor, rewriteAfter = 8 * time.Second, 500 * time.Millisecond, 650 * time.Millisecond, 2 * time.Second
	withKeys := func(version int, keys ...string) map[string]any {
		made := config()
		made["version"] = version
		for _, route := range made["routes"].([]any) {
			route.(map[string]any)["public"] = false
		}
		made["tenants"] = []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1, "unit": "token_based", "uncached_tokens": 200, "rate_per_s": 62311, "burst": 62311}}
		return made
	}
	running.store.put(topicOperator, "config", withKeys(7, key, kept))
	engine := &runner{id: "i-7f3a91c2", service: "advisor", store: running.store, models: []string{modelName}}
	engine.start("127.31.1.1")
	counter := &runner{id: "i-c07a4411", service: "counter", store: running.store}
	counter.start("127.31.1.3")
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
			if counter.hasRun(got.id) {
				ran++
			}
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

// unreadCut plays clients that read streams slowly for a time, whose runner cuts off what remains unread.
func unreadCut() {
	const events, gap, eventBytes, clients = 1500, 1, 1 << 10, 6
	const part, pause, slowFor = 2 << 10, 100 * time.Millisecond, 9 * time.Second
	running.store.put(topicOperator, "config", config())
	engine := &runner{
		id: "i-7f3a91c2", service: "advisor", store: running.store, models: []string{modelName},
		patience: 3 * time.Second, eventBytes: eventBytes,
	}
	engine.start("127.31.1.1")
	relay := running.startRelay("edge-hall-a-1", "127.31.0.1")
	running.startLoader("side-hall-a-1", engine.address)
	relay.awaitReady()
	time.Sleep(time.Second)
	var group sync.WaitGroup
	var early, whole, broken atomic.Int64
	for number := range clients {
		group.Go(func() {
			dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				// A small receive buffer, as small devices have it.
				return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
			}}
			conn, err := dialer.Dial("tcp", relay.callers)
			if err != nil {
				cannotRun("client: %v", err)
			}
			defer func() { _ = conn.Close() }()
			began := time.Now()
			got := answer{id: newID(), header: http.Header{}}
			slow := &pacedReader{conn: conn, part: part, pause: pause}
			if trouble {
				slow.until = began.Add(slowFor)
			}
			if err := stream([...]string{"plan", "note"}[number%2], events, gap, 15*time.Second).write(conn, got.id); err != nil {
				got.err = err
			} else {
				got.read(bufio.NewReaderSize(slow, part), http.MethodPost)
			}
			got.took = time.Since(began)
			note("client %d: %v", number, got)
			switch {
			case got.complete && got.status == http.StatusOK && got.last < events:
				early.Add(1)
				note("client %d: the stream ended as complete after event %d of %d", number, got.last, events)
			case got.complete && got.status == http.StatusOK:
				whole.Add(1)
			default:
				broken.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	engine.mutex.Lock()
	cutOff := engine.cutOff
	engine.mutex.Unlock()
	note("%d streams cut off as unread; at clients %d ended early as complete, %d whole, %d broken off or refused", cutOff, early.Load(), whole.Load(), broken.Load())
	switch {
	case early.Load() > 0:
		finish(exitBroken, "ORDER broken: %d of %d streams ended as complete before their last piece", early.Load(), clients)
	case trouble && cutOff == 0:
		cannotRun("no stream remained unread")
	}
	finish(exitHeld, "held: no stream ended as complete before its last piece")
}

// pacedReader reads a connection slowly until a time.
type pacedReader struct {
	conn  net.Conn
	part  int
	pause time.Duration
	until time.Time
}

// Read implements io.Reader.
func (reader *pacedReader) Read(buffer []byte) (int, error) {
	if time.Now().Before(reader.until) {
		time.Sleep(reader.pause)
		buffer = buffer[:min(len(buffer), reader.part)]
	}
	return reader.conn.Read(buffer)
}

// takenUp plays loaders and one of two relays that are killed at the same moment while two software
// versions serve, and clients take the streams of that relay up at the other one.
func takenUp() {
	const events, gap, streams, tries = 60, 100, 24, 4
	const downFor = 650 * time.Millisecond
	running.store.put(topicOperator, "config", config())
	var engines []*runner
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		engine := &runner{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: "advisor", store: running.store, models: []string{modelName}, version: version,
			patience: 10 * time.Second, eventBytes: 40,
		}
		engine.start(fmt.Sprintf("127.31.1.%d", i+1))
		engines = append(engines, engine)
	}
	relay, other := running.startRelay("edge-hall-a-1", "127.31.0.1"), running.startRelay("edge-hall-a-2", "127.31.0.2")
	var killed []*process
	for i, engine := range engines {
		killed = append(killed, running.startLoader(fmt.Sprintf("side-hall-a-%d", i+1), engine.address))
	}
	killed = append(killed, relay)
	relay.awaitReady()
	other.awaitReady()
	time.Sleep(time.Second)

	// New streams at the other relay all the while.
	stop := make(chan struct{})
	var newBegun, newAsked, taken, wentOn atomic.Int64
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			go func() {
				newAsked.Add(1)
				if got := ask(other.callers, stream("note", 3, 20, 5*time.Second)); got.status == http.StatusOK {
					newBegun.Add(1)
				}
			}()
		}
	}()
	var group sync.WaitGroup
	for number := range streams {
		group.Go(func() {
			deadline := time.Now().Add(15 * time.Second)
			first := ask(relay.callers, stream("note", events, gap, 15*time.Second))
			if first.complete || first.last == 0 || first.last == events {
				note("client %d: %v", number, first)
				return
			}
			taken.Add(1)
			for try := range tries {
				again := stream("note", events, gap, time.Until(deadline))
				again.header[headerLastEvent], again.header[headerResumes] = strconv.Itoa(first.last), first.id
				got := ask(other.callers, again)
				note("client %d: stream of %s, last event %d, taken up, try %d: %v, Retry-After %q, %q", number, first.id, first.last, try+1, got, got.header.Get(headerRetryAfter), got.refusal())
				if got.status == http.StatusOK && got.last > first.last {
					wentOn.Add(1)
					return
				}
				after, _ := strconv.ParseFloat(got.header.Get(headerRetryAfter), 64)
				wait := min(time.Duration(after*float64(time.Second)), time.Until(deadline)/3)
				time.Sleep(max(wait, 200*time.Millisecond))
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		note("platform: kills all loaders and %s", relay.name)
		for _, process := range killed {
			_ = process.command.Process.Kill()
		}
		time.Sleep(downFor)
		for _, process := range killed {
			_ = process.command.Wait()
			process.run(running.folder)
		}
	}
	group.Wait()
	close(stop)
	time.Sleep(300 * time.Millisecond)
	share, newShare := float64(wentOn.Load())/max(float64(taken.Load()), 1), float64(newBegun.Load())/max(float64(newAsked.Load()), 1)
	note("clients: %d of %d streams taken up went on, %d of %d new streams began", wentOn.Load(), taken.Load(), newBegun.Load(), newAsked.Load())
	switch {
	case taken.Load() >= 12 && share < newShare/2:
		finish(exitBroken, "LOST broken: %d of %d streams that were taken up went on, and %d of %d new streams began", wentOn.Load(), taken.Load(), newBegun.Load(), newAsked.Load())
	case trouble && taken.Load() < 12:
		cannotRun("only %d streams were taken up", taken.Load())
	}
	finish(exitHeld, "held: %d of %d streams that were taken up went on, and %d of %d new streams began", wentOn.Load(), taken.Load(), newBegun.Load(), newAsked.Load())
}
