//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program is the project's program, built by the deploy file's build line, and standIn
	// this one. Both are run from the repository's root.
	program = "target/jacinthfront"
	standIn = "target/review-2"
	host    = "a.example"
	key     = "key-1"
	// readyTimeout is how long a relay may take until it is ready.
	readyTimeout = 10 * time.Second
	// heartbeat is the time between two status reports of a runner.
	heartbeat = 1200 * time.Millisecond
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// bed is a small deployment: processes, the store and the record of a script.
type bed struct {
	folder    string
	start     time.Time
	peerPort  int
	storeAddr string
	store     *store

	mutex     sync.Mutex
	record    *os.File
	processes []*process
	// listed holds the start of the runner that an entry of the store is of, by its id.
	listed map[string]int64
}

// process is a process that the script started.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
	// unlisted is closed when a runner no longer writes its entry.
	unlisted chan struct{}
}

// newBed returns a deployment without processes. What happens is written to a file.
func newBed(recordPath string) *bed {
	folder, err := os.MkdirTemp("", "review-2-")
	check(err)
	record, err := os.Create(recordPath)
	check(err)
	bed := &bed{folder: folder, start: time.Now(), peerPort: freePort("127.0.0.1"), store: newStore(), record: record, listed: make(map[string]int64)}
	bed.storeAddr = bed.store.serve()
	return bed
}

// note writes a line to the record.
func (bed *bed) note(format string, arguments ...any) {
	bed.mutex.Lock()
	defer bed.mutex.Unlock()
	fmt.Fprintf(bed.record, "%8.3f s  %s\n", time.Since(bed.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// end ends all processes and exits. A verdict is the last line of the record.
func (bed *bed) end(code int, format string, arguments ...any) {
	bed.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
	bed.mutex.Lock()
	processes := bed.processes
	bed.mutex.Unlock()
	for _, process := range processes {
		process.kill()
	}
	_ = os.RemoveAll(bed.folder)
	os.Exit(code)
}

// run starts a process. Its output goes to the record if noted is set, else to a file of
// the temporary folder.
func (bed *bed) run(name string, noted bool, words ...string) *process {
	command := exec.Command(words[0], words[1:]...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	check(err)
	command.Stderr = command.Stdout
	check(command.Start())
	process := &process{name: name, command: command, ended: make(chan struct{}), unlisted: make(chan struct{})}
	bed.mutex.Lock()
	bed.processes = append(bed.processes, process)
	bed.mutex.Unlock()
	bed.note("starts %s: %s", name, strings.ReplaceAll(strings.Join(words, " "), bed.folder+"/", "FOLDER/"))
	go func() {
		defer close(process.ended)
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if noted || os.Getenv("LOGS") != "" {
				bed.note("%s | %s", name, lines.Text())
			}
		}
		_, _ = io.Copy(io.Discard, output)
		err := command.Wait()
		bed.note("%s ended: %v", name, err)
	}()
	return process
}

// kill kills a process and waits for its end.
func (process *process) kill() {
	_ = process.command.Process.Kill()
	<-process.ended
}

// signal sends a signal to a process.
func (process *process) signal(signal syscall.Signal) { _ = process.command.Process.Signal(signal) }

// write writes a file of the temporary folder and returns its path.
func (bed *bed) write(name, text string) string {
	path := filepath.Join(bed.folder, name)
	check(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// relay is a relay with its addresses.
type relay struct {
	*process
	callers, probes string
}

// startRelay starts a relay at a loopback IP with the settings that deploy/relay.toml gives
// on a small site, and waits until it is ready.
func (bed *bed) startRelay(name, ip string) *relay {
	callers, probes, metrics := freeAddress(ip), freeAddress(ip), freeAddress(ip)
	path := bed.write(name+".toml", fmt.Sprintf(`instance = %q
failure-domain = "hall-a"
store = %q
heartbeat = "1200ms"
memory-mb = "284"

[listen]
callers = %q
probes = %q
metrics = %q

[peers]
listen = "%s:%d"

[bounds]
revoke = "5000ms"
config-apply = "2000ms"
version = "5000ms"
drain = "2000ms"
grace = "8s"
retry-ratio = "0.2"
retry-extra = "58"
retry-window = "10s"
`, name, bed.storeAddr, callers, probes, metrics, ip, bed.peerPort))
	relay := &relay{bed.run(name, false, program, "relay", "--settings", path), callers, probes}
	bed.awaitReady(relay)
	return relay
}

// awaitReady waits until a relay is ready.
func (bed *bed) awaitReady(relay *relay) {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + relay.probes + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			bed.note("%s is ready", relay.name)
			return
		}
	}
	bed.end(exitNotRun, "not run: %s is not ready after %v", relay.name, readyTimeout)
}

// startLoader starts the loader beside an engine.
func (bed *bed) startLoader(name, ip, engine string) *process {
	path := bed.write(name+".toml", fmt.Sprintf(`instance = %q
failure-domain = "hall-a"
engine = %q
metrics = %q

[peers]
listen = "%s:%d"
`, name, engine, freeAddress(ip), ip, bed.peerPort))
	return bed.run(name, false, program, "loader", "--settings", path)
}

// runnerSpec is what a runner is started with.
type runnerSpec struct {
	id, service, address string
	slots                int
	flags                []string
	// listed is the address in its entry, address if it is empty.
	listed string
}

// startRunner starts a runner and writes its entry.
func (bed *bed) startRunner(spec runnerSpec) *process {
	born := time.Now().UnixMilli()
	words := append([]string{standIn, "runner", "--id", spec.id, "--address", spec.address, "--born", fmt.Sprint(born)}, spec.flags...)
	process := bed.run("runner "+spec.id, true, words...)
	for range 200 {
		if conn, err := net.Dial("tcp", spec.address); err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	bed.note("entry servers/%s: ready, born %d", spec.id, born)
	bed.list(spec, born, 0)
	go bed.keepListed(process, spec, born)
	return process
}

// list writes a runner's entry.
func (bed *bed) list(spec runnerSpec, born int64, sequence int) {
	address := spec.listed
	if address == "" {
		address = spec.address
	}
	bed.mutex.Lock()
	defer bed.mutex.Unlock()
	bed.listed[spec.id] = born
	bed.store.put(topicServers, spec.id, map[string]any{
		"service": spec.service, "address": address, "zone": "hall-a", "version": "v1", "slots": spec.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born,
	})
}

// keepListed writes a runner's entry once every heartbeat. Three heartbeats after the runner's
// end the entry is removed, unless the runner has started again under its id.
func (bed *bed) keepListed(process *process, spec runnerSpec, born int64) {
	for sequence := 1; ; sequence++ {
		select {
		case <-time.After(heartbeat):
			bed.list(spec, born, sequence)
		case <-process.unlisted:
			return
		case <-process.ended:
			time.Sleep(3 * heartbeat)
			bed.unlist(spec, born)
			return
		}
	}
}

// unlist removes the entry of a runner that started at a time.
func (bed *bed) unlist(spec runnerSpec, born int64) {
	bed.mutex.Lock()
	defer bed.mutex.Unlock()
	if bed.listed[spec.id] == born {
		bed.store.drop(topicServers, spec.id)
	}
}

// plainConfig returns a configuration with one plain service, counter, and a route to it.
func plainConfig(route map[string]any) map[string]any {
	config := engineConfig(0, nil)
	order := map[string]any{
		"name": "order", "host": host, "path_prefix": "/order/", "route_type": "unsafe", "service": "counter",
		"timeout_ms": 1500, "target_latency_ms": 100, "priority": 2, "max_attempts": 2,
	}
	for name, value := range route {
		order[name] = value
	}
	config["routes"] = []any{order}
	config["services"] = []any{map[string]any{"name": "counter", "max_connections": 110, "health_path": "/healthz"}}
	return config
}

// engineConfig returns a configuration with one service of engines, advisor, and a route of
// streams to it.
func engineConfig(places int, route map[string]any) map[string]any {
	draft := map[string]any{
		"name": "draft", "host": host, "path_prefix": "/draft/", "route_type": "streaming", "service": "advisor",
		"timeout_ms": 20_000, "target_latency_ms": 1000, "target_gap_ms": 300, "priority": 1, "max_attempts": 1,
	}
	for name, value := range route {
		draft[name] = value
	}
	return map[string]any{
		"version": 1, "routes": []any{draft},
		"services": []any{map[string]any{"name": "advisor", "max_connections": 240, "engine": map[string]any{
			"slots": 64, "stride": 3, "adapter_slot_count": places, "kv_capacity_tokens": 100_000, "weights_mb": 67_000,
			"models": []any{map[string]any{"name": modelName, "weights_mb": 65_000, "load_time_s": 0.6, "adapters": 3000, "adapter_size_mb": 12}},
		}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 20000},
		"tenants": []any{map[string]any{"name": "hule", "api_keys": []string{key}, "unit": "token_based", "uncached_tokens": 200, "rate_per_s": 100_000, "burst": 100_000}},
	}
}

// reply is what a client received.
type reply struct {
	status int
	seal   string
	body   string
	header http.Header
	// cut is why the answer is not whole, nil if it is.
	cut error
}

// events returns the number of events in the body.
func (reply reply) events() int { return strings.Count(reply.body, "\n\n") }

// call sends a request to a relay and reads the answer to its end.
func (bed *bed) call(relay *relay, method, path, id string, headers map[string]string) reply {
	request, err := http.NewRequest(method, "http://"+relay.callers+path, strings.NewReader("prompt"))
	check(err)
	request.Host = host
	request.Header.Set(headerAttempt, id)
	request.Header.Set(headerKey, key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{cut: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get(headerSeal), string(text), response.Header, err}
}

// usedPorts holds the ports that were chosen.
var usedPorts sync.Map

// freePort returns a port that is free for TCP and UDP at a loopback IP, below the ports that the
// operating system assigns.
func freePort(ip string) int {
	for range 1000 {
		port := 12_000 + rand.IntN(20_000)
		if _, taken := usedPorts.LoadOrStore(port, true); taken {
			continue
		}
		address := fmt.Sprintf("%s:%d", ip, port)
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = packets.Close()
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return port
	}
	panic("no port is free")
}

func freeAddress(ip string) string { return fmt.Sprintf("%s:%d", ip, freePort(ip)) }

// check ends the script if it cannot run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(exitNotRun)
	}
}
