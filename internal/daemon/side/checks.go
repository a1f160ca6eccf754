package side

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// checkDispatch returns why a request must not be sent to the upstream now, or
// nil. It is called on arrival, at each change of the configuration and, under
// the same lock as the dispatch, immediately before the request is sent.
func (server *Server) checkDispatch(task *task) *fault.Fault {
	if server.draining {
		return fault.New(fault.Draining, fault.NotRun, "this side process is stopping; send the request to another upstream")
	}
	if refusal := server.checkSuperseded(); refusal != nil {
		return refusal
	}
	if server.attempts.Cancelled(task.attempt) {
		return fault.New(fault.Cancelled, fault.NotRun, "the attempt was cancelled; send the request anew")
	}
	config := server.current()
	if refusal := server.checkKey(config, task); refusal != nil {
		return refusal
	}
	if refusal := checkAdapter(config, task); refusal != nil {
		return refusal
	}
	if refusal := server.checkUpstream(config, task); refusal != nil {
		return refusal
	}
	if !task.plain && time.Since(server.engine.reportedAt) > unresponsiveAfter {
		return fault.New(fault.UpstreamFailed, fault.NotRun, "the engine does not answer; send the request to another upstream")
	}
	return nil
}

// checkKey checks that the route exists and that the key is valid and belongs
// to the organisation. Open routes need no key.
func (server *Server) checkKey(config *conf.Config, task *task) *fault.Fault {
	route, ok := config.Route(task.request.GetRoute())
	if !ok || route.Plain != task.plain {
		return fault.New(fault.UnknownRoute, fault.NotRun, "the route %q does not exist; list the routes", task.request.GetRoute())
	}
	id := task.request.GetKeyId()
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
	if key.Organisation != task.organisation {
		return fault.New(fault.Forbidden, fault.NotRun, "the key belongs to another organisation; use the organisation's own key")
	}
	if _, ok := config.Organisation(task.organisation); !ok {
		return fault.New(fault.Forbidden, fault.NotRun, "the organisation does not exist; ask the operators")
	}
	return nil
}

// checkAdapter checks that the adapter has this version and that the
// organisation may use it.
func checkAdapter(config *conf.Config, task *task) *fault.Fault {
	if task.plain {
		return nil
	}
	adapter, ok := config.Adapter(task.ref.Adapter)
	if !ok || !adapter.HasVersion(task.ref.Version) {
		return fault.New(fault.UnknownAdapter, fault.NotRun, "the adapter %s does not exist; list the models", task.ref)
	}
	if adapter.Organisation != "" && adapter.Organisation != task.organisation {
		return fault.New(fault.Forbidden, fault.NotRun, "the adapter %s belongs to another organisation", task.ref)
	}
	return nil
}

// checkUpstream checks that the upstream provides the route's service, serves
// the organisation's half and is not draining.
func (server *Server) checkUpstream(config *conf.Config, task *task) *fault.Fault {
	upstream, ok := config.Upstream(server.config.UpstreamID)
	if !ok || upstream.Plain != task.plain || upstream.Service != task.route.Service {
		return fault.New(fault.NoUpstream, fault.NotRun,
			"this upstream does not serve %q; send the request to another upstream", task.route.Service)
	}
	organisation, _ := config.Organisation(task.organisation)
	if !organisation.Half.CompatibleWith(upstream.Half) {
		return fault.New(fault.WrongHalf, fault.NotRun,
			"this upstream belongs to the half %q; send the request to an upstream of the organisation's half", upstream.Half)
	}
	if server.config.DrainStatus.Draining(server.config.UpstreamID) {
		return fault.New(fault.Draining, fault.NotRun, "this upstream is leaving; send the request to another upstream")
	}
	return nil
}

// mayTryElsewhere reports whether a refused request may succeed at another
// upstream.
func mayTryElsewhere(kind fault.Kind) bool {
	switch kind {
	case fault.Draining, fault.WrongHalf, fault.NoUpstream, fault.LoadFailed,
		fault.Overloaded, fault.Stale, fault.UpstreamFailed:
		return true
	default:
		return false
	}
}
