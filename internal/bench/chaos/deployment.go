package chaos

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/bench/plain"
)

const (
	engineCount  = 3
	serviceCount = 2
	entryCount   = 2
	platformName = "platform"
	callerName   = "caller"
	operatorName = "operator"
	modelService = "advisor"
	plainService = "counter"
	// engineSlots is below the number of adapters, so that adapters are evicted.
	engineSlots = 3
	// requestTimeout bounds a request. It is short, so that a run that waits for it
	// stays cheap.
	requestTimeout = 12 * time.Second
)

// isSimulator reports whether a process is the simulated platform or a simulated
// upstream.
func isSimulator(name string) bool {
	return name == platformName || strings.HasPrefix(name, modelService) || strings.HasPrefix(name, plainService)
}

// deployment is a deployment under test: entry instances, side processes, the
// simulators, and what was observed during the run.
type deployment struct {
	schedule   Schedule
	network    *Network
	logger     *zap.Logger
	logScanner *leakScanner
	platform   *infra.Platform
	engines    []*engsim.Engine
	services   []*plain.Service
	// upstreams holds the upstreams' names, engines first.
	upstreams []string
	entries   []*process
	sides     []*process
	keys      keyring
	client    *http.Client
	operator  *http.Client
	// cleanups are called in reverse order at the end.
	cleanups []func()
	// addresses maps NAME:PORT to the TCP address of a listener. It is nil for a
	// deployment on the in-memory network.
	addresses    map[string]string
	serviceCount int
	// startedAt is when the load started.
	startedAt time.Time

	mutex   sync.Mutex
	results []*Result
	samples []configSample
	// logOutage is the time in which the log service fails.
	logOutage interval
	// listStale is the time in which the instance list may be out of date.
	listStale    interval
	draining     []drainingUpstream
	plannedStops []plannedStop
	events       []string
	// problems are errors of the test itself.
	problems []string
}

// drainingUpstream is an upstream that was listed as draining at a time.
type drainingUpstream struct {
	upstream string
	at       time.Time
}

// plannedStop is a graceful stop of a process and its error.
type plannedStop struct {
	process string
	err     error
}

func (deployment *deployment) recordEvent(format string, args ...any) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	line := fmt.Sprintf("%8s ", time.Since(deployment.startedAt).Round(time.Millisecond)) + fmt.Sprintf(format, args...)
	deployment.events = append(deployment.events, line)
}

// processes returns all entry instances and side processes.
func (deployment *deployment) processes() []*process {
	return append(append([]*process{}, deployment.entries...), deployment.sides...)
}

// address returns the address of a process's listener. On the in-memory network it
// is derived from name and port, and stays the same over restarts.
func (deployment *deployment) address(name string, port int) string {
	if deployment.addresses != nil {
		return deployment.addresses[fmt.Sprintf("%s:%d", name, port)]
	}
	number := 1
	for _, letter := range []byte(name) {
		number = (number*31 + int(letter)) % 250
	}
	return fmt.Sprintf("127.0.%d.%d:%d", len(name), number, port)
}

func (deployment *deployment) httpClient(process string) *http.Client {
	dial := deployment.dialer(process)
	if deployment.addresses != nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 64}}
}

// newDeployment starts the simulators and publishes the initial configuration. The
// deployment that it returns with an error must still be closed.
func newDeployment(schedule Schedule, serviceCount int, addresses map[string]string) (*deployment, error) {
	deployment := &deployment{
		schedule: schedule, network: NewNetwork(schedule.Seed), logScanner: &leakScanner{}, startedAt: time.Now(),
		serviceCount: serviceCount, addresses: addresses,
	}
	deployment.logger = deployment.logScanner.logger()
	deployment.client, deployment.operator = deployment.httpClient(callerName), deployment.httpClient(operatorName)
	if err := deployment.startSimulators(); err != nil {
		return deployment, err
	}
	return deployment, deployment.configure()
}

func (deployment *deployment) startSimulators() error {
	config := infra.DefaultConfig()
	config.Seed, config.ListLagJitter, config.LoadRate = deployment.schedule.Seed, 200*time.Millisecond, 20
	platform, err := infra.New(config)
	if err != nil {
		return err
	}
	deployment.platform = platform
	if err := deployment.serve(platformName, platform); err != nil {
		return err
	}
	for index := range engineCount {
		if err := deployment.startEngine(index); err != nil {
			return err
		}
	}
	for index := range deployment.serviceCount {
		name := fmt.Sprintf("%s-%d", plainService, index+1)
		service, err := plain.New(plain.Config{Seed: deployment.schedule.Seed + uint64(index), Latency: 5 * time.Millisecond})
		if err != nil {
			return err
		}
		deployment.cleanups = append(deployment.cleanups, service.Close)
		deployment.services = append(deployment.services, service)
		deployment.upstreams = append(deployment.upstreams, name)
		if err := deployment.serve(name, service); err != nil {
			return err
		}
	}
	return nil
}

func (deployment *deployment) startEngine(index int) error {
	name := fmt.Sprintf("%s-%d", modelService, index+1)
	config := engsim.DefaultConfig()
	config.Seed, config.WeightStore, config.AdapterSlots = deployment.schedule.Seed+uint64(index), deployment.platform, engineSlots
	// Engines that ignore fencing tokens and perform every order show which
	// violations the side processes themselves must prevent.
	if (deployment.schedule.Seed+uint64(index))%2 == 0 {
		config.Fencing, config.UnloadInUse = engsim.FencingIgnored, engsim.UnloadPerform
	}
	if (deployment.schedule.Seed/2+uint64(index))%3 == 0 {
		config.ResumeRetention = 0
	}
	engine, err := engsim.New(config)
	if err != nil {
		return err
	}
	deployment.cleanups = append(deployment.cleanups, engine.Close)
	deployment.engines = append(deployment.engines, engine)
	deployment.upstreams = append(deployment.upstreams, name)
	return deployment.serve(name, engine)
}

// servicePort is the port of simulators.
const servicePort = 80

func (deployment *deployment) serve(name string, handler http.Handler) error {
	listener, err := deployment.listen(name, deployment.address(name, servicePort))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	deployment.cleanups = append(deployment.cleanups, func() { _ = server.Close() })
	return nil
}

// start starts all processes and waits until they are ready.
func (deployment *deployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for index, upstream := range deployment.upstreams {
		side := deployment.newSide(index, upstream)
		deployment.sides = append(deployment.sides, side)
		if err := side.start(); err != nil {
			return err
		}
	}
	for index := range entryCount {
		entry := deployment.newEntry(index)
		deployment.entries = append(deployment.entries, entry)
		if err := entry.start(); err != nil {
			return err
		}
	}
	for _, process := range deployment.processes() {
		for !process.ready() {
			if err := sleep(ctx, 50*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return sleep(ctx, settleTime)
}

func (deployment *deployment) listen(name, address string) (net.Listener, error) {
	if deployment.addresses != nil {
		return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	}
	return deployment.network.Listen(name, address)
}

// startTimeout bounds the start of all processes.
const startTimeout = time.Minute

// settleTime covers the lag of the instance list, one poll of it, and the time in
// which a new quota shard issues no grants.
const settleTime = 3 * time.Second

// sleep waits for a duration. It returns ctx's error if ctx ends first.
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

// close kills all processes and closes the simulators and connections.
func (deployment *deployment) close() {
	for _, process := range deployment.processes() {
		process.kill()
	}
	for index := len(deployment.cleanups) - 1; index >= 0; index-- {
		deployment.cleanups[index]()
	}
	deployment.network.Close()
	deployment.client.CloseIdleConnections()
	deployment.operator.CloseIdleConnections()
}
