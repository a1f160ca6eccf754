//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the product's program, at the place where the deploy file's build line
// puts it.
const program = "target/jacinthfront"

// deployment is a small deployment of real relays and loaders on stand-ins of the store
// and the runners.
type deployment struct {
	directory string
	store     *store
	storeAt   string
	// port is that of all datagrams between the processes.
	port int
	// zones holds the zones of the relays that startEngines starts.
	zones     []string
	relays    []*relay
	processes []*exec.Cmd
}

// relay is a running relay.
type relay struct {
	name, callers, probes string
	store                 *proxy
	command               *exec.Cmd
}

func newDeployment() *deployment {
	directory, err := os.MkdirTemp("", "review")
	check(err)
	deployment := &deployment{directory: directory, store: newStore(), zones: []string{"hall-a", "hall-b"}}
	deployment.storeAt = serve("127.0.0.1", deployment.store)
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	check(err)
	deployment.port = packets.LocalAddr().(*net.UDPAddr).Port
	check(packets.Close())
	return deployment
}

// startRelay starts a relay with the settings that deploy/relay.toml gives with the
// bounds of a small deployment.
func (deployment *deployment) startRelay(zone string) *relay {
	number := len(deployment.relays) + 1
	ip := fmt.Sprintf("127.0.0.%d", 30+number)
	relay := &relay{name: fmt.Sprintf("edge-%s-%d", zone, number), callers: freeAddress(ip), probes: freeAddress(ip), store: newProxy(deployment.storeAt)}
	relay.command = deployment.start(relay.name, "relay", fmt.Sprintf(`instance = "%s"
failure-domain = "%s"
store = "%s"

[listen]
callers = "%s"
probes = "%s"
metrics = "%s"

[peers]
listen = "%s:%d"

[bounds]
revoke = "5000ms"
grace = "8s"
retry-ratio = "0.2"
retry-extra = "58"
retry-window = "10s"
`, relay.name, zone, relay.store.address, relay.callers, relay.probes, freeAddress(ip), ip, deployment.port))
	deployment.relays = append(deployment.relays, relay)
	return relay
}

// startLoader starts the loader of an engine with the settings that deploy/loader.toml
// gives.
func (deployment *deployment) startLoader(zone string, engine *runner) {
	ip, _, err := net.SplitHostPort(engine.address)
	check(err)
	name := "side-" + engine.id
	deployment.start(name, "loader", fmt.Sprintf(`instance = "%s"
failure-domain = "%s"
engine = "%s"
metrics = "%s"

[peers]
listen = "%s:%d"
`, name, zone, engine.address, freeAddress(ip), ip, deployment.port))
}

// start writes a settings file and starts a process of the product with it.
func (deployment *deployment) start(name, role, settings string) *exec.Cmd {
	file := filepath.Join(deployment.directory, name+".toml")
	check(os.WriteFile(file, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(deployment.directory, name+".log"))
	check(err)
	command := exec.Command(program, role, "--settings", file)
	command.Stdout, command.Stderr = log, log
	// No process outlives this one, however it ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	deployment.processes = append(deployment.processes, command)
	record("%s started: %s %s", name, program, role)
	return command
}

// stop ends all processes that were started and removes their files.
func (deployment *deployment) stop() {
	for _, command := range deployment.processes {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.directory)
	} else {
		fmt.Println("logs are kept in", deployment.directory)
	}
}

// awaitReady waits until all relays answer their readiness probe with 200.
func (deployment *deployment) awaitReady() {
	for _, relay := range deployment.relays {
		await(10*time.Second, relay.name+" is not ready", relay.ready)
	}
}

func (relay *relay) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + relay.probes + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// listen listens on a free port of a loopback address.
func listen(ip string) net.Listener {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	return listener
}

// serve serves a handler on a free port until the process ends.
func serve(ip string, handler http.Handler) string {
	listener := listen(ip)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

func freeAddress(ip string) string {
	listener := listen(ip)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
