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
	// requestLimit bounds a request; it is short so that waiting for it is cheap.
	requestLimit = 12 * time.Second
)

// isStandIn reports whether a process is the platform or an upstream.
func isStandIn(name string) bool {
	return name == platformName || strings.HasPrefix(name, modelService) || strings.HasPrefix(name, plainService)
}

// world is a deployment under test.
type world struct {
	schedule Schedule
	network  *Network
	logger   *zap.Logger
	lines    *lineScan
	platform *infra.Platform
	engines  []*engsim.Engine
	services []*plain.Service
	// upstreams holds the upstreams' names, engines first.
	upstreams []string
	entries   []*process
	sides     []*process
	keys      keyring
	client    *http.Client
	operator  *http.Client
	stops     []func()
	// addresses holds the addresses of a deployment on TCP; it is nil for one
	// in memory.
	addresses    map[string]string
	serviceCount int
	begin        time.Time

	mutex   sync.Mutex
	answers []*Answer
	samples []sample
	// logDown is the time in which the log is out.
	logDown window
	// listStale is the time in which the instance list may be out of date.
	listStale window
	left      []leaving
	stopped   []stop
	notes     []string
	problems  []string
}

// leaving is an upstream that was listed as leaving.
type leaving struct {
	upstream string
	at       time.Time
}

// stop is a planned stop.
type stop struct {
	process string
	err     error
}

func (world *world) note(format string, args ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	line := fmt.Sprintf("%8s ", time.Since(world.begin).Round(time.Millisecond)) + fmt.Sprintf(format, args...)
	world.notes = append(world.notes, line)
}

// processes returns all processes of ours.
func (world *world) processes() []*process {
	return append(append([]*process{}, world.entries...), world.sides...)
}

// address returns the fixed address of a process's listener.
func (world *world) address(name string, port int) string {
	if world.addresses != nil {
		return world.addresses[fmt.Sprintf("%s:%d", name, port)]
	}
	number := 1
	for _, letter := range []byte(name) {
		number = (number*31 + int(letter)) % 250
	}
	return fmt.Sprintf("127.0.%d.%d:%d", len(name), number, port)
}

func (world *world) httpClient(process string) *http.Client {
	dial := world.dialer(process)
	if world.addresses != nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 64}}
}

// newWorld starts the stand-ins.
func newWorld(schedule Schedule, serviceCount int, addresses map[string]string) (*world, error) {
	world := &world{
		schedule: schedule, network: NewNetwork(schedule.Seed), lines: &lineScan{}, begin: time.Now(),
		serviceCount: serviceCount, addresses: addresses,
	}
	world.logger = world.lines.logger()
	world.client, world.operator = world.httpClient(callerName), world.httpClient(operatorName)
	if err := world.startStandIns(); err != nil {
		return world, err
	}
	return world, world.configure()
}

func (world *world) startStandIns() error {
	config := infra.DefaultConfig()
	config.Seed, config.ListLagJitter, config.LoadRate = world.schedule.Seed, 200*time.Millisecond, 20
	platform, err := infra.New(config)
	if err != nil {
		return err
	}
	world.platform = platform
	if err := world.serve(platformName, platform); err != nil {
		return err
	}
	for index := range engineCount {
		if err := world.startEngine(index); err != nil {
			return err
		}
	}
	for index := range world.serviceCount {
		name := fmt.Sprintf("%s-%d", plainService, index+1)
		service, err := plain.New(plain.Config{Seed: world.schedule.Seed + uint64(index), Latency: 5 * time.Millisecond})
		if err != nil {
			return err
		}
		world.stops = append(world.stops, service.Close)
		world.services = append(world.services, service)
		world.upstreams = append(world.upstreams, name)
		if err := world.serve(name, service); err != nil {
			return err
		}
	}
	return nil
}

func (world *world) startEngine(index int) error {
	name := fmt.Sprintf("%s-%d", modelService, index+1)
	config := engsim.DefaultConfig()
	config.Seed, config.WeightStore, config.AdapterSlots = world.schedule.Seed+uint64(index), world.platform, engineSlots
	// Engines that ignore fencing tokens and perform every order show what
	// only our own side prevents.
	if (world.schedule.Seed+uint64(index))%2 == 0 {
		config.Fencing, config.UnloadInUse = engsim.FencingIgnored, engsim.UnloadPerform
	}
	if (world.schedule.Seed/2+uint64(index))%3 == 0 {
		config.ResumeRetention = 0
	}
	engine, err := engsim.New(config)
	if err != nil {
		return err
	}
	world.stops = append(world.stops, engine.Close)
	world.engines = append(world.engines, engine)
	world.upstreams = append(world.upstreams, name)
	return world.serve(name, engine)
}

// servicePort is the port of stand-ins.
const servicePort = 80

func (world *world) serve(name string, handler http.Handler) error {
	listener, err := world.listen(name, world.address(name, servicePort))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	world.stops = append(world.stops, func() { _ = server.Close() })
	return nil
}

// start starts all processes and waits until they are ready.
func (world *world) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for index, upstream := range world.upstreams {
		side := world.newSide(index, upstream)
		world.sides = append(world.sides, side)
		if err := side.start(); err != nil {
			return err
		}
	}
	for index := range entryCount {
		entry := world.newEntry(index)
		world.entries = append(world.entries, entry)
		if err := entry.start(); err != nil {
			return err
		}
	}
	for _, process := range world.processes() {
		for !process.ready() {
			if err := pause(ctx, 50*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return pause(ctx, settleTime)
}

func (world *world) listen(name, address string) (net.Listener, error) {
	if world.addresses != nil {
		return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	}
	return world.network.Listen(name, address)
}

// startLimit bounds the start of all processes.
const startLimit = time.Minute

// settleTime covers the lag of the instance list, one poll of it, and the time
// in which a fresh quota shard issues nothing.
const settleTime = 3 * time.Second

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

// close ends everything.
func (world *world) close() {
	for _, process := range world.processes() {
		process.kill()
	}
	for index := len(world.stops) - 1; index >= 0; index-- {
		world.stops[index]()
	}
	world.network.Close()
	world.client.CloseIdleConnections()
	world.operator.CloseIdleConnections()
}
