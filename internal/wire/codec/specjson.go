package codec

import (
	"encoding/base64"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// OrganisationToJSON converts an organisation.
func OrganisationToJSON(organisation model.OrganisationSpec) OrganisationJSON {
	return OrganisationJSON{
		Name:   organisation.Name,
		Half:   string(organisation.Half),
		Rate:   int64(organisation.Rate),
		Burst:  int64(organisation.Burst),
		Shards: organisation.Shards,
	}
}

func (form OrganisationJSON) spec() model.OrganisationSpec {
	return model.OrganisationSpec{
		Name:   form.Name,
		Half:   model.Half(form.Half),
		Rate:   model.Tokens(form.Rate),
		Burst:  model.Tokens(form.Burst),
		Shards: form.Shards,
	}
}

// KeyToJSON converts a key without its salt and digest.
func KeyToJSON(key model.KeySpec) KeyJSON {
	return KeyJSON{ID: key.ID, Organisation: key.Organisation}
}

func (form KeyJSON) spec() (model.KeySpec, error) {
	salt, err := base64.StdEncoding.DecodeString(form.Salt)
	if err != nil {
		return model.KeySpec{}, fmt.Errorf("put-key.salt is not base64: %w", err)
	}
	digest, err := base64.StdEncoding.DecodeString(form.Digest)
	if err != nil || len(digest) != model.DigestSize {
		return model.KeySpec{}, fmt.Errorf("put-key.digest is not base64 of %d bytes", model.DigestSize)
	}
	return model.KeySpec{
		ID: form.ID, Organisation: form.Organisation, Salt: salt, Digest: [model.DigestSize]byte(digest),
	}, nil
}

// RouteToJSON converts a route.
func RouteToJSON(route model.RouteSpec) RouteJSON {
	return RouteJSON{
		Name:             route.Name,
		Service:          route.Service,
		Plain:            route.Plain,
		PathPrefix:       route.PathPrefix,
		Methods:          route.Methods,
		Class:            route.Class,
		LongestWait:      duration(route.LongestWait),
		Idempotent:       route.Idempotent,
		Open:             route.Open,
		DefaultMaxTokens: int64(route.DefaultMaxTokens),
		Cost:             int64(route.Cost),
	}
}

func (form RouteJSON) spec() model.RouteSpec {
	return model.RouteSpec{
		Name:             form.Name,
		Service:          form.Service,
		Plain:            form.Plain,
		PathPrefix:       form.PathPrefix,
		Methods:          form.Methods,
		Class:            form.Class,
		LongestWait:      time.Duration(form.LongestWait),
		Idempotent:       form.Idempotent,
		Open:             form.Open,
		DefaultMaxTokens: model.Tokens(form.DefaultMaxTokens),
		Cost:             model.Tokens(form.Cost),
	}
}

// AdapterToJSON converts an adapter.
func AdapterToJSON(adapter model.AdapterSpec) AdapterJSON { return AdapterJSON(adapter) }

func (form AdapterJSON) spec() model.AdapterSpec { return model.AdapterSpec(form) }

// UpstreamToJSON converts an upstream.
func UpstreamToJSON(upstream model.UpstreamSpec) UpstreamJSON {
	return UpstreamJSON{
		ID:             upstream.ID,
		Service:        upstream.Service,
		Plain:          upstream.Plain,
		Half:           string(upstream.Half),
		FailureDomain:  upstream.FailureDomain,
		FencingChecked: upstream.FencingChecked,
	}
}

func (form UpstreamJSON) spec() model.UpstreamSpec {
	return model.UpstreamSpec{
		ID:             form.ID,
		Service:        form.Service,
		Plain:          form.Plain,
		Half:           model.Half(form.Half),
		FailureDomain:  form.FailureDomain,
		FencingChecked: form.FencingChecked,
	}
}

// FleetToJSON converts the fleet's settings.
func FleetToJSON(fleet model.FleetSpec) FleetJSON { return FleetJSON(fleet) }

func (form FleetJSON) spec() model.FleetSpec { return model.FleetSpec(form) }
