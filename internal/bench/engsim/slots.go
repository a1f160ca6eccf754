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
	// done is closed at the end of the load; err is its result.
	done chan struct{}
	err  error
}

// errLoadFailed is the result of a load under ModeFailing.
var errLoadFailed = errors.New("the engine failed to load the adapter")

// serveLoad handles POST /v1/load_lora_adapter. Concurrent orders for the same
// adapter share one load, which continues when a caller disconnects.
func (engine *Engine) serveLoad(writer http.ResponseWriter, request *http.Request) {
	ref, ok := engine.decodeOrder(writer, request)
	if !ok {
		return
	}
	slot, refused := engine.reserveSlot(request, ref)
	if refused != nil {
		engine.writeRefusal(writer, refused)
		return
	}
	select {
	case <-slot.done:
	case <-request.Context().Done():
		return
	}
	if slot.err != nil {
		engine.writeRefusal(writer, &refusal{http.StatusBadGateway, "load-failed", fmt.Sprintf("load of %s: %v", ref, slot.err)})
		return
	}
	infra.WriteJSON(writer, ref)
}

// reserveSlot returns the slot of an adapter. If there is none, it takes a free
// slot and starts the load.
func (engine *Engine) reserveSlot(request *http.Request, ref AdapterRef) (*slot, *refusal) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkFencingToken(request); refused != nil {
		return nil, refused
	}
	if existing, ok := engine.slots[ref]; ok {
		return existing, nil
	}
	if len(engine.slots) >= engine.config.AdapterSlots {
		return nil, &refusal{http.StatusConflict, "no-slot", fmt.Sprintf("no slot of %d is free; unload an adapter first", engine.config.AdapterSlots)}
	}
	added := &slot{ref: ref, done: make(chan struct{})}
	engine.slots[ref] = added
	order := engine.observer.addLoad(ref)
	go engine.loadAdapter(engine.incarnationCtx, added, order)
	return added, nil
}

// loadAdapter fetches the weights of an adapter and completes the load of its
// slot.
func (engine *Engine) loadAdapter(ctx context.Context, slot *slot, order *LoadOrder) {
	err := engine.config.WeightStore.Fetch(ctx, slot.ref.Adapter, slot.ref.Version)
	if fault, hit := engine.loadFaults.Inject(ModeSlow, slot.ref.Adapter); hit && err == nil {
		timer := time.NewTimer(time.Duration(fault.Delay))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if _, hit := engine.loadFaults.Inject(ModeFailing, slot.ref.Adapter); hit && err == nil {
		err = errLoadFailed
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
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

// serveUnload handles POST /v1/unload_lora_adapter. Unloading an adapter that is
// not loaded succeeds, so that an order whose response was lost can be repeated.
func (engine *Engine) serveUnload(writer http.ResponseWriter, request *http.Request) {
	ref, ok := engine.decodeOrder(writer, request)
	if !ok {
		return
	}
	if refused := engine.unloadAdapter(request, ref); refused != nil {
		engine.writeRefusal(writer, refused)
		return
	}
	infra.WriteJSON(writer, ref)
}

// unloadAdapter frees the slot of an adapter. If requests use the adapter, it
// refuses or ends these requests, depending on UnloadInUse.
func (engine *Engine) unloadAdapter(request *http.Request, ref AdapterRef) *refusal {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if refused := engine.checkFencingToken(request); refused != nil {
		return refused
	}
	existing, ok := engine.slots[ref]
	if !ok {
		return nil
	}
	if !existing.loaded {
		return &refusal{http.StatusConflict, "unload-loading", fmt.Sprintf("adapter %s is loading", ref)}
	}
	if users := engine.jobsUsing(ref); len(users) > 0 {
		perform := engine.config.UnloadInUse == UnloadPerform
		engine.observer.addViolation(ref, users, perform)
		if !perform {
			return &refusal{http.StatusConflict, "unload-in-use", fmt.Sprintf("adapter %s is in use by %d requests", ref, len(users))}
		}
		for _, job := range users {
			engine.endJob(job, outcomeEvicted)
		}
	}
	delete(engine.slots, ref)
	return nil
}

// listAdapters returns the adapters that are loaded, or those that are loading.
func (engine *Engine) listAdapters(loaded bool) []AdapterRef {
	refs := []AdapterRef{}
	for ref, slot := range engine.slots {
		if slot.loaded == loaded {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}
