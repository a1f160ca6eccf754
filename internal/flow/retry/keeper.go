package retry

import (
	"slices"
	"time"
)

// maxUses bounds the messages in which a Keeper tells what it keeps, and maxKept the
// incarnations in each.
const (
	maxUses = 16
	maxKept = 16
)

// Keeper keeps what instances tell of the requests and retries to one service, for
// instances that start after those have ended. It must not be used concurrently.
type Keeper struct {
	archive *Archive
	// settledAt is when an instance that was settled told last, or zero.
	settledAt time.Time
}

// NewKeeper returns a Keeper that keeps nothing.
func NewKeeper() *Keeper { return &Keeper{archive: NewArchive()} }

// Keep adds what an instance tells. It ignores a message without a window.
func (keeper *Keeper) Keep(use Use) {
	if use.Window <= 0 {
		return
	}
	keeper.archive.SetWindow(use.Window)
	for _, past := range use.Pasts {
		keeper.archive.Merge(past)
	}
	if use.Settled {
		keeper.settledAt = time.Now()
	}
}

// Stall records that the process was stopped, so that it may lack what was told meanwhile.
func (keeper *Keeper) Stall() { keeper.settledAt = time.Time{} }

// Uses returns what is kept of the incarnations that have sent anything within the window, in
// parts. They are settled if an instance that was has told within the window.
func (keeper *Keeper) Uses() []Use {
	archive := keeper.archive
	archive.expire()
	present, slots := archive.present(), archive.windowSlots()
	kept := archive.known(func(_ Incarnation, record *record) bool {
		return record.sentWithin(present, slots) != slotSum{}
	})
	use := Use{Settled: !keeper.settledAt.IsZero() && time.Since(keeper.settledAt) < archive.window, Window: archive.window}
	if len(kept) == 0 && use.Settled {
		return []Use{use}
	}
	var uses []Use
	for part := range slices.Chunk(kept, maxKept) {
		use.Pasts = archive.pasts(part)
		uses = append(uses, use)
	}
	return uses[:min(len(uses), maxUses)]
}
