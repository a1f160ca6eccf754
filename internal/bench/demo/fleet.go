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
	// Policy is the routing policy, default or naive.
	Policy  string
	Entries int
	Seed    uint64
	// Delays turns on the deployment's delay between failure domains.
	Delays bool
	// TLS names the certificate files of all processes; if empty, connections
	// between processes are unencrypted.
	TLS    setup.TLS
	Logger *zap.Logger
}

// instance is a running entry instance or side process with its entry in the
// instance list.
type instance struct {
	process   *start.Process
	listEntry infra.Instance
	// callerURL is the base URL of an entry instance.
	callerURL string
	// operatorURL is the base URL of the operator interface of an entry instance.
	operatorURL string
	// upstream is the index of a side process's upstream.
	upstream int
}

// Fleet is a running deployment: simulators, entry instances and side processes.
type Fleet struct {
	config FleetConfig
	plan   reqgen.Plan
	client *http.Client
	// delays is nil if there are no delays between failure domains.
	delays          *delayedNetwork
	platform        *infra.Platform
	platformAddress string
	engines         []*engsim.Engine
	plainServices   []*plain.Service
	// urls holds the base URLs of the engines, followed by those of the plain
	// services. Its indexes are the upstream indexes of all methods.
	urls     []string
	cleanups []func()

	mu           sync.Mutex
	entries      []*instance
	sides        []*instance
	lastInstance int
	// baselineCounts holds the engines' counts at the end of the warm-up time.
	baselineCounts []engineCounts
	// splitAt is when the deployment was split into halves.
	splitAt time.Time
}

// NewFleet starts the simulators and publishes the initial configuration. Start
// then starts the entry instances and side processes.
func NewFleet(config FleetConfig) (*Fleet, error) {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	fleet := &Fleet{config: config, plan: config.Deployment.Plan(), client: newClient(config.Network)}
	if config.Delays {
		fleet.delays = newDelayedNetwork(config.Network, config.Deployment.DomainDelay)
	}
	if err := fleet.startSimulators(); err != nil {
		fleet.Close()
		return nil, err
	}
	for _, patch := range config.Deployment.initialPatches(&fleet.plan) {
		if err := fleet.appendPatch(patch); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	return fleet, nil
}

// Plan returns the steady load, with the organisations' keys.
func (fleet *Fleet) Plan() reqgen.Plan { return fleet.plan }

// appendPatch publishes a patch in the platform's log.
func (fleet *Fleet) appendPatch(record patch.Patch) error {
	data, err := codec.EncodePatch(record)
	if err != nil {
		return err
	}
	fleet.platform.Append("config", data)
	return nil
}

func (fleet *Fleet) startSimulators() error {
	deployment := fleet.config.Deployment
	config := infra.DefaultConfig()
	config.Seed = fleet.config.Seed
	config.LoadRate = deployment.LoadRate
	platform, err := infra.New(config)
	if err != nil {
		return err
	}
	fleet.platform = platform
	if fleet.platformAddress, err = fleet.serve(platform); err != nil {
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
		fleet.plainServices = append(fleet.plainServices, service)
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
	fleet.cleanups = append(fleet.cleanups, engine.Close)
	fleet.engines = append(fleet.engines, engine)
	fleet.urls = append(fleet.urls, "http://"+address)
	return nil
}

// serve serves a simulator at a new address and returns the address.
func (fleet *Fleet) serve(handler http.Handler) (string, error) {
	address, err := fleet.config.Network.ReserveAddress()
	if err != nil {
		return "", err
	}
	listener, err := fleet.config.Network.Listen(address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	fleet.cleanups = append(fleet.cleanups, func() { _ = server.Close() })
	return address, nil
}

// Start starts all side processes and entry instances and waits until they are
// ready and the instance list is settled.
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
	return fleet.awaitReady(ctx)
}

const (
	readyPollInterval = 20 * time.Millisecond
	// settlingTime covers the lag of the instance list, the interval between two
	// polls of it, and the time in which a new quota shard issues no grants.
	settlingTime = 3 * time.Second
)

// awaitReady waits until all instances are ready, and then for settlingTime.
func (fleet *Fleet) awaitReady(ctx context.Context) error {
	for !fleet.allReady() {
		if err := sleep(ctx, readyPollInterval); err != nil {
			return err
		}
	}
	return sleep(ctx, settlingTime)
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

// sleep waits for a duration. It returns an error if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// environment returns the environment of a process that runs in a failure domain
// and listens for peers on an address.
func (fleet *Fleet) environment(domain, address string) start.Environment {
	network := fleet.config.Network
	if fleet.delays != nil {
		network = fleet.delays.inDomain(domain, address)
	}
	return start.Environment{
		Listen: network.Listen,
		Dial:   dialer(network),
		HTTP:   fleet.client,
		Logger: fleet.config.Logger,
	}
}

// processSettings fills in the settings that entry instances and side processes
// share, with a new instance id and new addresses.
func (fleet *Fleet) processSettings(process setup.Process, role, domain string) (setup.Process, error) {
	fleet.mu.Lock()
	fleet.lastInstance++
	process.Instance = fmt.Sprintf("%s-%d", role, fleet.lastInstance)
	fleet.mu.Unlock()
	process.FailureDomain = domain
	process.TLS = fleet.config.TLS
	process.Platform = setup.Platform{LogURL: "http://" + fleet.platformAddress, InstancesURL: "http://" + fleet.platformAddress}
	var err error
	if process.Listen.Peers, err = fleet.config.Network.ReserveAddress(); err != nil {
		return process, err
	}
	process.Listen.Operators, err = fleet.config.Network.ReserveAddress()
	return process, err
}

// StartSide starts the side process of an upstream and lists it.
func (fleet *Fleet) StartSide(ctx context.Context, upstream int) error {
	deployment := fleet.config.Deployment
	settings := setup.DefaultSide()
	settings.Policy = fleet.config.Policy
	settings.Seed = fleet.config.Seed + uint64(upstream) + 1
	settings.Upstream.ID = deployment.engineID(upstream)
	settings.Upstream.URL = fleet.urls[upstream]
	domain := deployment.failureDomain(upstream)
	if upstream >= deployment.Engines {
		settings.Upstream.ID = deployment.plainUpstreamID(upstream - deployment.Engines)
		domain = deployment.failureDomain(upstream - deployment.Engines)
	}
	process, err := fleet.processSettings(settings.Process, "side", domain)
	if err != nil {
		return err
	}
	settings.Process = process
	started, err := start.Side(settings, fleet.environment(domain, process.Listen.Peers))
	if err != nil {
		return err
	}
	side := &instance{process: started, upstream: upstream, listEntry: infra.Instance{
		ID: process.Instance, Role: "side", Upstream: settings.Upstream.ID, Address: process.Listen.Peers,
		FailureDomain: domain, State: infra.StateLive,
	}}
	fleet.mu.Lock()
	fleet.sides = append(fleet.sides, side)
	fleet.mu.Unlock()
	return fleet.putInstance(ctx, side.listEntry)
}

// StartEntry starts an entry instance and lists it.
func (fleet *Fleet) StartEntry(ctx context.Context) error {
	settings := setup.DefaultEntry()
	settings.Routing = setup.Routing{Policy: fleet.config.Policy, Profile: fleet.config.Deployment.Name, Seed: fleet.config.Seed + 1}
	fleet.mu.Lock()
	domain := fleet.config.Deployment.failureDomain(len(fleet.entries))
	fleet.mu.Unlock()
	process, err := fleet.processSettings(settings.Process, "entry", domain)
	if err != nil {
		return err
	}
	settings.Process = process
	if settings.Listen.Callers, err = fleet.config.Network.ReserveAddress(); err != nil {
		return err
	}
	started, err := start.Entry(settings, fleet.environment(domain, process.Listen.Peers))
	if err != nil {
		return err
	}
	entry := &instance{process: started, callerURL: "http://" + settings.Listen.Callers, operatorURL: "http://" + settings.Listen.Operators, listEntry: infra.Instance{
		ID: process.Instance, Role: "entry", Address: process.Listen.Peers, FailureDomain: domain, State: infra.StateLive,
	}}
	fleet.mu.Lock()
	fleet.entries = append(fleet.entries, entry)
	fleet.mu.Unlock()
	return fleet.putInstance(ctx, entry.listEntry)
}

// EntryURLs returns the base URLs of the ready entry instances, to which a load
// balancer would send requests.
func (fleet *Fleet) EntryURLs() []string {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var urls []string
	for _, entry := range fleet.entries {
		if entry.process.Ready() {
			urls = append(urls, entry.callerURL)
		}
	}
	return urls
}

// Close kills all processes and stops the simulators.
func (fleet *Fleet) Close() {
	for _, instance := range fleet.instances() {
		instance.process.Kill()
	}
	for _, cleanup := range slices.Backward(fleet.cleanups) {
		cleanup()
	}
	fleet.client.CloseIdleConnections()
}

// Client returns an HTTP client of the fleet's network.
func (fleet *Fleet) Client() *http.Client { return fleet.client }
