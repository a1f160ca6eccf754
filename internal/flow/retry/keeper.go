package retry

import "time"

// maxUses bounds the messages in which a Keeper tells what it keeps.
const maxUses = 16

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

// Uses returns what is kept, in parts. They are settled if an instance that was has told
// within the window.
func (keeper *Keeper) Uses() []Use {
	settled := !keeper.settledAt.IsZero() && time.Since(keeper.settledAt) < keeper.archive.window
	var uses []Use
	for told := 0; told < len(keeper.archive.records) && len(uses) < maxUses; {
		pasts := keeper.archive.Pasts(Incarnation{})
		uses = append(uses, Use{Settled: settled, Window: keeper.archive.window, Pasts: pasts})
		told += max(len(pasts), 1)
		if len(pasts) < maxPasts {
			break
		}
	}
	return uses
}
