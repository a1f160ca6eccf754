package side

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// gate checks whether a ticket may be sent to the upstream now. It is called
// on arrival, at each change of the configuration and, under the same lock as
// the dispatch, immediately before the request is sent.
func (server *Server) gate(ticket *ticket) *fault.Fault {
	if server.draining {
		return fault.New(fault.Draining, fault.NotRun, "this side process is stopping; send the request to another upstream")
	}
	if refusal := server.gateSuccession(); refusal != nil {
		return refusal
	}
	if server.records.Cancelled(ticket.attempt) {
		return fault.New(fault.Cancelled, fault.NotRun, "the attempt was cancelled; send the request anew")
	}
	config := server.current()
	if refusal := server.gateKey(config, ticket); refusal != nil {
		return refusal
	}
	if refusal := gateAdapter(config, ticket); refusal != nil {
		return refusal
	}
	if refusal := server.gateUpstream(config, ticket); refusal != nil {
		return refusal
	}
	if !ticket.plain && time.Since(server.engine.answered) > silence {
		return fault.New(fault.UpstreamFailed, fault.NotRun, "the engine does not answer; send the request to another upstream")
	}
	return nil
}

// gateKey checks that the key is valid and belongs to the organisation.
func (server *Server) gateKey(config *conf.Config, ticket *ticket) *fault.Fault {
	route, ok := config.Route(ticket.request.GetRoute())
	if !ok || route.Plain != ticket.plain {
		return fault.New(fault.UnknownRoute, fault.NotRun, "the route %q does not exist; list the routes", ticket.request.GetRoute())
	}
	id := ticket.request.GetKeyId()
	if id == "" && route.Open {
		return nil
	}
	if server.config.ConfigSource.Isolated() {
		return fault.New(fault.Stale, fault.NotRun,
			"this side process cannot learn of withdrawn keys at present; send the request to another upstream")
	}
	key, ok := config.Key(id)
	if !ok {
		return fault.New(fault.KeyWithdrawn, fault.NotRun, "the key is not valid; ask the operators for a new one")
	}
	if key.Organisation != ticket.organisation {
		return fault.New(fault.Forbidden, fault.NotRun, "the key belongs to another organisation; use the organisation's own key")
	}
	if _, ok := config.Organisation(ticket.organisation); !ok {
		return fault.New(fault.Forbidden, fault.NotRun, "the organisation does not exist; ask the operators")
	}
	return nil
}

// gateAdapter checks that the organisation may use the adapter in this version.
func gateAdapter(config *conf.Config, ticket *ticket) *fault.Fault {
	if ticket.plain {
		return nil
	}
	adapter, ok := config.Adapter(ticket.ref.Adapter)
	if !ok || !adapter.HasVersion(ticket.ref.Version) {
		return fault.New(fault.UnknownAdapter, fault.NotRun, "the adapter %s does not exist; list the models", ticket.ref)
	}
	if adapter.Organisation != "" && adapter.Organisation != ticket.organisation {
		return fault.New(fault.Forbidden, fault.NotRun, "the adapter %s belongs to another organisation", ticket.ref)
	}
	return nil
}

// gateUpstream checks that the upstream serves the organisation's half and
// stays.
func (server *Server) gateUpstream(config *conf.Config, ticket *ticket) *fault.Fault {
	upstream, ok := config.Upstream(server.config.UpstreamID)
	if !ok || upstream.Plain != ticket.plain || upstream.Service != ticket.route.Service {
		return fault.New(fault.NoUpstream, fault.NotRun,
			"this upstream does not serve %q; send the request to another upstream", ticket.route.Service)
	}
	organisation, _ := config.Organisation(ticket.organisation)
	if !organisation.Half.CompatibleWith(upstream.Half) {
		return fault.New(fault.WrongHalf, fault.NotRun,
			"this upstream belongs to the half %q; send the request to an upstream of the organisation's half", upstream.Half)
	}
	if server.config.Roster.Draining(server.config.UpstreamID) {
		return fault.New(fault.Draining, fault.NotRun, "this upstream is leaving; send the request to another upstream")
	}
	return nil
}

// elsewhere reports whether a refused request may succeed at another upstream.
func elsewhere(kind fault.Kind) bool {
	switch kind {
	case fault.Draining, fault.WrongHalf, fault.NoUpstream, fault.LoadFailed,
		fault.Overloaded, fault.Stale, fault.UpstreamFailed:
		return true
	default:
		return false
	}
}
