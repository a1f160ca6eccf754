package entry

import (
	"net/http"
	"strconv"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// lookUpAdapter resolves ADAPTER or ADAPTER@VERSION.
func lookUpAdapter(config *conf.Config, name string) (conf.AdapterSpec, uint32, bool) {
	name, suffix, pinned := strings.Cut(name, "@")
	adapter, ok := config.Adapter(name)
	if !ok {
		return adapter, 0, false
	}
	version := adapter.DefaultVersion
	if pinned {
		number, err := strconv.ParseUint(suffix, 10, 32)
		if err != nil || strconv.FormatUint(number, 10) != suffix {
			return adapter, 0, false
		}
		version = uint32(number)
	}
	return adapter, version, adapter.HasVersion(version)
}

func modelName(adapter string, version uint32) string {
	return adapter + "@" + strconv.FormatUint(uint64(version), 10)
}

// modelList is the response of the public models API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the adapters that the key may use on the route.
func (exchange *exchange) serveModels() *fault.Fault {
	if fault := exchange.resolveModelRoute(); fault != nil {
		return fault
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, adapter := range exchange.config.Adapters() {
		if adapter.Service != exchange.route.Service || !exchange.mayUse(adapter) {
			continue
		}
		list.Data = append(list.Data, modelItem{ID: adapter.Name, Object: "model", OwnedBy: adapter.Organisation})
		for _, version := range adapter.Versions {
			list.Data = append(list.Data, modelItem{ID: modelName(adapter.Name, version), Object: "model", OwnedBy: adapter.Organisation})
		}
	}
	exchange.writeJSON(http.StatusOK, list)
	return nil
}

// resolveModelRoute authenticates the caller and finds the route of a model
// endpoint.
func (exchange *exchange) resolveModelRoute() *fault.Fault {
	route, ok := exchange.config.Route(exchange.routeName())
	known := ok && !route.Plain
	if fault := exchange.authenticate(known && route.Open); fault != nil {
		return fault
	}
	if !known {
		return fault.New(fault.UnknownRoute, fault.NotRun, "no such route to a model service; ask an operator for the names of the routes")
	}
	exchange.route = route
	return nil
}
