package start

import (
	"slices"

	"jacinthfront.dev/jacinthfront/internal/link/roster"
)

// drainStatus implements side.DrainStatus for one side process.
type drainStatus struct{ components *components }

// Draining reports whether the instance list shows this side process as draining,
// or a side process for the same upstream that was announced later. A process that
// was paused while its successor started notices the successor in this way, even if
// the upstream ignores fencing tokens and the successor listens on another address.
func (drainStatus drainStatus) Draining(upstream string) bool {
	id := drainStatus.components.settings.Instance
	preferred, ok := drainStatus.components.roster.SideProcess(upstream)
	if !ok || preferred.ID == id {
		return preferred.Draining
	}
	instances := drainStatus.components.roster.Instances()
	index := slices.IndexFunc(instances, func(instance roster.Instance) bool { return instance.ID == id })
	if index < 0 {
		return false
	}
	own := instances[index]
	return own.Draining || preferred.AnnouncedAt.After(own.AnnouncedAt)
}
