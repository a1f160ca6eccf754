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

// fencingHeader carries the fencing token of an order.
const fencingHeader = "X-Fencing-Token"

// roles are the roles that an engine can have.
var roles = []string{"serve", "prefill", "decode", "drain"}

// cmpRef orders adapters by name, then by version.
func cmpRef(a, b AdapterRef) int {
	return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}

// checkFence refuses a token older than the newest one, if tokens are checked; a
// missing token counts as 0. The caller holds the mutex.
func (engine *Engine) checkFence(request *http.Request) *refusal {
	if engine.config.Fencing == FencingIgnored {
		return nil
	}
	text := cmp.Or(request.Header.Get(fencingHeader), "0")
	token, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return &refusal{http.StatusBadRequest, "invalid", fmt.Sprintf("%s %q is not a number", fencingHeader, text)}
	}
	if token < engine.fence {
		return &refusal{http.StatusPreconditionFailed, "fenced", fmt.Sprintf("fencing token %d is older than %d", token, engine.fence)}
	}
	engine.fence = token
	return nil
}

// readOrder reads the adapter that an order names.
func (engine *Engine) readOrder(writer http.ResponseWriter, request *http.Request) (AdapterRef, bool) {
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
	refused := engine.checkFence(request)
	if refused == nil {
		engine.role = order.Role
	}
	engine.mutex.Unlock()
	if refused != nil {
		engine.refuse(writer, refused)
		return
	}
	infra.WriteJSON(writer, order)
}

// state is the answer to GET /v1/state. Running and Waiting lag, the rest is
// current.
type state struct {
	Epoch   string       `json:"epoch"`
	Slots   int          `json:"slots"`
	Loaded  []AdapterRef `json:"loaded"`
	Loading []AdapterRef `json:"loading"`
	Fence   uint64       `json:"fence"`
	Role    string       `json:"role"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
}

// serveState handles GET /v1/state.
func (engine *Engine) serveState(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	engine.requests.Add(request, nil)
	engine.mutex.Lock()
	load := engine.lagged(time.Now())
	current := state{
		Epoch: engine.epoch, Slots: engine.config.AdapterSlots, Loaded: engine.loaded(true), Loading: engine.loaded(false),
		Fence: engine.fence, Role: engine.role, Running: load.running, Waiting: load.waiting,
	}
	engine.mutex.Unlock()
	infra.WriteJSON(writer, current)
}
