package chaos

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	config "jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

const (
	halfA         = "a"
	halfB         = "b"
	plainCost     = 10
	longestWait   = 5 * time.Second
	raceRoute     = "race"
	configStream  = "config"
	adapterPrefix = "adapter"
)

// organisation is one source of requests.
type organisation struct {
	name        string
	half        config.Half
	rate, burst config.Tokens
}

// The third organisation's rate is below what its requests need.
var organisationSpecs = [organisations]organisation{
	{"oak", halfA, 400, 800},
	{"ash", halfB, 300, 600},
	{"elm", "", 40, 160},
}

// keyring holds the organisations' keys and one that is withdrawn.
type keyring struct {
	keys        [organisations]string
	withdrawn   string
	withdrawnID string
}

// upstreamHalves returns the half of each upstream at the start.
func upstreamHalf(index int) config.Half {
	return [...]config.Half{halfA, "", halfB, halfA, halfB, ""}[index]
}

func upstreamSpec(index int, name string, half config.Half) config.UpstreamSpec {
	service := modelService
	if index >= engineCount {
		service = plainService
	}
	return config.UpstreamSpec{ID: name, Service: service, Plain: index >= engineCount, Half: half, FailureDomain: "domain-a"}
}

func adapterName(organisation, index int) string {
	return fmt.Sprintf("%s-%s-%d", adapterPrefix, organisationSpecs[organisation].name, index)
}

func adapterSpec(organisation, index int, version uint32) config.AdapterSpec {
	return config.AdapterSpec{
		Name: adapterName(organisation, index), Organisation: organisationSpecs[organisation].name, Service: modelService,
		Versions: []uint32{1, adapterVersions}, DefaultVersion: version,
	}
}

func raceSpec(wait time.Duration) config.RouteSpec {
	return config.RouteSpec{Name: raceRoute, Service: modelService, MaxWait: wait, Idempotent: true, DefaultMaxTokens: 16}
}

// configure publishes the initial configuration.
func (world *world) configure() error {
	var ops []patch.Op
	for index, name := range world.upstreams {
		ops = append(ops, patch.PutUpstream{Upstream: upstreamSpec(index, name, upstreamHalf(index))})
	}
	ops = append(ops, patch.PutFleet{Fleet: config.FleetSpec{LoadRateMilli: 20000, LoadBurst: 20}})
	for _, route := range []config.RouteSpec{
		{Name: "default", Service: modelService, MaxWait: longestWait, Idempotent: true, DefaultMaxTokens: 32},
		{Name: "orders", Service: plainService, Plain: true, PathPrefix: "/orders", Methods: []string{"POST"}, MaxWait: longestWait, Cost: plainCost},
		{Name: "stock", Service: plainService, Plain: true, PathPrefix: "/stock", Methods: []string{"GET"}, MaxWait: longestWait, Idempotent: true, Cost: plainCost},
		raceSpec(time.Second),
	} {
		ops = append(ops, patch.PutRoute{Route: route})
	}
	for index, organisation := range organisationSpecs {
		ops = append(ops, patch.PutOrganisation{Organisation: config.OrganisationSpec{
			Name: organisation.name, Half: organisation.half, Rate: organisation.rate, Burst: organisation.burst,
		}})
		key, spec := creds.Issue(organisation.name)
		world.keys.keys[index] = key
		ops = append(ops, patch.PutKey{Key: spec})
		for adapter := range adaptersEach {
			ops = append(ops, patch.PutAdapter{Adapter: adapterSpec(index, adapter, 1)})
		}
	}
	key, spec := creds.Issue(organisationSpecs[0].name)
	world.keys.withdrawn, world.keys.withdrawnID = key, spec.ID
	ops = append(ops, patch.PutKey{Key: spec})
	initial := patch.Patch{ID: "initial", Operator: operatorName, Force: true, Ops: ops}
	if _, result := patch.Apply(config.New(), initial); result.Kind != patch.Accepted {
		return fmt.Errorf("initial configuration: %s", result)
	}
	data, err := codec.EncodePatch(initial)
	if err != nil {
		return err
	}
	for _, key := range append(world.keys.keys[:], world.keys.withdrawn) {
		world.network.secrets = append(world.network.secrets, secretOf(key))
	}
	world.lines.secrets = world.network.secrets
	world.platform.Append(configStream, data)
	return nil
}

// secretOf returns the part of a key that nobody but its callers and the entry
// instances may see.
func secretOf(key string) []byte {
	return []byte(strings.SplitN(key, "_", 3)[2])
}

// lineScan takes the log lines of all processes and counts callers' secrets.
type lineScan struct {
	mutex   sync.Mutex
	secrets [][]byte
	lines   int
	leaks   int
}

func (scan *lineScan) logger() *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, scan, zapcore.DebugLevel))
}

// Write implements zapcore.WriteSyncer.
func (scan *lineScan) Write(line []byte) (int, error) {
	scan.mutex.Lock()
	defer scan.mutex.Unlock()
	scan.lines++
	for _, secret := range scan.secrets {
		if bytes.Contains(line, secret) {
			scan.leaks++
		}
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (*lineScan) Sync() error { return nil }
