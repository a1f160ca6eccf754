package slope

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// binary is the jacinthfront binary, built when the first row needs it.
type binary struct {
	directory string
}

// builtBinary is the binary that all rows of this run use.
var builtBinary binary

// path returns the path of the binary and builds it on the first call.
func (binary *binary) path(ctx context.Context) (string, error) {
	const name = "jacinthfront"
	if binary.directory != "" {
		return filepath.Join(binary.directory, name), nil
	}
	directory, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return "", err
	}
	file := filepath.Join(directory, name)
	command := exec.CommandContext(ctx, "go", "build", "-o", file, "jacinthfront.dev/jacinthfront/cmd/jacinthfront")
	if output, err := command.CombinedOutput(); err != nil {
		_ = os.RemoveAll(directory)
		return "", fmt.Errorf("build: %w: %s; run this command in the repository", err, output)
	}
	binary.directory = directory
	return file, nil
}

// remove deletes the binary.
func (binary *binary) remove() {
	if binary.directory != "" {
		_ = os.RemoveAll(binary.directory)
		binary.directory = ""
	}
}

// environment runs processes of the real binary against a platform simulator in
// this process. It holds their settings files and counts the traffic that the
// simulators serve.
type environment struct {
	platform  *infra.Platform
	url       string
	directory string
	counter   *counter
	// cleanups are called in reverse order by close.
	cleanups  []func()
	processes []*osProcess
	// version is the version of the configuration on the log.
	version uint64
}

// newEnvironment serves a platform simulator whose log holds a configuration of
// a size, with additional keys.
func newEnvironment(ctx context.Context, size configSize, keys ...conf.KeySpec) (*environment, error) {
	config := infra.DefaultConfig()
	config.ListLag = 0
	config.LoadRate, config.LoadBurst = 1000, 1000
	config.LoadTime = time.Millisecond
	platform, err := infra.New(config)
	if err != nil {
		return nil, err
	}
	environment := &environment{platform: platform, counter: newCounter()}
	if environment.directory, err = os.MkdirTemp("", "slopes"); err != nil {
		return nil, err
	}
	environment.cleanups = append(environment.cleanups, func() { _ = os.RemoveAll(environment.directory) })
	address, err := environment.serve(ctx, platform)
	if err != nil {
		environment.close()
		return nil, err
	}
	environment.url = "http://" + address
	if err := environment.publishConfig(size, keys); err != nil {
		environment.close()
		return nil, err
	}
	return environment, nil
}

// serve serves a simulator on a loopback address and counts its traffic from the
// point of view of its callers.
func (environment *environment) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(countedListener{listener, environment.counter}) }()
	environment.cleanups = append(environment.cleanups, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// countedListener counts what callers send to a simulator and receive from it.
type countedListener struct {
	net.Listener
	counter *counter
}

// Accept implements net.Listener.
func (listener countedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &acceptedConn{Conn: conn, counter: listener.counter, kind: kindOther}, nil
}

// acceptedConn counts the traffic of a connection at its server.
type acceptedConn struct {
	net.Conn
	counter *counter
	mutex   sync.Mutex
	kind    string
}

// Read implements net.Conn. What the server reads counts as sent by the caller.
func (conn *acceptedConn) Read(data []byte) (int, error) {
	read, err := conn.Conn.Read(data)
	delta := trafficCount{sent: read}
	conn.mutex.Lock()
	if kind := kindOf(data[:read]); kind != "" {
		conn.kind = kind
		delta.calls++
	}
	kind := conn.kind
	conn.mutex.Unlock()
	conn.counter.add("", kind, delta)
	return read, err
}

// Write implements net.Conn.
func (conn *acceptedConn) Write(data []byte) (int, error) {
	written, err := conn.Conn.Write(data)
	conn.mutex.Lock()
	kind := conn.kind
	conn.mutex.Unlock()
	conn.counter.add("", kind, trafficCount{received: written})
	return written, err
}

// opsPerPatch is the number of operations in a patch of the initial configuration.
const opsPerPatch = 1000

// publishConfig appends a configuration of a size to the log as patches.
func (environment *environment) publishConfig(size configSize, keys []conf.KeySpec) error {
	config := size.state().Config
	var ops []patch.Op
	for _, upstream := range config.Upstreams() {
		ops = append(ops, patch.PutUpstream{Upstream: upstream})
	}
	for _, route := range config.Routes() {
		ops = append(ops, patch.PutRoute{Route: route})
	}
	for _, organisation := range config.Organisations() {
		organisation.Shards = nil
		ops = append(ops, patch.PutOrganisation{Organisation: organisation})
	}
	for _, key := range append(config.Keys(), keys...) {
		ops = append(ops, patch.PutKey{Key: key})
	}
	for index := range size.adapters {
		ops = append(ops, patch.PutAdapter{Adapter: adapterSpec(index, size.organisations)})
	}
	for len(ops) > 0 {
		count := min(opsPerPatch, len(ops))
		if err := environment.publishPatch(ops[:count]...); err != nil {
			return err
		}
		ops = ops[count:]
	}
	return nil
}

// publishPatch appends a patch to the log.
func (environment *environment) publishPatch(ops ...patch.Op) error {
	data, err := codec.EncodePatch(patch.Patch{
		ID: fmt.Sprintf("slope-%d", environment.version), BaseVersion: environment.version, Operator: "slope", Ops: ops,
	})
	if err != nil {
		return err
	}
	environment.platform.Append("config", data)
	environment.version++
	return nil
}

// close ends all processes and simulators.
func (environment *environment) close() {
	for _, process := range environment.processes {
		process.kill()
	}
	for index := len(environment.cleanups) - 1; index >= 0; index-- {
		environment.cleanups[index]()
	}
}

// unusedAddress returns an unused loopback address.
func unusedAddress(ctx context.Context) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// osProcess is a process of the real binary.
type osProcess struct {
	command   *exec.Cmd
	output    *bytes.Buffer
	operators string
	callers   string
	peers     string
	// startup is the time from exec to readiness.
	startup time.Duration
}

// setCommon fills in the settings that both roles share.
func (environment *environment) setCommon(ctx context.Context, process *setup.Process, instance string) error {
	process.Instance, process.FailureDomain = instance, domainName(0)
	process.Platform = setup.Platform{LogURL: environment.url, InstancesURL: environment.url}
	process.Log.Level = "error"
	var err error
	if process.Listen.Peers, err = unusedAddress(ctx); err != nil {
		return err
	}
	process.Listen.Operators, err = unusedAddress(ctx)
	return err
}

// startSide starts a side process and announces it on the instance list.
func (environment *environment) startSide(ctx context.Context, upstream, url string, concurrency int) (*osProcess, error) {
	settings := setup.DefaultSide()
	if err := environment.setCommon(ctx, &settings.Process, "side-"+upstream); err != nil {
		return nil, err
	}
	settings.Upstream.ID, settings.Upstream.URL, settings.Upstream.Concurrency = upstream, url, concurrency
	settings.Queue.Requests, settings.Queue.Tokens = 8192, 8<<20
	process := &osProcess{operators: settings.Listen.Operators, peers: settings.Listen.Peers}
	if err := environment.start(ctx, process, "side", settings); err != nil {
		return nil, err
	}
	return process, environment.platform.PutInstance(infra.Instance{
		ID: settings.Instance, Role: "side", Upstream: upstream, Address: process.peers, FailureDomain: settings.FailureDomain,
	})
}

// startEntry starts an entry instance and announces it on the instance list.
func (environment *environment) startEntry(ctx context.Context) (*osProcess, error) {
	settings := setup.DefaultEntry()
	if err := environment.setCommon(ctx, &settings.Process, "entry-1"); err != nil {
		return nil, err
	}
	var err error
	if settings.Listen.Callers, err = unusedAddress(ctx); err != nil {
		return nil, err
	}
	process := &osProcess{operators: settings.Listen.Operators, peers: settings.Listen.Peers, callers: settings.Listen.Callers}
	if err := environment.start(ctx, process, "entry", settings); err != nil {
		return nil, err
	}
	return process, environment.platform.PutInstance(infra.Instance{
		ID: settings.Instance, Role: "entry", Address: process.peers, FailureDomain: settings.FailureDomain,
	})
}

// start runs the binary and waits until the process is ready.
func (environment *environment) start(ctx context.Context, process *osProcess, role string, settings any) error {
	path, err := builtBinary.path(ctx)
	if err != nil {
		return err
	}
	var encoded bytes.Buffer
	if err := toml.NewEncoder(&encoded).Encode(settings); err != nil {
		return err
	}
	file := filepath.Join(environment.directory, fmt.Sprintf("%s-%d.toml", role, len(environment.processes)))
	if err := os.WriteFile(file, encoded.Bytes(), 0o600); err != nil {
		return err
	}
	process.output = &bytes.Buffer{}
	process.command = exec.CommandContext(ctx, path, role, "--settings", file)
	process.command.Stdout, process.command.Stderr = process.output, process.output
	started := time.Now()
	if err := process.command.Start(); err != nil {
		return err
	}
	environment.processes = append(environment.processes, process)
	if err := process.awaitReady(ctx); err != nil {
		return err
	}
	process.startup = time.Since(started)
	return nil
}

// readyTimeout limits the time from the start of a process to its readiness.
const readyTimeout = 60 * time.Second

func (process *osProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.operators+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if ctx.Err() != nil {
			return fmt.Errorf("not ready after %v: %s", readyTimeout, process.output)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// kill kills the process and waits for its end.
func (process *osProcess) kill() {
	_ = process.command.Process.Kill()
	_ = process.command.Wait()
}

// statusBytes returns a field of /proc/PID/status, converted from kB to bytes.
func (process *osProcess) statusBytes(field string) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kilobytes, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kilobytes * 1024, err
		}
	}
	return 0, errors.New("no field " + field)
}

// clockTick is the unit of the processor times in /proc/PID/stat, which Linux
// fixes.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that the process has used, in user and
// system mode.
func (process *osProcess) cpuTime() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	// Field 2, the command's name in parentheses, may contain spaces. The fields
	// are split after it, so that fields[0] is field 3.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.New("unknown form of /proc/PID/stat")
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}
