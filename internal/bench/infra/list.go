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

// The states of instances in the list.
const (
	StateLive     = "live"
	StateDraining = "leaving"
)

// The fault modes of the instance list.
const (
	// ModeStale makes readers see the list as of the start of the fault.
	ModeStale = "stale"
	// ModeShowRemoved makes readers see removed instances with their last state.
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
	// Announced is when the instance was added. The list sets it.
	Announced time.Time `json:"announced"`
}

// change is one change of the list, which readers see from visibleAt on.
type change struct {
	visibleAt time.Time
	sequence  int
	instance  Instance
	removed   bool
}

// instanceList is a list of instances whose changes become visible to readers
// after a lag with jitter. Changes may become visible out of order.
type instanceList struct {
	lag, jitter time.Duration
	faults      *FaultInjector

	mutex    sync.Mutex
	random   *rand.Rand
	sequence int
	pending  []change
	// entries holds the latest visible change of each instance, by its id.
	entries   map[string]change
	revisions *revisions
}

// newInstanceList returns an empty list.
func newInstanceList(config Config) *instanceList {
	return &instanceList{
		lag: config.ListLag, jitter: config.ListLagJitter,
		faults:  NewFaultInjector(config.Seed+2, ModeDown, ModeRefusing, ModeSlow, ModeStale, ModeShowRemoved),
		random:  rand.New(rand.NewPCG(config.Seed, 2)),
		entries: map[string]change{}, revisions: newRevisions(),
	}
}

// put records a change, which becomes visible after the lag.
func (list *instanceList) put(instance Instance, removed bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	lag := list.lag
	if list.jitter > 0 {
		lag += time.Duration(list.random.Int64N(int64(list.jitter)))
	}
	list.sequence++
	instance.Announced = time.Now().Round(0)
	list.pending = append(list.pending, change{time.Now().Add(lag), list.sequence, instance, removed})
}

// applyDue makes the changes visible whose lag has passed. While the list is
// stale, these are the changes that were due when the fault began.
func (list *instanceList) applyDue() {
	now := time.Now()
	if since, stale := list.faults.ActiveSince(ModeStale); stale {
		now = since
	}
	list.pending = slices.DeleteFunc(list.pending, func(change change) bool {
		if change.visibleAt.After(now) {
			return false
		}
		list.apply(change)
		return true
	})
}

// apply makes one change visible, unless a later change of the same instance
// already is. An instance keeps the time of its first announcement until it is
// removed.
func (list *instanceList) apply(change change) {
	id := change.instance.ID
	visible, ok := list.entries[id]
	if ok && visible.sequence > change.sequence {
		return
	}
	if ok && !visible.removed {
		change.instance.Announced = visible.instance.Announced
	}
	if change.removed {
		change.instance = visible.instance
		change.instance.ID = id
	}
	list.entries[id] = change
}

// view returns the instances that readers see, ordered by announcement. The
// caller holds the mutex.
func (list *instanceList) view() []Instance {
	list.applyDue()
	instances := make([]Instance, 0, len(list.entries))
	for id, entry := range list.entries {
		if entry.removed {
			if _, shown := list.faults.Inject(ModeShowRemoved, id); !shown || entry.instance.Role == "" {
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

// changesSince returns the changes after the revision that a reader has seen.
func (list *instanceList) changesSince(revision string) listResponse {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.revisions.update(list.view())
	return list.revisions.changesSince(revision)
}

// injectFaults applies the faults that affect every call, and reports whether
// the call may proceed.
func (list *instanceList) injectFaults(writer http.ResponseWriter, request *http.Request) bool {
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
	if !list.injectFaults(writer, request) {
		return
	}
	WriteJSON(writer, list.changesSince(request.URL.Query().Get("since")))
}

// servePut handles PUT /v1/instances/ID.
func (list *instanceList) servePut(writer http.ResponseWriter, request *http.Request) {
	var instance Instance
	if !DecodeJSON(writer, request, &instance) || !list.injectFaults(writer, request) {
		return
	}
	instance.ID = request.PathValue("id")
	if err := instance.validate(); err != nil {
		WriteError(writer, http.StatusBadRequest, "instance %q: %v", instance.ID, err)
		return
	}
	list.put(instance, false)
	WriteJSON(writer, instance)
}

// validate returns an error if a field has an invalid value. An empty state
// becomes StateLive.
func (instance *Instance) validate() error {
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
	if !list.injectFaults(writer, request) {
		return
	}
	list.put(Instance{ID: request.PathValue("id")}, true)
	WriteJSON(writer, map[string]string{"id": request.PathValue("id")})
}
