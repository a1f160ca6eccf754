package roster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// stateDraining is the list's state of an instance that is draining.
const stateDraining = "leaving"

// Instance is an entry of the instance list.
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

// listUpdate is a response of the platform. Unless Complete is set, it holds only
// the changes since the revision of the request.
type listUpdate struct {
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

// decode reads a response of at most maxResponseSize bytes.
func decode(body io.Reader) (listUpdate, error) {
	var decoded listUpdate
	data, err := io.ReadAll(io.LimitReader(body, maxResponseSize+1))
	if err != nil {
		return decoded, err
	}
	if len(data) > maxResponseSize {
		return decoded, fmt.Errorf("more than %d bytes", maxResponseSize)
	}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return decoded, err
	}
	if decoded.Revision == "" {
		return decoded, fmt.Errorf("no field \"revision\"")
	}
	return decoded, nil
}

// view is the list after an update. It is not modified once it is stored.
// Instances are in the order of their announcement.
type view struct {
	fetchedAt     time.Time
	revision      string
	instances     []Instance
	sideProcesses map[string]Instance
}

// apply returns a copy of the view with an update applied.
func (view *view) apply(now time.Time, update listUpdate) *view {
	updated := *view
	updated.fetchedAt, updated.revision = now, update.Revision
	if !update.Complete && len(update.Instances) == 0 && len(update.Removed) == 0 {
		return &updated
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
			FailureDomain: changed.FailureDomain, Draining: changed.State == stateDraining, AnnouncedAt: changed.Announced,
		}
	}
	updated.index(byID)
	return &updated
}

// index sets the view's instances and side processes.
func (view *view) index(byID map[string]Instance) {
	view.instances = make([]Instance, 0, len(byID))
	for _, instance := range byID {
		view.instances = append(view.instances, instance)
	}
	slices.SortFunc(view.instances, func(a, b Instance) int {
		return cmp.Or(a.AnnouncedAt.Compare(b.AnnouncedAt), cmp.Compare(a.ID, b.ID))
	})
	view.sideProcesses = make(map[string]Instance)
	for _, instance := range view.instances {
		if instance.Role != RoleSide {
			continue
		}
		if known, ok := view.sideProcesses[instance.Upstream]; ok && instance.Draining && !known.Draining {
			continue
		}
		view.sideProcesses[instance.Upstream] = instance
	}
}
