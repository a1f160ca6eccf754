package engsim

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// slot holds one adapter, loaded or loading.
type slot struct {
	ref    AdapterRef
	loaded bool
	// done is closed at the end of the load, of which err is the result.
	done chan struct{}
	err  error
}

// errLoadFailed is the result of a load that a fault makes fail.
var errLoadFailed = errors.New("the engine failed to load the adapter")

// serveLoad handles POST /v1/load_lora_adapter. Orders for an adapter that is
// loading share its load, which goes on when a caller leaves.
func (engine *Engine) serveLoad(writer http.ResponseWriter, request *http.Request) {
	ref, ok := engine.readOrder(writer, request)
	if !ok {
		return
	}
	slot, refused := engine.reserve(request, ref)
	if refused != nil {
		engine.refuse(writer, refused)
		return
	}
	select {
	case <-slot.done:
	case <-request.Context().Done():
		return
	}
	if slot.err != nil {
		engine.refuse(writer, &refusal{http.StatusBadGateway, "load-failed", fmt.Sprintf("load of %s: %v", ref, slot.err)})
		return
	}
	infra.WriteJSON(writer, ref)
}

// reserve returns the slot of an adapter and begins its load if there is none.
func (engine *Engine) reserve(request *http.Request, ref AdapterRef) (*slot, *refusal) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkFence(request); refused != nil {
		return nil, refused
	}
	if known, ok := engine.slots[ref]; ok {
		return known, nil
	}
	if len(engine.slots) >= engine.config.AdapterSlots {
		return nil, &refusal{http.StatusConflict, "no-slot", fmt.Sprintf("no slot of %d is free; unload an adapter first", engine.config.AdapterSlots)}
	}
	added := &slot{ref: ref, done: make(chan struct{})}
	engine.slots[ref] = added
	order := engine.observed.addLoad(ref)
	go engine.load(engine.life, added, order)
	return added, nil
}

// load fetches an adapter and ends its load.
func (engine *Engine) load(life context.Context, slot *slot, order *LoadOrder) {
	err := engine.config.WeightStore.Fetch(life, slot.ref.Adapter, slot.ref.Version)
	if fault, hit := engine.loads.Inject(ModeSlow, slot.ref.Adapter); hit && err == nil {
		timer := time.NewTimer(time.Duration(fault.Delay))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-life.Done():
		}
	}
	if _, hit := engine.loads.Inject(ModeFailing, slot.ref.Adapter); hit && err == nil {
		err = errLoadFailed
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if err == nil && life.Err() != nil {
		err = life.Err()
	}
	slot.err, slot.loaded = err, err == nil
	if err != nil && engine.slots[slot.ref] == slot {
		delete(engine.slots, slot.ref)
	}
	order.Ended = time.Now()
	if err != nil {
		order.Error = err.Error()
	}
	close(slot.done)
}

// serveUnload handles POST /v1/unload_lora_adapter. An adapter that is not loaded
// is no error, so that an order whose reply was lost can be repeated.
func (engine *Engine) serveUnload(writer http.ResponseWriter, request *http.Request) {
	ref, ok := engine.readOrder(writer, request)
	if !ok {
		return
	}
	if refused := engine.unload(request, ref); refused != nil {
		engine.refuse(writer, refused)
		return
	}
	infra.WriteJSON(writer, ref)
}

// unload frees the slot of an adapter.
func (engine *Engine) unload(request *http.Request, ref AdapterRef) *refusal {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkFence(request); refused != nil {
		return refused
	}
	known, ok := engine.slots[ref]
	if !ok {
		return nil
	}
	if !known.loaded {
		return &refusal{http.StatusConflict, "unload-loading", fmt.Sprintf("adapter %s is loading", ref)}
	}
	if users := engine.users(ref); len(users) > 0 {
		perform := engine.config.UnloadInUse == UnloadPerform
		engine.observed.addViolation(ref, users, perform)
		if !perform {
			return &refusal{http.StatusConflict, "unload-in-use", fmt.Sprintf("adapter %s is in use by %d requests", ref, len(users))}
		}
		for _, run := range users {
			engine.remove(run, outcomeEvicted)
		}
	}
	delete(engine.slots, ref)
	return nil
}

// loaded returns the adapters that are loaded, or those that are loading.
func (engine *Engine) loaded(loaded bool) []AdapterRef {
	refs := []AdapterRef{}
	for ref, slot := range engine.slots {
		if slot.loaded == loaded {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, cmpRef)
	return refs
}
