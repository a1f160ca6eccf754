package dedup

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// MaxMemoryBody bounds the bodies of answers that are replayed from memory.
	MaxMemoryBody = 64 << 10
	// MaxLogBody bounds the bodies of answers on the log.
	MaxLogBody = 4 << 10
	// defaultBodies bounds the memory of all stored bodies of a partition.
	defaultBodies = 256 << 10
	// DefaultPartitions is the number of claim streams. With another number at
	// the side processes, keys of a partition meet at more than one of them,
	// which costs reads only.
	DefaultPartitions = 256
	// defaultWindow is how long claims hold.
	defaultWindow = 24 * time.Hour
)

// PartitionOf returns the partition of an idempotency key among count. The key
// hash is uniform, so its first bytes suffice.
func PartitionOf(keyHash []byte, count int) int {
	value := 0
	for _, octet := range keyHash[:min(len(keyHash), 3)] {
		value = value<<8 | int(octet)
	}
	return value % max(count, 1)
}

// StreamName returns the log stream of a partition.
func StreamName(partition int) string { return fmt.Sprintf("claims-%03d", partition) }

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

// Claim is the claim that holds a key.
type Claim struct {
	RequestID     string
	Claimant      string
	RequestDigest []byte
	Outcome       *Outcome
}

// key is an organisation and a hashed idempotency key.
type key struct{ organisation, hash string }

// entry is the fold of the records of one key.
type entry struct {
	Claim
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

// SkipTo notes that the stream has no records before an offset any more.
func (claims *Claims) SkipTo(next uint64) { claims.next = max(claims.next, next) }

// NextOffset returns the offset after the last folded record.
func (claims *Claims) NextOffset() uint64 { return claims.next }

// Apply applies the record at an offset. Records that were folded already and
// records that cannot be decoded have no effect.
func (claims *Claims) Apply(offset uint64, written time.Time, data []byte) {
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
	claims.entries[name] = &entry{offset: offset, claimed: written, Claim: Claim{
		RequestID: claim.GetRequestId(), Claimant: claim.GetClaimant(), RequestDigest: claim.GetRequestDigest(),
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

// StoreOutcome stores the outcome of a claim in memory, where the body may be larger
// than on the log.
func (claims *Claims) StoreOutcome(organisation string, hash []byte, requestID string, outcome Outcome) {
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

// ActiveClaim returns the claim that holds a key at a time.
func (claims *Claims) ActiveClaim(now time.Time, organisation string, hash []byte) (Claim, bool) {
	held, ok := claims.entries[key{organisation, string(hash)}]
	if !ok || now.Sub(held.claimed) >= claims.window {
		return Claim{}, false
	}
	return held.Claim, true
}

// FirstClaim returns the claim that holds a key in the order of the stream. All
// readers that folded the same records agree on it.
func (claims *Claims) FirstClaim(organisation string, hash []byte) (Claim, bool) {
	held, ok := claims.entries[key{organisation, string(hash)}]
	if !ok {
		return Claim{}, false
	}
	return held.Claim, true
}

// MatchesRequest reports whether the claim was made for a request with this digest.
func (holder Claim) MatchesRequest(digest []byte) bool {
	return bytes.Equal(holder.RequestDigest, digest)
}

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
