package once

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// MemoryBody bounds the bodies of answers that are replayed from memory.
	MemoryBody = 64 << 10
	// LogBody bounds the bodies of answers on the log.
	LogBody = 4 << 10
	// defaultBodies bounds the memory of all stored bodies of a partition.
	defaultBodies = 256 << 10
	// DefaultPartitions is the number of claim streams. With another number at
	// the side processes, keys of a partition meet at more than one of them,
	// which costs reads only.
	DefaultPartitions = 256
	// defaultWindow is how long claims hold.
	defaultWindow = 24 * time.Hour
)

// Partition returns the partition of an idempotency key among count. The key
// hash is uniform, so its first bytes suffice.
func Partition(keyHash []byte, count int) int {
	value := 0
	for _, octet := range keyHash[:min(len(keyHash), 3)] {
		value = value<<8 | int(octet)
	}
	return value % max(count, 1)
}

// Stream returns the log stream of a partition.
func Stream(partition int) string { return fmt.Sprintf("claims-%03d", partition) }

// Outcome is how the run of a claim ended.
type Outcome struct {
	Status uint32
	// Body is the answer, or its SHA-256 digest when Truncated is set.
	Body      []byte
	Truncated bool
	// FinishReason, AdapterVersion and the token counts are those of the run.
	FinishReason                  string
	AdapterVersion                uint32
	PromptTokens, GeneratedTokens int64
}

// Holder is the claim that holds a key.
type Holder struct {
	RequestID string
	Claimant  string
	Digest    []byte
	Outcome   *Outcome
}

// key is an organisation and a hashed idempotency key.
type key struct{ organisation, hash string }

// entry is the fold of the records of one key.
type entry struct {
	Holder
	offset  uint64
	claimed time.Time
}

// Claims folds one partition's stream. It is not safe for concurrent use.
type Claims struct {
	window  time.Duration
	next    uint64
	entries map[key]*entry
	// order holds the claims by time, for expiry.
	order []key
	// bodied holds the claims with whole bodies in order; bodies is their size.
	bodied []key
	bodies int
}

// NewClaims returns the fold of an empty stream. A zero window takes the
// default.
func NewClaims(window time.Duration) *Claims {
	if window <= 0 {
		window = defaultWindow
	}
	return &Claims{window: window, entries: map[key]*entry{}}
}

// Skip notes that the stream has no records before an offset any more.
func (claims *Claims) Skip(next uint64) { claims.next = max(claims.next, next) }

// Next returns the offset after the last folded record.
func (claims *Claims) Next() uint64 { return claims.next }

// Fold applies the record at an offset. Records that were folded already and
// records that cannot be decoded have no effect.
func (claims *Claims) Fold(offset uint64, written time.Time, data []byte) {
	if offset < claims.next {
		return
	}
	claims.next = offset + 1
	claims.expire(written)
	var record wirepb.ClaimRecord
	if proto.Unmarshal(data, &record) != nil {
		return
	}
	if claim := record.GetClaim(); claim != nil {
		claims.claim(offset, written, claim)
	}
	if outcome := record.GetOutcome(); outcome != nil {
		claims.outcome(outcome)
	}
}

// claim lets the first claim of a key win.
func (claims *Claims) claim(offset uint64, written time.Time, claim *wirepb.Claim) {
	name := key{claim.GetOrganisation(), string(claim.GetKeyHash())}
	if _, held := claims.entries[name]; held {
		return
	}
	claims.entries[name] = &entry{offset: offset, claimed: written, Holder: Holder{
		RequestID: claim.GetRequestId(), Claimant: claim.GetClaimant(), Digest: claim.GetRequestDigest(),
	}}
	claims.order = append(claims.order, name)
}

func (claims *Claims) outcome(outcome *wirepb.ClaimOutcome) {
	name := key{outcome.GetOrganisation(), string(outcome.GetKeyHash())}
	held, ok := claims.entries[name]
	if !ok || held.RequestID != outcome.GetRequestId() {
		return
	}
	if outcome.GetStatus() == 0 {
		if held.Outcome == nil && held.Claimant == string(outcome.GetBody()) {
			claims.remove(name)
		}
		return
	}
	claims.store(name, held, Outcome{
		Status: outcome.GetStatus(), Body: outcome.GetBody(), Truncated: outcome.GetTruncated(),
		FinishReason: outcome.GetFinishReason(), AdapterVersion: outcome.GetAdapterVersion(),
		PromptTokens: outcome.GetPromptTokens(), GeneratedTokens: outcome.GetGeneratedTokens(),
	})
}

// Settle stores the outcome of a claim in memory, where the body may be larger
// than on the log.
func (claims *Claims) Settle(organisation string, hash []byte, requestID string, outcome Outcome) {
	name := key{organisation, string(hash)}
	if held, ok := claims.entries[name]; ok && held.RequestID == requestID {
		claims.store(name, held, outcome)
	}
}

// store keeps the more complete of two reports of the same outcome. The oldest
// bodies give way to new ones.
func (claims *Claims) store(name key, held *entry, outcome Outcome) {
	if held.Outcome != nil && (outcome.Truncated || !held.Outcome.Truncated) {
		return
	}
	held.Outcome = &outcome
	if outcome.Truncated {
		return
	}
	claims.bodies += len(outcome.Body)
	claims.bodied = append(claims.bodied, name)
	for claims.bodies > defaultBodies {
		claims.shrink(claims.bodied[0])
		claims.bodied = claims.bodied[1:]
	}
}

// shrink replaces a stored body by its digest.
func (claims *Claims) shrink(name key) {
	held, ok := claims.entries[name]
	if !ok || held.Outcome == nil || held.Outcome.Truncated {
		return
	}
	claims.bodies -= len(held.Outcome.Body)
	digested := Digested(*held.Outcome)
	held.Outcome = &digested
}

// Holder returns the claim that holds a key at a time.
func (claims *Claims) Holder(now time.Time, organisation string, hash []byte) (Holder, bool) {
	held, ok := claims.entries[key{organisation, string(hash)}]
	if !ok || now.Sub(held.claimed) >= claims.window {
		return Holder{}, false
	}
	return held.Holder, true
}

// Winner returns the claim that holds a key in the order of the stream. All
// readers that folded the same records agree on it.
func (claims *Claims) Winner(organisation string, hash []byte) (Holder, bool) {
	held, ok := claims.entries[key{organisation, string(hash)}]
	if !ok {
		return Holder{}, false
	}
	return held.Holder, true
}

// Bound reports whether the claim was made for a request with this digest.
func (holder Holder) Bound(digest []byte) bool { return bytes.Equal(holder.Digest, digest) }

// expire drops claims that are older than the window.
func (claims *Claims) expire(now time.Time) {
	for len(claims.order) > 0 {
		held, ok := claims.entries[claims.order[0]]
		if ok && now.Sub(held.claimed) < claims.window {
			return
		}
		if ok {
			claims.remove(claims.order[0])
		}
		claims.order = claims.order[1:]
	}
}

func (claims *Claims) remove(name key) {
	claims.shrink(name)
	delete(claims.entries, name)
}
