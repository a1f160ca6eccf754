package patch

import (
	"slices"
	"strings"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	// maxRouteWait bounds the MaxWait of a route.
	maxRouteWait = time.Hour
	// maxVersions is the largest number of versions of one adapter.
	maxVersions = 64
)

func (op PutRoute) check() *Problem {
	route := op.Route
	if problem := firstProblem(checkName("name", route.Name), checkName("service", route.Service)); problem != nil {
		return problem
	}
	if route.Class > conf.Patient {
		return problemf("class", "%d is unknown; write interactive or patient", route.Class)
	}
	if route.MaxWait <= 0 || route.MaxWait > maxRouteWait || route.MaxWait%time.Microsecond != 0 {
		return problemf("longest-wait", "%v must be more than 0 and at most %v, in whole microseconds", route.MaxWait, maxRouteWait)
	}
	if route.DefaultMaxTokens < 0 || route.DefaultMaxTokens > maxTokens {
		return problemf("default-max-tokens", "%d must be 0 to %d", route.DefaultMaxTokens, maxTokens)
	}
	if route.Cost < 0 || route.Cost > maxTokens {
		return problemf("cost", "%d must be 0 to %d", route.Cost, maxTokens)
	}
	if !route.Plain {
		return checkModelRoute(route)
	}
	return checkPlainRoute(route)
}

func checkModelRoute(route conf.RouteSpec) *Problem {
	if route.PathPrefix != "" || len(route.Methods) > 0 || route.Cost != 0 {
		return problemf("plain", "is false, but path-prefix, methods and cost are for plain services; leave them out or set plain")
	}
	if route.DefaultMaxTokens == 0 {
		return problemf("default-max-tokens", "must be at least 1 on a route that runs on an adapter")
	}
	return nil
}

func checkPlainRoute(route conf.RouteSpec) *Problem {
	if !strings.HasPrefix(route.PathPrefix, "/") || len(route.PathPrefix) > maxNameLength || !printable(route.PathPrefix) {
		return problemf("path-prefix", "%q must start with / and have at most %d printable characters", route.PathPrefix, maxNameLength)
	}
	if route.DefaultMaxTokens != 0 {
		return problemf("default-max-tokens", "is for routes that run on an adapter; use cost")
	}
	for index, method := range route.Methods {
		if method == "" || len(method) > 16 || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			return problemf("methods", "%q is not an HTTP method in capitals", method)
		}
		if slices.Contains(route.Methods[:index], method) {
			return problemf("methods", "%s is listed twice", method)
		}
	}
	return nil
}

func (op PutRoute) apply(draft *draft) *Problem { //nolint:unparam // Op requires the result
	current, exists := draft.current().Route(op.Route.Name)
	draft.topologyChanged = draft.topologyChanged || !exists || current.Service != op.Route.Service
	draft.editor.PutRoute(op.Route)
	return nil
}

func (op PutRoute) verify(draft *draft) *Problem {
	return draft.checkPlain(op.Route.Service, op.Route.Plain)
}

func (op RemoveRoute) check() *Problem { return nil }

func (op RemoveRoute) apply(draft *draft) *Problem {
	if _, ok := draft.current().Route(op.Name); !ok {
		return problemf("", "route %q does not exist", op.Name)
	}
	draft.editor.RemoveRoute(op.Name)
	return nil
}

func (op RemoveRoute) verify(*draft) *Problem { return nil }

func (op PutAdapter) check() *Problem {
	adapter := op.Adapter
	if problem := firstProblem(checkName("name", adapter.Name), checkName("service", adapter.Service)); problem != nil {
		return problem
	}
	if len(adapter.Versions) == 0 || len(adapter.Versions) > maxVersions {
		return problemf("versions", "has %d entries; write 1 to %d", len(adapter.Versions), maxVersions)
	}
	var last uint32
	for _, version := range adapter.Versions {
		if version <= last {
			return problemf("versions", "%v must be positive, ascending and without duplicates", adapter.Versions)
		}
		last = version
	}
	if !adapter.HasVersion(adapter.DefaultVersion) {
		return problemf("default-version", "%d is not among the versions %v", adapter.DefaultVersion, adapter.Versions)
	}
	return nil
}

func (op PutAdapter) apply(draft *draft) *Problem { //nolint:unparam // Op requires the result
	draft.editor.PutAdapter(op.Adapter)
	return nil
}

func (op PutAdapter) verify(draft *draft) *Problem {
	if op.Adapter.Organisation != "" {
		if problem := draft.checkOrganisation("organisation", op.Adapter.Organisation); problem != nil {
			return problem
		}
	}
	if !draft.serviceExists(op.Adapter.Service) {
		return problemf("service", "no upstream and no route is configured for service %q; put one in this or an earlier patch", op.Adapter.Service)
	}
	return draft.checkPlain(op.Adapter.Service, false)
}

func (op RemoveAdapter) check() *Problem { return nil }

func (op RemoveAdapter) apply(draft *draft) *Problem {
	if _, ok := draft.current().Adapter(op.Name); !ok {
		return problemf("", "adapter %q does not exist", op.Name)
	}
	draft.editor.RemoveAdapter(op.Name)
	return nil
}

func (op RemoveAdapter) verify(*draft) *Problem { return nil }

func (draft *draft) serviceExists(service string) bool {
	for route := range draft.current().AllRoutes() {
		if route.Service == service {
			return true
		}
	}
	for upstream := range draft.current().AllUpstreams() {
		if upstream.Service == service {
			return true
		}
	}
	return false
}

// checkPlain rejects a service that is plain for some of its routes and
// upstreams but not for others.
func (draft *draft) checkPlain(service string, plain bool) *Problem {
	for route := range draft.current().AllRoutes() {
		if route.Service == service && route.Plain != plain {
			return problemf("plain", "differs from the other routes of service %q", service)
		}
	}
	for upstream := range draft.current().AllUpstreams() {
		if upstream.Service == service {
			if upstream.Plain != plain {
				return problemf("plain", "differs from the upstreams of service %q", service)
			}
			// All upstreams of a service agree, since each was checked when it was
			// put.
			break
		}
	}
	return nil
}
