package start

import (
	"slices"

	"jacinthfront.dev/jacinthfront/internal/link/roster"
)

// leavingList implements side.Roster for one side process.
type leavingList struct{ parts *parts }

// Draining reports whether the instance list shows this side process as leaving,
// or a later one for the same upstream. A process that was paused while its
// successor started finds out so, even where the upstream ignores fencing
// tokens and the successor listens on another address.
func (list leavingList) Draining(upstream string) bool {
	id := list.parts.settings.Instance
	preferred, ok := list.parts.roster.SideProcess(upstream)
	if !ok || preferred.ID == id {
		return preferred.Draining
	}
	instances := list.parts.roster.Instances()
	index := slices.IndexFunc(instances, func(instance roster.Instance) bool { return instance.ID == id })
	if index < 0 {
		return false
	}
	own := instances[index]
	return own.Draining || preferred.AnnouncedAt.After(own.AnnouncedAt)
}
