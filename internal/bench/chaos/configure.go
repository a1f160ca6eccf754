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
	halfA          = "a"
	halfB          = "b"
	plainCost      = 10
	maxWait        = 5 * time.Second
	contendedRoute = "race"
	configStream   = "config"
	adapterPrefix  = "adapter"
)

// organisation is an organisation of the initial configuration.
type organisation struct {
	name        string
	half        config.Half
	rate, burst config.Tokens
}

// The rate of the third organisation is below the demand of its requests, so that
// some of them are rate-limited.
var organisationSpecs = [organisations]organisation{
	{"oak", halfA, 400, 800},
	{"ash", halfB, 300, 600},
	{"elm", "", 40, 160},
}

// keyring holds the organisations' keys and a key of the first organisation that
// may be withdrawn.
type keyring struct {
	byOrganisation [organisations]string
	withdrawn      string
	withdrawnID    string
}

// upstreamHalf returns the half of an upstream in the initial configuration.
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

func contendedRouteSpec(wait time.Duration) config.RouteSpec {
	return config.RouteSpec{Name: contendedRoute, Service: modelService, MaxWait: wait, Idempotent: true, DefaultMaxTokens: 16}
}

// configure publishes the initial configuration.
func (deployment *deployment) configure() error {
	var ops []patch.Op
	for index, name := range deployment.upstreams {
		ops = append(ops, patch.PutUpstream{Upstream: upstreamSpec(index, name, upstreamHalf(index))})
	}
	ops = append(ops, patch.PutFleet{Fleet: config.FleetSpec{LoadRateMilli: 20000, LoadBurst: 20}})
	for _, route := range []config.RouteSpec{
		{Name: "default", Service: modelService, MaxWait: maxWait, Idempotent: true, DefaultMaxTokens: 32},
		{Name: "orders", Service: plainService, Plain: true, PathPrefix: "/orders", Methods: []string{"POST"}, MaxWait: maxWait, Cost: plainCost},
		{Name: "stock", Service: plainService, Plain: true, PathPrefix: "/stock", Methods: []string{"GET"}, MaxWait: maxWait, Idempotent: true, Cost: plainCost},
		contendedRouteSpec(time.Second),
	} {
		ops = append(ops, patch.PutRoute{Route: route})
	}
	for index, organisation := range organisationSpecs {
		ops = append(ops, patch.PutOrganisation{Organisation: config.OrganisationSpec{
			Name: organisation.name, Half: organisation.half, Rate: organisation.rate, Burst: organisation.burst,
		}})
		key, spec := creds.Issue(organisation.name)
		deployment.keys.byOrganisation[index] = key
		ops = append(ops, patch.PutKey{Key: spec})
		for adapter := range adaptersPerOrganisation {
			ops = append(ops, patch.PutAdapter{Adapter: adapterSpec(index, adapter, 1)})
		}
	}
	key, spec := creds.Issue(organisationSpecs[0].name)
	deployment.keys.withdrawn, deployment.keys.withdrawnID = key, spec.ID
	ops = append(ops, patch.PutKey{Key: spec})
	initial := patch.Patch{ID: "initial", Operator: operatorName, Force: true, Ops: ops}
	if _, result := patch.Apply(config.New(), initial); result.Kind != patch.Accepted {
		return fmt.Errorf("initial configuration: %s", result)
	}
	data, err := codec.EncodePatch(initial)
	if err != nil {
		return err
	}
	for _, key := range append(deployment.keys.byOrganisation[:], deployment.keys.withdrawn) {
		deployment.network.secrets = append(deployment.network.secrets, secretPart(key))
	}
	deployment.logScanner.secrets = deployment.network.secrets
	deployment.platform.Append(configStream, data)
	return nil
}

// secretPart returns the part of a key that only its callers and the entry
// instances may see.
func secretPart(key string) []byte {
	return []byte(strings.SplitN(key, "_", 3)[2])
}

// leakScanner receives the log lines of all processes and counts callers' secrets
// in them.
type leakScanner struct {
	mutex   sync.Mutex
	secrets [][]byte
	lines   int
	leaks   int
}

func (leakScanner *leakScanner) logger() *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, leakScanner, zapcore.DebugLevel))
}

// Write implements zapcore.WriteSyncer.
func (leakScanner *leakScanner) Write(line []byte) (int, error) {
	leakScanner.mutex.Lock()
	defer leakScanner.mutex.Unlock()
	leakScanner.lines++
	for _, secret := range leakScanner.secrets {
		if bytes.Contains(line, secret) {
			leakScanner.leaks++
		}
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (*leakScanner) Sync() error { return nil }
