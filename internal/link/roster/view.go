package roster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// stateLeaving is the state of an instance that gets no new work.
const stateLeaving = "leaving"

// Instance is one entry of the list.
type Instance struct {
	ID            string
	Role          string
	Upstream      string
	Address       string
	FailureDomain string
	Draining      bool
	// AnnouncedAt is when the platform added the instance.
	AnnouncedAt time.Time
}

// update is an answer of the platform. Unless it is complete, it holds what has
// changed since the revision asked for.
type update struct {
	Revision  string   `json:"revision"`
	Complete  bool     `json:"complete"`
	Removed   []string `json:"removed"`
	Instances []struct {
		ID            string    `json:"id"`
		Role          string    `json:"role"`
		Upstream      string    `json:"upstream"`
		Address       string    `json:"address"`
		FailureDomain string    `json:"failure-domain"`
		State         string    `json:"state"`
		Announced     time.Time `json:"announced"`
	} `json:"instances"`
}

// decode reads an update of bounded size.
func decode(body io.Reader) (update, error) {
	var read update
	data, err := io.ReadAll(io.LimitReader(body, maxList+1))
	if err != nil {
		return read, err
	}
	if len(data) > maxList {
		return read, fmt.Errorf("more than %d bytes", maxList)
	}
	if err := json.Unmarshal(data, &read); err != nil {
		return read, err
	}
	if read.Revision == "" {
		return read, fmt.Errorf("no field \"revision\"")
	}
	return read, nil
}

// view is the list at one time, immutable once stored. Instances are in the
// order in which they were announced.
type view struct {
	time      time.Time
	revision  string
	instances []Instance
	sides     map[string]Instance
}

// apply returns the view after an update.
func (view *view) apply(now time.Time, update update) *view {
	next := *view
	next.time, next.revision = now, update.Revision
	if !update.Complete && len(update.Instances) == 0 && len(update.Removed) == 0 {
		return &next
	}
	byID := make(map[string]Instance, len(view.instances)+len(update.Instances))
	if !update.Complete {
		for _, instance := range view.instances {
			byID[instance.ID] = instance
		}
	}
	for _, id := range update.Removed {
		delete(byID, id)
	}
	for _, changed := range update.Instances {
		byID[changed.ID] = Instance{
			ID: changed.ID, Role: changed.Role, Upstream: changed.Upstream, Address: changed.Address,
			FailureDomain: changed.FailureDomain, Draining: changed.State == stateLeaving, AnnouncedAt: changed.Announced,
		}
	}
	next.index(byID)
	return &next
}

// index fills the view's instances and sides.
func (view *view) index(byID map[string]Instance) {
	view.instances = make([]Instance, 0, len(byID))
	for _, instance := range byID {
		view.instances = append(view.instances, instance)
	}
	slices.SortFunc(view.instances, func(a, b Instance) int {
		return cmp.Or(a.AnnouncedAt.Compare(b.AnnouncedAt), cmp.Compare(a.ID, b.ID))
	})
	view.sides = make(map[string]Instance)
	for _, instance := range view.instances {
		if instance.Role != RoleSide {
			continue
		}
		if known, ok := view.sides[instance.Upstream]; ok && instance.Draining && !known.Draining {
			continue
		}
		view.sides[instance.Upstream] = instance
	}
}
