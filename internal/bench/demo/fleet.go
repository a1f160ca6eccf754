package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/bench/plain"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
	"jacinthfront.dev/jacinthfront/internal/daemon/start"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Deployment Deployment
	Network    Network
	// Policy is default or naive.
	Policy  string
	Entries int
	Seed    uint64
	// Delays adds the deployment's delays between failure domains.
	Delays bool
	// TLS names the certificate files of all processes; empty means plain
	// connections between them.
	TLS    setup.TLS
	Logger *zap.Logger
}

// instance is a running process of ours with its entry in the instance list.
type instance struct {
	process *start.Process
	listed  infra.Instance
	// callers is the base URL of an entry instance.
	callers string
	// operators is the base URL of the operator interface.
	operators string
	upstream  int
}

// Fleet is a running deployment.
type Fleet struct {
	config FleetConfig
	plan   reqgen.Plan
	client *http.Client
	// delays is nil without delays between failure domains.
	delays   *delays
	platform *infra.Platform
	address  string
	engines  []*engsim.Engine
	plains   []*plain.Service
	// urls holds the addresses of engines and, after them, plain services.
	urls  []string
	stops []func()

	mu      sync.Mutex
	entries []*instance
	sides   []*instance
	next    int
	// baseline holds the engines' counts at the end of the warm-up time.
	baseline []counts
	// split is when the deployment was split into halves.
	split time.Time
}

// NewFleet starts the stand-ins and publishes the initial configuration. The
// processes of ours follow with Start.
func NewFleet(config FleetConfig) (*Fleet, error) {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	fleet := &Fleet{config: config, plan: config.Deployment.Plan(), client: client(config.Network)}
	if config.Delays {
		fleet.delays = newDelays(config.Network, config.Deployment.DomainDelay)
	}
	if err := fleet.startStandIns(); err != nil {
		fleet.Close()
		return nil, err
	}
	for _, patch := range config.Deployment.initialPatches(&fleet.plan) {
		if err := fleet.append(patch); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	return fleet, nil
}

// Plan returns the steady load with the organisations' keys.
func (fleet *Fleet) Plan() reqgen.Plan { return fleet.plan }

// append publishes a patch by the platform's log.
func (fleet *Fleet) append(record patch.Patch) error {
	data, err := codec.EncodePatch(record)
	if err != nil {
		return err
	}
	fleet.platform.Append("config", data)
	return nil
}

func (fleet *Fleet) startStandIns() error {
	deployment := fleet.config.Deployment
	config := infra.DefaultConfig()
	config.Seed = fleet.config.Seed
	config.LoadRate = deployment.LoadRate
	platform, err := infra.New(config)
	if err != nil {
		return err
	}
	fleet.platform = platform
	if fleet.address, err = fleet.serve(platform); err != nil {
		return err
	}
	for index := range deployment.Engines {
		if err := fleet.startEngine(index); err != nil {
			return err
		}
	}
	for index := range deployment.PlainUpstreams {
		service, err := plain.New(plain.Config{Seed: fleet.config.Seed + uint64(index), Latency: 3 * time.Millisecond})
		if err != nil {
			return err
		}
		address, err := fleet.serve(service)
		if err != nil {
			return err
		}
		fleet.plains = append(fleet.plains, service)
		fleet.urls = append(fleet.urls, "http://"+address)
	}
	return nil
}

func (fleet *Fleet) startEngine(index int) error {
	config := engsim.DefaultConfig()
	config.Seed = fleet.config.Seed + uint64(index)
	config.WeightStore = fleet.platform
	engine, err := engsim.New(config)
	if err != nil {
		return err
	}
	address, err := fleet.serve(engine)
	if err != nil {
		return err
	}
	fleet.stops = append(fleet.stops, engine.Close)
	fleet.engines = append(fleet.engines, engine)
	fleet.urls = append(fleet.urls, "http://"+address)
	return nil
}

// serve serves a stand-in at a new address.
func (fleet *Fleet) serve(handler http.Handler) (string, error) {
	address, err := fleet.config.Network.Reserve()
	if err != nil {
		return "", err
	}
	listener, err := fleet.config.Network.Listen(address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	fleet.stops = append(fleet.stops, func() { _ = server.Close() })
	return address, nil
}

// Start starts all entry instances and side processes and waits until they
// have the configuration and the instance list.
func (fleet *Fleet) Start(ctx context.Context) error {
	for index := range fleet.urls {
		if err := fleet.StartSide(ctx, index); err != nil {
			return err
		}
	}
	for range fleet.config.Entries {
		if err := fleet.StartEntry(ctx); err != nil {
			return err
		}
	}
	return fleet.settle(ctx)
}

const (
	settlePoll = 20 * time.Millisecond
	// settleTime covers the lag of the instance list, one poll of it, and the
	// time in which a fresh quota shard issues nothing.
	settleTime = 3 * time.Second
)

func (fleet *Fleet) settle(ctx context.Context) error {
	for !fleet.allReady() {
		if err := pause(ctx, settlePoll); err != nil {
			return err
		}
	}
	return pause(ctx, settleTime)
}

func (fleet *Fleet) allReady() bool {
	for _, instance := range fleet.instances() {
		if !instance.process.Ready() {
			return false
		}
	}
	return true
}

func (fleet *Fleet) instances() []*instance {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return append(slices.Clone(fleet.entries), fleet.sides...)
}

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// environment is that of a process in a failure domain, whose peers reach it at
// the given address.
func (fleet *Fleet) environment(domain, address string) start.Environment {
	network := fleet.config.Network
	if fleet.delays != nil {
		network = fleet.delays.from(domain, address)
	}
	return start.Environment{
		Listen: network.Listen,
		Dial:   dialer(network),
		HTTP:   fleet.client,
		Logger: fleet.config.Logger,
	}
}

// process returns the settings that both roles share, at new addresses.
func (fleet *Fleet) process(process setup.Process, role, domain string) (setup.Process, error) {
	fleet.mu.Lock()
	fleet.next++
	process.Instance = fmt.Sprintf("%s-%d", role, fleet.next)
	fleet.mu.Unlock()
	process.FailureDomain = domain
	process.TLS = fleet.config.TLS
	process.Platform = setup.Platform{LogURL: "http://" + fleet.address, InstancesURL: "http://" + fleet.address}
	var err error
	if process.Listen.Peers, err = fleet.config.Network.Reserve(); err != nil {
		return process, err
	}
	process.Listen.Operators, err = fleet.config.Network.Reserve()
	return process, err
}

// StartSide starts the side process of an upstream.
func (fleet *Fleet) StartSide(ctx context.Context, upstream int) error {
	deployment := fleet.config.Deployment
	settings := setup.DefaultSide()
	settings.Policy = fleet.config.Policy
	settings.Seed = fleet.config.Seed + uint64(upstream) + 1
	settings.Upstream.ID = deployment.runnerID(upstream)
	settings.Upstream.URL = fleet.urls[upstream]
	domain := deployment.domain(upstream)
	if upstream >= deployment.Engines {
		settings.Upstream.ID = deployment.plainID(upstream - deployment.Engines)
		domain = deployment.domain(upstream - deployment.Engines)
	}
	process, err := fleet.process(settings.Process, "side", domain)
	if err != nil {
		return err
	}
	settings.Process = process
	started, err := start.Side(settings, fleet.environment(domain, process.Listen.Peers))
	if err != nil {
		return err
	}
	side := &instance{process: started, upstream: upstream, listed: infra.Instance{
		ID: process.Instance, Role: "side", Upstream: settings.Upstream.ID, Address: process.Listen.Peers,
		FailureDomain: domain, State: infra.StateLive,
	}}
	fleet.mu.Lock()
	fleet.sides = append(fleet.sides, side)
	fleet.mu.Unlock()
	return fleet.list(ctx, side.listed)
}

// StartEntry starts an entry instance.
func (fleet *Fleet) StartEntry(ctx context.Context) error {
	settings := setup.DefaultEntry()
	settings.Routing = setup.Routing{Policy: fleet.config.Policy, Profile: fleet.config.Deployment.Name, Seed: fleet.config.Seed + 1}
	fleet.mu.Lock()
	domain := fleet.config.Deployment.domain(len(fleet.entries))
	fleet.mu.Unlock()
	process, err := fleet.process(settings.Process, "entry", domain)
	if err != nil {
		return err
	}
	settings.Process = process
	if settings.Listen.Callers, err = fleet.config.Network.Reserve(); err != nil {
		return err
	}
	started, err := start.Entry(settings, fleet.environment(domain, process.Listen.Peers))
	if err != nil {
		return err
	}
	entry := &instance{process: started, callers: "http://" + settings.Listen.Callers, operators: "http://" + settings.Listen.Operators, listed: infra.Instance{
		ID: process.Instance, Role: "entry", Address: process.Listen.Peers, FailureDomain: domain, State: infra.StateLive,
	}}
	fleet.mu.Lock()
	fleet.entries = append(fleet.entries, entry)
	fleet.mu.Unlock()
	return fleet.list(ctx, entry.listed)
}

// EntryURLs returns the base URLs of the ready entry instances, as a load
// balancer sees them.
func (fleet *Fleet) EntryURLs() []string {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var urls []string
	for _, entry := range fleet.entries {
		if entry.process.Ready() {
			urls = append(urls, entry.callers)
		}
	}
	return urls
}

// Close ends all processes and stand-ins at once.
func (fleet *Fleet) Close() {
	for _, instance := range fleet.instances() {
		instance.process.Kill()
	}
	for _, stop := range slices.Backward(fleet.stops) {
		stop()
	}
	fleet.client.CloseIdleConnections()
}

// Client returns an HTTP client of the fleet's network.
func (fleet *Fleet) Client() *http.Client { return fleet.client }
