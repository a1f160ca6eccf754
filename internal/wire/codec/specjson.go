package codec

import (
	"encoding/base64"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// OrganisationToJSON returns the JSON form of an organisation.
func OrganisationToJSON(organisation conf.OrganisationSpec) OrganisationJSON {
	return OrganisationJSON{
		Name:   organisation.Name,
		Half:   string(organisation.Half),
		Rate:   int64(organisation.Rate),
		Burst:  int64(organisation.Burst),
		Shards: organisation.Shards,
	}
}

func (form OrganisationJSON) spec() conf.OrganisationSpec {
	return conf.OrganisationSpec{
		Name:   form.Name,
		Half:   conf.Half(form.Half),
		Rate:   conf.Tokens(form.Rate),
		Burst:  conf.Tokens(form.Burst),
		Shards: form.Shards,
	}
}

// KeyToJSON returns the JSON form of a key, without its salt and digest.
func KeyToJSON(key conf.KeySpec) KeyJSON {
	return KeyJSON{ID: key.ID, Organisation: key.Organisation}
}

func (form KeyJSON) spec() (conf.KeySpec, error) {
	salt, err := base64.StdEncoding.DecodeString(form.Salt)
	if err != nil {
		return conf.KeySpec{}, fmt.Errorf("put-key.salt is not base64: %w", err)
	}
	digest, err := base64.StdEncoding.DecodeString(form.Digest)
	if err != nil || len(digest) != conf.DigestSize {
		return conf.KeySpec{}, fmt.Errorf("put-key.digest is not base64 of %d bytes", conf.DigestSize)
	}
	return conf.KeySpec{
		ID: form.ID, Organisation: form.Organisation, Salt: salt, Digest: [conf.DigestSize]byte(digest),
	}, nil
}

// RouteToJSON returns the JSON form of a route.
func RouteToJSON(route conf.RouteSpec) RouteJSON {
	return RouteJSON{
		Name:             route.Name,
		Service:          route.Service,
		Plain:            route.Plain,
		PathPrefix:       route.PathPrefix,
		Methods:          route.Methods,
		Class:            route.Class,
		MaxWait:          duration(route.MaxWait),
		Idempotent:       route.Idempotent,
		Open:             route.Open,
		DefaultMaxTokens: int64(route.DefaultMaxTokens),
		Cost:             int64(route.Cost),
	}
}

func (form RouteJSON) spec() conf.RouteSpec {
	return conf.RouteSpec{
		Name:             form.Name,
		Service:          form.Service,
		Plain:            form.Plain,
		PathPrefix:       form.PathPrefix,
		Methods:          form.Methods,
		Class:            form.Class,
		MaxWait:          time.Duration(form.MaxWait),
		Idempotent:       form.Idempotent,
		Open:             form.Open,
		DefaultMaxTokens: conf.Tokens(form.DefaultMaxTokens),
		Cost:             conf.Tokens(form.Cost),
	}
}

// AdapterToJSON returns the JSON form of an adapter.
func AdapterToJSON(adapter conf.AdapterSpec) AdapterJSON { return AdapterJSON(adapter) }

func (form AdapterJSON) spec() conf.AdapterSpec { return conf.AdapterSpec(form) }

// UpstreamToJSON returns the JSON form of an upstream.
func UpstreamToJSON(upstream conf.UpstreamSpec) UpstreamJSON {
	return UpstreamJSON{
		ID:             upstream.ID,
		Service:        upstream.Service,
		Plain:          upstream.Plain,
		Half:           string(upstream.Half),
		FailureDomain:  upstream.FailureDomain,
		FencingChecked: upstream.FencingChecked,
	}
}

func (form UpstreamJSON) spec() conf.UpstreamSpec {
	return conf.UpstreamSpec{
		ID:             form.ID,
		Service:        form.Service,
		Plain:          form.Plain,
		Half:           conf.Half(form.Half),
		FailureDomain:  form.FailureDomain,
		FencingChecked: form.FencingChecked,
	}
}

// FleetToJSON returns the JSON form of the settings of the whole fleet.
func FleetToJSON(fleet conf.FleetSpec) FleetJSON { return FleetJSON(fleet) }

func (form FleetJSON) spec() conf.FleetSpec { return conf.FleetSpec(form) }
