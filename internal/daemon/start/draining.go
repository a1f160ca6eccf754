package start

import (
	"slices"

	"jacinthfront.dev/jacinthfront/internal/link/roster"
)

// sideRoster implements side.Roster for one side process.
type sideRoster struct{ components *components }

// Draining reports whether the instance list shows this side process as draining,
// or a side process for the same upstream that was announced later. A process that
// was paused while its successor started detects the successor by this, even if
// the upstream ignores fencing tokens and the successor listens on another address.
func (list sideRoster) Draining(upstream string) bool {
	id := list.components.settings.Instance
	preferred, ok := list.components.roster.SideProcess(upstream)
	if !ok || preferred.ID == id {
		return preferred.Draining
	}
	instances := list.components.roster.Instances()
	index := slices.IndexFunc(instances, func(instance roster.Instance) bool { return instance.ID == id })
	if index < 0 {
		return false
	}
	own := instances[index]
	return own.Draining || preferred.AnnouncedAt.After(own.AnnouncedAt)
}
