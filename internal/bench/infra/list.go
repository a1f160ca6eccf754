package infra

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The states of instances.
const (
	StateLive     = "live"
	StateDraining = "leaving"
)

// The faults of the instance list.
const (
	// ModeStale shows the list as it was when the fault began.
	ModeStale = "stale"
	// ModeShowRemoved shows removed instances again, with their last state.
	ModeShowRemoved = "returning"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Upstream      string `json:"upstream,omitempty"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	// Announced is when the instance was added, as set by the list.
	Announced time.Time `json:"announced"`
}

// change is one change of the list, seen by readers from a later time on.
type change struct {
	visible  time.Time
	sequence int
	instance Instance
	removed  bool
}

// instanceList shows changes late.
type instanceList struct {
	lag, spread time.Duration
	faults      *FaultInjector

	mutex    sync.Mutex
	random   *rand.Rand
	sequence int
	pending  []change
	// entries holds the latest visible change of each instance.
	entries   map[string]change
	revisions *revisions
}

// newInstanceList returns an empty list.
func newInstanceList(config Config) *instanceList {
	return &instanceList{
		lag: config.ListLag, spread: config.ListLagJitter,
		faults:  NewFaultInjector(config.Seed+2, ModeDown, ModeRefusing, ModeSlow, ModeStale, ModeShowRemoved),
		random:  rand.New(rand.NewPCG(config.Seed, 2)),
		entries: map[string]change{}, revisions: newRevisions(),
	}
}

// put records a change.
func (list *instanceList) put(instance Instance, removed bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	lag := list.lag
	if list.spread > 0 {
		lag += time.Duration(list.random.Int64N(int64(list.spread)))
	}
	list.sequence++
	instance.Announced = time.Now().Round(0)
	list.pending = append(list.pending, change{time.Now().Add(lag), list.sequence, instance, removed})
}

// advance makes the changes visible whose time has come. A change never undoes
// a later one of the same instance.
func (list *instanceList) advance() {
	now := time.Now()
	if since, stale := list.faults.ActiveSince(ModeStale); stale {
		now = since
	}
	list.pending = slices.DeleteFunc(list.pending, func(change change) bool {
		if change.visible.After(now) {
			return false
		}
		list.apply(change)
		return true
	})
}

// apply makes one change visible.
func (list *instanceList) apply(change change) {
	id := change.instance.ID
	known, ok := list.entries[id]
	if ok && known.sequence > change.sequence {
		return
	}
	if ok && !known.removed {
		change.instance.Announced = known.instance.Announced
	}
	if change.removed {
		change.instance = known.instance
		change.instance.ID = id
	}
	list.entries[id] = change
}

// view returns what readers see. The caller holds the mutex.
func (list *instanceList) view() []Instance {
	list.advance()
	instances := make([]Instance, 0, len(list.entries))
	for id, entry := range list.entries {
		if entry.removed {
			if _, returns := list.faults.Inject(ModeShowRemoved, id); !returns || entry.instance.Role == "" {
				continue
			}
		}
		instances = append(instances, entry.instance)
	}
	slices.SortFunc(instances, func(a, b Instance) int {
		return cmp.Or(a.Announced.Compare(b.Announced), cmp.Compare(a.ID, b.ID))
	})
	return instances
}

// since returns what a reader lacks that has seen a revision.
func (list *instanceList) since(revision string) listAnswer {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.revisions.update(list.view())
	return list.revisions.since(revision)
}

// disturb applies the faults of all calls.
func (list *instanceList) disturb(writer http.ResponseWriter, request *http.Request) bool {
	if _, hit := list.faults.Inject(ModeDown, ""); hit {
		AbortConnection()
	}
	if _, hit := list.faults.Inject(ModeRefusing, ""); hit {
		WriteRetryableError(writer, http.StatusServiceUnavailable, time.Second, "the instance list is unavailable")
		return false
	}
	if fault, hit := list.faults.Inject(ModeSlow, ""); hit {
		return Pause(request, time.Duration(fault.Delay))
	}
	return true
}

// serveList handles GET /v1/instances?since=REVISION.
func (list *instanceList) serveList(writer http.ResponseWriter, request *http.Request) {
	if !list.disturb(writer, request) {
		return
	}
	WriteJSON(writer, list.since(request.URL.Query().Get("since")))
}

// servePut handles PUT /v1/instances/ID.
func (list *instanceList) servePut(writer http.ResponseWriter, request *http.Request) {
	var instance Instance
	if !DecodeJSON(writer, request, &instance) || !list.disturb(writer, request) {
		return
	}
	instance.ID = request.PathValue("id")
	if err := instance.check(); err != nil {
		WriteError(writer, http.StatusBadRequest, "instance %q: %v", instance.ID, err)
		return
	}
	list.put(instance, false)
	WriteJSON(writer, instance)
}

// check returns an error if a field has no usable value.
func (instance *Instance) check() error {
	if instance.State == "" {
		instance.State = StateLive
	}
	switch {
	case instance.State != StateLive && instance.State != StateDraining:
		return fmt.Errorf("state %q; write live or leaving", instance.State)
	case instance.Role != "entry" && instance.Role != "side":
		return fmt.Errorf("role %q; write entry or side", instance.Role)
	case instance.Role == "side" && instance.Upstream == "":
		return fmt.Errorf("a side process needs its upstream")
	case instance.Address == "":
		return fmt.Errorf("the address is missing")
	}
	return nil
}

// serveDelete handles DELETE /v1/instances/ID.
func (list *instanceList) serveDelete(writer http.ResponseWriter, request *http.Request) {
	if !list.disturb(writer, request) {
		return
	}
	list.put(Instance{ID: request.PathValue("id")}, true)
	WriteJSON(writer, map[string]string{"id": request.PathValue("id")})
}
