package chaos

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/daemon/start"
)

// window is a time in which a process could not be reached or was not running.
type window struct{ from, until time.Time }

// process is one process of ours, which may end and start again.
type process struct {
	world    *world
	name     string
	upstream string
	callers  string
	entry    setup.Entry
	side     setup.Side

	mutex sync.Mutex
	// probe replaces the readiness of running for a process of the system.
	probe   func() bool
	running *start.Process
	client  *http.Client
	started time.Time
	// ended counts unclean ends, and cut says that a caller's connection was cut.
	ended   int
	stopped bool
	// state is the one on the instance list.
	state string
	// windows are the times without touch, absences those without a process.
	windows, absences []window
}

const (
	peersPort     = 9000
	operatorsPort = 9001
	callersPort   = 8080
)

func (world *world) settings(process setup.Process, name string) setup.Process {
	process.Instance, process.FailureDomain = name, "domain-a"
	process.Listen.Peers, process.Listen.Operators = world.address(name, peersPort), world.address(name, operatorsPort)
	platform := "http://" + world.address(platformName, servicePort)
	process.Platform = setup.Platform{LogURL: platform, InstancesURL: platform}
	process.Shutdown.DrainLimit = requestLimit + 3*time.Second
	return process
}

func (world *world) newSide(index int, upstream string) *process {
	side := setup.DefaultSide()
	name := "side-" + upstream
	side.Process = world.settings(side.Process, name)
	side.Upstream.ID, side.Upstream.URL = upstream, "http://"+world.address(upstream, servicePort)
	side.RequestLimit, side.Seed = requestLimit, world.schedule.Seed+uint64(index)+1
	side.Claims.Partitions = 8
	world.network.Exempt(direction{name, upstream})
	return &process{world: world, name: name, upstream: upstream, side: side}
}

func (world *world) newEntry(index int) *process {
	entry := setup.DefaultEntry()
	name := fmt.Sprintf("entry-%d", index+1)
	entry.Process = world.settings(entry.Process, name)
	entry.Listen.Callers = world.address(name, callersPort)
	entry.Limits.RequestLimit = requestLimit
	entry.Routing.Seed = world.schedule.Seed + uint64(index) + 1
	return &process{world: world, name: name, callers: entry.Listen.Callers, entry: entry}
}

func (world *world) dialer(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return world.network.Dial(ctx, name, address)
	}
}

// start starts the process and puts it on the instance list.
func (process *process) start() error {
	world := process.world
	client := world.httpClient(process.name)
	environment := start.Environment{
		Listen: func(address string) (net.Listener, error) { return world.network.Listen(process.name, address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return world.network.Dial(ctx, process.name, address)
		},
		HTTP: client, Logger: world.logger,
	}
	var running *start.Process
	var err error
	if process.upstream == "" {
		running, err = start.Entry(process.entry, environment)
	} else {
		running, err = start.Side(process.side, environment)
	}
	if err != nil {
		return err
	}
	process.mutex.Lock()
	process.running, process.client, process.started, process.stopped = running, client, time.Now(), false
	process.mutex.Unlock()
	return process.announce()
}

// announce puts the process on the instance list in its state.
func (process *process) announce() error {
	if process.state == "" {
		process.state = infra.StateLive
	}
	return process.world.platform.PutInstance(process.listed(process.state))
}

func (process *process) listed(state string) infra.Instance {
	role := "entry"
	if process.upstream != "" {
		role = "side"
	}
	return infra.Instance{
		ID: process.name, Role: role, Upstream: process.upstream, Address: process.world.address(process.name, peersPort),
		FailureDomain: "domain-a", State: state,
	}
}

// current returns the running process, or nil.
func (process *process) current() *start.Process {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.running
}

func (process *process) ready() bool {
	if process.probe != nil {
		return process.probe()
	}
	running := process.current()
	return running != nil && running.Ready()
}

// kill ends the process at once. Nothing that it sends while it ends gets out.
func (process *process) kill() {
	process.mutex.Lock()
	running, client := process.running, process.client
	process.running = nil
	process.ended++
	process.mutex.Unlock()
	if running == nil {
		return
	}
	world := process.world
	world.network.Pause(process.name, 1)
	world.network.isolate(process.name)
	running.Kill()
	client.CloseIdleConnections()
	world.network.isolate(process.name)
	world.network.Pause(process.name, -1)
}

// stop stops the process gracefully.
func (process *process) stop(ctx context.Context) error {
	process.mutex.Lock()
	running, client := process.running, process.client
	process.stopped = true
	process.mutex.Unlock()
	if running == nil {
		return nil
	}
	err := running.Stop(ctx)
	client.CloseIdleConnections()
	process.mutex.Lock()
	if process.running == running {
		process.running = nil
	}
	process.mutex.Unlock()
	return err
}

// disturb records a time in which the process was not in touch with others.
func (process *process) disturb(from time.Time) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.windows = append(process.windows, window{from, time.Now()})
}

// absent records a time without a process.
func (process *process) absent(from time.Time) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.absences = append(process.absences, window{from, time.Now()})
}

// allowance returns how much longer than usual the process may act on what it
// knew at a time: until it is in touch again.
func (process *process) allowance(from, until time.Time) time.Duration {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	extra := time.Duration(0)
	for _, window := range process.windows {
		if window.from.Before(until) && window.until.After(from) {
			extra = max(extra, window.until.Sub(from))
		}
	}
	return extra
}
