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

// interval is a time in which a process could not be reached or was not running,
// or a part of the platform failed.
type interval struct{ from, until time.Time }

// process is an entry instance or a side process under test. It may end and start
// again.
type process struct {
	deployment *deployment
	name       string
	// upstream is empty for an entry instance.
	upstream string
	// callerAddress is where an entry instance listens for callers.
	callerAddress string
	entrySettings setup.Entry
	sideSettings  setup.Side

	mutex sync.Mutex
	// readyProbe reports readiness in place of running, if the process is one of
	// the operating system.
	readyProbe func() bool
	running    *start.Process
	client     *http.Client
	started    time.Time
	// disruptions counts kills and the beginnings and ends of pauses.
	disruptions int
	stopped     bool
	// listState is the state on the instance list.
	listState string
	// unreachable holds the times in which the process could not reach others,
	// down those in which it was not running.
	unreachable, down []interval
}

const (
	peersPort     = 9000
	operatorsPort = 9001
	callersPort   = 8080
)

func (deployment *deployment) settings(process setup.Process, name string) setup.Process {
	process.Instance, process.FailureDomain = name, "domain-a"
	process.Listen.Peers, process.Listen.Operators = deployment.address(name, peersPort), deployment.address(name, operatorsPort)
	platform := "http://" + deployment.address(platformName, servicePort)
	process.Platform = setup.Platform{LogURL: platform, InstancesURL: platform}
	process.Shutdown.DrainLimit = requestTimeout + 3*time.Second
	return process
}

func (deployment *deployment) newSide(index int, upstream string) *process {
	side := setup.DefaultSide()
	name := "side-" + upstream
	side.Process = deployment.settings(side.Process, name)
	side.Upstream.ID, side.Upstream.URL = upstream, "http://"+deployment.address(upstream, servicePort)
	side.RequestLimit, side.Seed = requestTimeout, deployment.schedule.Seed+uint64(index)+1
	side.Claims.Partitions = 8
	deployment.network.ExemptFromPauses(direction{name, upstream})
	return &process{deployment: deployment, name: name, upstream: upstream, sideSettings: side}
}

func (deployment *deployment) newEntry(index int) *process {
	entry := setup.DefaultEntry()
	name := fmt.Sprintf("entry-%d", index+1)
	entry.Process = deployment.settings(entry.Process, name)
	entry.Listen.Callers = deployment.address(name, callersPort)
	entry.Limits.RequestLimit = requestTimeout
	entry.Routing.Seed = deployment.schedule.Seed + uint64(index) + 1
	return &process{deployment: deployment, name: name, callerAddress: entry.Listen.Callers, entrySettings: entry}
}

func (deployment *deployment) dialer(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return deployment.network.Dial(ctx, name, address)
	}
}

// start starts the process and puts it on the instance list.
func (process *process) start() error {
	deployment := process.deployment
	client := deployment.httpClient(process.name)
	environment := start.Environment{
		Listen: func(address string) (net.Listener, error) { return deployment.network.Listen(process.name, address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return deployment.network.Dial(ctx, process.name, address)
		},
		HTTP: client, Logger: deployment.logger,
	}
	var running *start.Process
	var err error
	if process.upstream == "" {
		running, err = start.Entry(process.entrySettings, environment)
	} else {
		running, err = start.Side(process.sideSettings, environment)
	}
	if err != nil {
		return err
	}
	process.mutex.Lock()
	process.running, process.client, process.started, process.stopped = running, client, time.Now(), false
	process.mutex.Unlock()
	return process.announce()
}

// announce puts the process with its state on the instance list.
func (process *process) announce() error {
	if process.listState == "" {
		process.listState = infra.StateLive
	}
	return process.deployment.platform.PutInstance(process.instance(process.listState))
}

func (process *process) instance(state string) infra.Instance {
	role := "entry"
	if process.upstream != "" {
		role = "side"
	}
	return infra.Instance{
		ID: process.name, Role: role, Upstream: process.upstream, Address: process.deployment.address(process.name, peersPort),
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
	if process.readyProbe != nil {
		return process.readyProbe()
	}
	running := process.current()
	return running != nil && running.Ready()
}

// kill ends the process at once. Nothing that the process sends while it ends is
// delivered.
func (process *process) kill() {
	process.mutex.Lock()
	running, client := process.running, process.client
	process.running = nil
	process.disruptions++
	process.mutex.Unlock()
	if running == nil {
		return
	}
	deployment := process.deployment
	deployment.network.Pause(process.name, 1)
	deployment.network.cutProcess(process.name)
	running.Kill()
	client.CloseIdleConnections()
	deployment.network.cutProcess(process.name)
	deployment.network.Pause(process.name, -1)
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

// recordUnreachable records that the process could not reach others since a time.
func (process *process) recordUnreachable(from time.Time) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.unreachable = append(process.unreachable, interval{from, time.Now()})
}

// recordDown records that the process was not running since a time.
func (process *process) recordDown(from time.Time) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.down = append(process.down, interval{from, time.Now()})
}

// stalenessAllowance returns how long after from the process may still act on what
// it knew then, because it could not reach others between from and until. It
// returns 0 if it could.
func (process *process) stalenessAllowance(from, until time.Time) time.Duration {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	extra := time.Duration(0)
	for _, interval := range process.unreachable {
		if interval.from.Before(until) && interval.until.After(from) {
			extra = max(extra, interval.until.Sub(from))
		}
	}
	return extra
}
