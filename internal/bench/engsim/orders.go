package engsim

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// fencingHeader carries the fencing token of a request.
const fencingHeader = "X-Fencing-Token"

// roles are the roles that an engine can have.
var roles = []string{"serve", "prefill", "decode", "drain"}

// compareRefs orders adapters by name, then by version.
func compareRefs(a, b AdapterRef) int {
	return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}

// checkFencingToken refuses a request whose token is lower than the highest one
// seen, unless tokens are ignored. A missing token counts as 0. The caller holds
// the mutex.
func (engine *Engine) checkFencingToken(request *http.Request) *refusal {
	if engine.config.Fencing == FencingIgnored {
		return nil
	}
	text := cmp.Or(request.Header.Get(fencingHeader), "0")
	token, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return &refusal{http.StatusBadRequest, "invalid", fmt.Sprintf("%s %q is not a number", fencingHeader, text)}
	}
	if token < engine.newestFencingToken {
		return &refusal{http.StatusPreconditionFailed, "fenced", fmt.Sprintf("fencing token %d is older than %d", token, engine.newestFencingToken)}
	}
	engine.newestFencingToken = token
	return nil
}

// decodeOrder reads the adapter named by a load or unload order. If the body is
// invalid, it writes an error response and returns false.
func (engine *Engine) decodeOrder(writer http.ResponseWriter, request *http.Request) (AdapterRef, bool) {
	engine.requests.Add(request, nil)
	var ref AdapterRef
	if !infra.DecodeJSON(writer, request, &ref) {
		return AdapterRef{}, false
	}
	if ref.Adapter == "" {
		infra.WriteError(writer, http.StatusBadRequest, "the field \"adapter\" is missing")
		return AdapterRef{}, false
	}
	return ref, true
}

// serveRole handles POST /v1/role.
func (engine *Engine) serveRole(writer http.ResponseWriter, request *http.Request) {
	engine.requests.Add(request, nil)
	var order struct {
		Role string `json:"role"`
	}
	if !infra.DecodeJSON(writer, request, &order) {
		return
	}
	if !slices.Contains(roles, order.Role) {
		infra.WriteError(writer, http.StatusBadRequest, "role %q; write one of %v", order.Role, roles)
		return
	}
	engine.mutex.Lock()
	refused := engine.checkFencingToken(request)
	if refused == nil {
		engine.role = order.Role
	}
	engine.mutex.Unlock()
	if refused != nil {
		engine.writeRefusal(writer, refused)
		return
	}
	infra.WriteJSON(writer, order)
}

// stateResponse is the response to GET /v1/state. Running and Waiting are
// ReportLag old; the other fields are current.
type stateResponse struct {
	Incarnation  string       `json:"epoch"`
	Slots        int          `json:"slots"`
	Loaded       []AdapterRef `json:"loaded"`
	Loading      []AdapterRef `json:"loading"`
	FencingToken uint64       `json:"fence"`
	Role         string       `json:"role"`
	Running      int          `json:"running"`
	Waiting      int          `json:"waiting"`
}

// serveState handles GET /v1/state.
func (engine *Engine) serveState(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	engine.requests.Add(request, nil)
	engine.mutex.Lock()
	load := engine.laggedLoad(time.Now())
	current := stateResponse{
		Incarnation: engine.incarnation, Slots: engine.config.AdapterSlots, Loaded: engine.listAdapters(true), Loading: engine.listAdapters(false),
		FencingToken: engine.newestFencingToken, Role: engine.role, Running: load.running, Waiting: load.waiting,
	}
	engine.mutex.Unlock()
	infra.WriteJSON(writer, current)
}
