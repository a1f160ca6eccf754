// Package poison finds what crashes upstreams, so that it can be refused (poison
// messages, also known as queries of death). Its subjects are the parts of prompts, which
// requests share, and whole requests, which callers repeat.
//
// Evidence against a subject is a crash of an upstream to which a request with it had been
// sent. Of the subjects at a crash, those that have been sound lately are suspected least,
// and one that was at all crashes of a group explains them for the others. A completed response to such a request is evidence that the subject is sound. Each
// instance keeps a Tracker, and all exchange what they record, so that crashes that
// different instances observe add up. Evidence is a set, and merging it is idempotent
// and commutative.
package poison

import (
	"cmp"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// Defaults of Config.
const (
	// DefaultInitialHold is how long a subject is blocked before one request with it may
	// be sent as a probe. Each failed probe multiplies the time by holdFactor.
	DefaultInitialHold = 30 * time.Second
	// DefaultSoundTime is how long after a completed response a subject counts as having
	// been sound.
	DefaultSoundTime = time.Minute
	// DefaultAnnouncePeriod is how long a record is passed on with each report to
	// other instances.
	DefaultAnnouncePeriod = 400 * time.Millisecond
)

const (
	// holdFactor is by how much a failed probe lengthens the hold, up to maxHold.
	holdFactor = 20
	maxHold    = 24 * time.Hour
	// retention is how long after its hold, or after its last crash if it is not
	// blocked, a subject is remembered.
	retention = 10 * time.Minute
	// expireInterval is the time between two searches for subjects to forget.
	expireInterval = time.Second
	// coincidence is the time within which crashes of several upstreams count as one,
	// as they may have a cause in common, such as a loss of power.
	coincidence = 20 * time.Millisecond
	// ambiguousHold is the hold for a request that lacks one of the subjects that share
	// the blame for the same crashes: its outcome shows which of them is at fault. It is
	// also the initial hold of a subject that was known to be sound.
	ambiguousHold = 2 * time.Second
	// probeInterval is how long the outcome of a probe is awaited before the next
	// one.
	probeInterval = 15 * time.Second
	// probeStagger is how much later each instance may send a probe than the one
	// that ranks before it, so that they do not send one each.
	probeStagger = 250 * time.Millisecond
	// probeRetryAfter is how long the callers of a subject that waits for its probe are
	// told to wait.
	probeRetryAfter = time.Second
)

const (
	// A crash counts against a part with freshWeight if the upstream had just begun to
	// answer a request with it and the part was not known to be sound, else with
	// lateWeight. All crashes under one request, repeats included, count against a part
	// with freshWeight together.
	freshWeight = 6
	lateWeight  = 3
	// A crash before a byte of the answer arrived counts against a request, and against a
	// part that was not known to be sound, with unansweredWeight: the request may have run,
	// as bytes of its answer are lost with the upstream, or waited. Against a part that was
	// known to be sound it counts with otherWeight.
	unansweredWeight = 4
	// Any other crash counts against a request with freshWeight if the request was not
	// known to be sound, else with otherWeight. A request that only waited is told from the
	// one that crashes upstreams by its absence at other crashes.
	otherWeight = 2
	// A subject is blocked when its crashes sum up to blockWeight.
	blockWeight = 12
	// minEvidence is the least evidence that can sum up to blockWeight.
	minEvidence = 2
)

const (
	// maxSubjects bounds the subjects with evidence, and maxEvidence the evidence of one.
	maxSubjects = 4096
	maxEvidence = 24
	// maxUnanswered bounds the requests without an answer that count against a part at one
	// crash, so that those of one crash do not replace the evidence of others.
	maxUnanswered = 4
	// maxSoundParts and maxSoundRequests bound the parts and the requests that are
	// remembered as sound.
	maxSoundParts    = 16384
	maxSoundRequests = 4096
	// maxExplained bounds the crashes that blocked subjects explain.
	maxExplained = 4096
	// maxRecent bounds the evidence passed on with each report.
	maxRecent = 256
)

// Config configures a Tracker. Zero values mean the defaults.
type Config struct {
	InitialHold    time.Duration
	SoundTime      time.Duration
	AnnouncePeriod time.Duration
}

func (config Config) withDefaults() Config {
	config.InitialHold = cmp.Or(config.InitialHold, DefaultInitialHold)
	config.SoundTime = cmp.Or(config.SoundTime, DefaultSoundTime)
	config.AnnouncePeriod = cmp.Or(config.AnnouncePeriod, DefaultAnnouncePeriod)
	return config
}

// Evidence is one request with a subject that had been sent to an upstream when it
// crashed.
type Evidence struct {
	Subject      Subject
	Organisation string
	// Request is the identity of the request. Its repeats have the same one.
	Request uint64
	// Upstream is the incarnation that crashed, and At when it did.
	Upstream cordon.Incarnation
	At       time.Time
	// Fresh means that the upstream had just begun to answer the request.
	Fresh bool
	// Unanswered means that the upstream had not begun to answer. The request may have
	// run, or waited at the upstream.
	Unanswered bool
	// Probe means that the request was sent although the subject was blocked.
	Probe bool
}

// sameAs reports whether two records are of the same request at the same crash.
func (evidence Evidence) sameAs(other Evidence) bool {
	return evidence.Request == other.Request && evidence.Upstream == other.Upstream
}

// Completion is a response to a request with a subject that an upstream completed.
type Completion struct {
	Subject      Subject
	Organisation string
	At           time.Time
}

// Probe is the sending of a probe of a blocked subject.
type Probe struct {
	Subject Subject
	At      time.Time
}

// Verdict says whether a request may be sent. The zero value means that it may.
type Verdict struct {
	// Blocked means that the request must be refused because of Subject. It may be
	// accepted again after RetryAfter.
	Blocked    bool
	Subject    Subject
	RetryAfter time.Duration
	// Probe means that the request may be sent as a probe of blocked subjects.
	Probe bool
}
