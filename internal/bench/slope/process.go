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

// build is the product's binary, built when the first row needs it.
type build struct {
	directory string
}

// product is the build of this run.
var product build

// path returns the binary's path.
func (build *build) path(ctx context.Context) (string, error) {
	const name = "jacinthfront"
	if build.directory != "" {
		return filepath.Join(build.directory, name), nil
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
	build.directory = directory
	return file, nil
}

// remove deletes the binary.
func (build *build) remove() {
	if build.directory != "" {
		_ = os.RemoveAll(build.directory)
		build.directory = ""
	}
}

// ground is what surrounds processes of the real binary: the platform stand-in
// and the settings' directory.
type ground struct {
	platform  *infra.Platform
	url       string
	directory string
	counter   *counter
	stops     []func()
	running   []*osProcess
	version   uint64
}

// newGround serves a platform whose log holds a configuration.
func newGround(ctx context.Context, state shape, keys ...conf.KeySpec) (*ground, error) {
	config := infra.DefaultConfig()
	config.ListLag = 0
	config.LoadRate, config.LoadBurst = 1000, 1000
	config.LoadTime = time.Millisecond
	platform, err := infra.New(config)
	if err != nil {
		return nil, err
	}
	ground := &ground{platform: platform, counter: newCounter()}
	if ground.directory, err = os.MkdirTemp("", "slopes"); err != nil {
		return nil, err
	}
	ground.stops = append(ground.stops, func() { _ = os.RemoveAll(ground.directory) })
	address, err := ground.serve(ctx, platform)
	if err != nil {
		ground.close()
		return nil, err
	}
	ground.url = "http://" + address
	if err := ground.publishAll(state, keys); err != nil {
		ground.close()
		return nil, err
	}
	return ground, nil
}

// serve serves a stand-in and counts its traffic as that of its callers.
func (ground *ground) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(countedListener{listener, ground.counter}) }()
	ground.stops = append(ground.stops, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// countedListener counts what callers receive from and send to a stand-in.
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

// acceptedConn counts a connection from the side of its server.
type acceptedConn struct {
	net.Conn
	counter *counter
	mutex   sync.Mutex
	kind    string
}

// Read implements net.Conn. What the server reads, its caller has sent.
func (conn *acceptedConn) Read(data []byte) (int, error) {
	read, err := conn.Conn.Read(data)
	added := flow{sent: read}
	conn.mutex.Lock()
	if kind := kindOf(data[:read]); kind != "" {
		conn.kind = kind
		added.calls++
	}
	kind := conn.kind
	conn.mutex.Unlock()
	conn.counter.add("", kind, added)
	return read, err
}

// Write implements net.Conn.
func (conn *acceptedConn) Write(data []byte) (int, error) {
	written, err := conn.Conn.Write(data)
	conn.mutex.Lock()
	kind := conn.kind
	conn.mutex.Unlock()
	conn.counter.add("", kind, flow{received: written})
	return written, err
}

// patchOps is the number of operations of a patch of the initial configuration.
const patchOps = 1000

// publishAll puts a configuration on the log as patches.
func (ground *ground) publishAll(state shape, keys []conf.KeySpec) error {
	config := state.state().Config
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
	for index := range state.adapters {
		ops = append(ops, patch.PutAdapter{Adapter: adapterSpec(index, state.organisations)})
	}
	for len(ops) > 0 {
		count := min(patchOps, len(ops))
		if err := ground.publish(ops[:count]...); err != nil {
			return err
		}
		ops = ops[count:]
	}
	return nil
}

// publish puts a patch on the log.
func (ground *ground) publish(ops ...patch.Op) error {
	data, err := codec.EncodePatch(patch.Patch{
		ID: fmt.Sprintf("slope-%d", ground.version), BaseVersion: ground.version, Operator: "slope", Ops: ops,
	})
	if err != nil {
		return err
	}
	ground.platform.Append("config", data)
	ground.version++
	return nil
}

// close ends all processes and stand-ins.
func (ground *ground) close() {
	for _, process := range ground.running {
		process.end()
	}
	for index := len(ground.stops) - 1; index >= 0; index-- {
		ground.stops[index]()
	}
}

// free returns an unused loopback address.
func free(ctx context.Context) (string, error) {
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

// common fills the settings that both roles share.
func (ground *ground) common(ctx context.Context, process *setup.Process, instance string) error {
	process.Instance, process.FailureDomain = instance, domainName(0)
	process.Platform = setup.Platform{LogURL: ground.url, InstancesURL: ground.url}
	process.Log.Level = "error"
	var err error
	if process.Listen.Peers, err = free(ctx); err != nil {
		return err
	}
	process.Listen.Operators, err = free(ctx)
	return err
}

// startSide starts a side process.
func (ground *ground) startSide(ctx context.Context, upstream, url string, concurrency int) (*osProcess, error) {
	settings := setup.DefaultSide()
	if err := ground.common(ctx, &settings.Process, "side-"+upstream); err != nil {
		return nil, err
	}
	settings.Upstream.ID, settings.Upstream.URL, settings.Upstream.Concurrency = upstream, url, concurrency
	settings.Queue.Requests, settings.Queue.Tokens = 8192, 8<<20
	process := &osProcess{operators: settings.Listen.Operators, peers: settings.Listen.Peers}
	if err := ground.start(ctx, process, "side", settings); err != nil {
		return nil, err
	}
	return process, ground.platform.PutInstance(infra.Instance{
		ID: settings.Instance, Role: "side", Upstream: upstream, Address: process.peers, FailureDomain: settings.FailureDomain,
	})
}

// startEntry starts an entry instance.
func (ground *ground) startEntry(ctx context.Context) (*osProcess, error) {
	settings := setup.DefaultEntry()
	if err := ground.common(ctx, &settings.Process, "entry-1"); err != nil {
		return nil, err
	}
	var err error
	if settings.Listen.Callers, err = free(ctx); err != nil {
		return nil, err
	}
	process := &osProcess{operators: settings.Listen.Operators, peers: settings.Listen.Peers, callers: settings.Listen.Callers}
	if err := ground.start(ctx, process, "entry", settings); err != nil {
		return nil, err
	}
	return process, ground.platform.PutInstance(infra.Instance{
		ID: settings.Instance, Role: "entry", Address: process.peers, FailureDomain: settings.FailureDomain,
	})
}

// start runs the binary and waits until the process is ready.
func (ground *ground) start(ctx context.Context, process *osProcess, role string, settings any) error {
	path, err := product.path(ctx)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(settings); err != nil {
		return err
	}
	file := filepath.Join(ground.directory, fmt.Sprintf("%s-%d.toml", role, len(ground.running)))
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		return err
	}
	process.output = &bytes.Buffer{}
	process.command = exec.CommandContext(ctx, path, role, "--settings", file)
	process.command.Stdout, process.command.Stderr = process.output, process.output
	started := time.Now()
	if err := process.command.Start(); err != nil {
		return err
	}
	ground.running = append(ground.running, process)
	if err := process.awaitReady(ctx); err != nil {
		return err
	}
	process.startup = time.Since(started)
	return nil
}

// readyLimit bounds the start of a process.
const readyLimit = 60 * time.Second

func (process *osProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
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
			return fmt.Errorf("not ready after %v: %s", readyLimit, process.output)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// end ends the process, which this program has started.
func (process *osProcess) end() {
	_ = process.command.Process.Kill()
	_ = process.command.Wait()
}

// status returns a value in bytes from the process's status file.
func (process *osProcess) status(field string) (float64, error) {
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

// clockTick is the unit of processor times in /proc, which Linux fixes.
const clockTick = 10 * time.Millisecond

// processor returns the processor time that the process has used.
func (process *osProcess) processor() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The command's name may hold spaces; the fields after it start at the third.
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
