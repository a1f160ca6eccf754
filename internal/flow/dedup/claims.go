package dedup

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// MaxMemoryBody is the largest body, in bytes, of a response that is stored in
	// memory for replay.
	MaxMemoryBody = 64 << 10
	// MaxLogBody is the largest body, in bytes, of a response on the log.
	MaxLogBody = 4 << 10
	// maxBodyBytes is the maximum size of all bodies stored for a partition.
	maxBodyBytes = 256 << 10
	// DefaultPartitions is the number of claim streams. If side processes use
	// another number than entry instances, the keys of a partition are sent to
	// several side processes, which only costs reads of the log.
	DefaultPartitions = 256
	// defaultClaimWindow is the time after which claims expire.
	defaultClaimWindow = 24 * time.Hour
)

// PartitionOf returns the partition of an idempotency key, from 0 to count-1. Its
// hash is uniformly distributed, so the first three bytes are enough.
func PartitionOf(keyHash []byte, count int) int {
	value := 0
	for _, keyByte := range keyHash[:min(len(keyHash), 3)] {
		value = value<<8 | int(keyByte)
	}
	return value % max(count, 1)
}

// StreamName returns the name of a partition's log stream.
func StreamName(partition int) string { return fmt.Sprintf("claims-%03d", partition) }

// Outcome is the result of the run of a claimed request.
type Outcome struct {
	Status uint32
	// Body is the body of the response, or its SHA-256 digest if Truncated is set.
	Body      []byte
	Truncated bool
	// FinishReason, AdapterVersion and the token counts are those of the run.
	FinishReason                  string
	AdapterVersion                uint32
	PromptTokens, GeneratedTokens int64
}

// Claim is the claim of an idempotency key by a request. Outcome is nil until the
// request's run has ended.
type Claim struct {
	RequestID     string
	Claimant      string
	RequestDigest []byte
	Outcome       *Outcome
}

// claimKey is an organisation and the hash of an idempotency key.
type claimKey struct{ organisation, hash string }

// claimEntry is the state of one key after the records read so far.
type claimEntry struct {
	Claim
	offset    uint64
	claimedAt time.Time
}

// Claims is the state of one partition, built from its log stream in order. It is
// not safe for concurrent use.
type Claims struct {
	window     time.Duration
	nextOffset uint64
	entries    map[claimKey]*claimEntry
	// byTime lists the claimed keys, oldest claim first, for expiry. It may contain
	// released ones.
	byTime []claimKey
	// withBody lists the keys whose bodies were stored, oldest first.
	withBody []claimKey
	// bodyBytes is the size of all stored bodies.
	bodyBytes int
}

// NewClaims returns the state of an empty stream, with claims that expire after
// the window. If the window is 0, it is 24 hours.
func NewClaims(window time.Duration) *Claims {
	if window <= 0 {
		window = defaultClaimWindow
	}
	return &Claims{window: window, entries: map[claimKey]*claimEntry{}}
}

// SkipTo records that the stream no longer has records before an offset.
func (claims *Claims) SkipTo(next uint64) { claims.nextOffset = max(claims.nextOffset, next) }

// NextOffset returns the offset after the last applied record.
func (claims *Claims) NextOffset() uint64 { return claims.nextOffset }

// Apply applies the record at an offset. Records that were applied already and
// records that cannot be decoded have no effect.
func (claims *Claims) Apply(offset uint64, written time.Time, data []byte) {
	if offset < claims.nextOffset {
		return
	}
	claims.nextOffset = offset + 1
	claims.expire(written)
	var record wirepb.ClaimRecord
	if proto.Unmarshal(data, &record) != nil {
		return
	}
	if claim := record.GetClaim(); claim != nil {
		claims.applyClaim(offset, written, claim)
	}
	if outcome := record.GetOutcome(); outcome != nil {
		claims.applyOutcome(outcome)
	}
}

// applyClaim stores the claim unless the key is claimed already, so that the
// first claim in the stream wins.
func (claims *Claims) applyClaim(offset uint64, written time.Time, claim *wirepb.Claim) {
	key := claimKey{claim.GetOrganisation(), string(claim.GetKeyHash())}
	if _, claimed := claims.entries[key]; claimed {
		return
	}
	claims.entries[key] = &claimEntry{offset: offset, claimedAt: written, Claim: Claim{
		RequestID: claim.GetRequestId(), Claimant: claim.GetClaimant(), RequestDigest: claim.GetRequestDigest(),
	}}
	claims.byTime = append(claims.byTime, key)
}

// applyOutcome stores the outcome of the request that claimed the key. Status 0
// releases the claim, if its claimant is the one in the body.
func (claims *Claims) applyOutcome(outcome *wirepb.ClaimOutcome) {
	key := claimKey{outcome.GetOrganisation(), string(outcome.GetKeyHash())}
	entry, ok := claims.entries[key]
	if !ok || entry.RequestID != outcome.GetRequestId() {
		return
	}
	if outcome.GetStatus() == 0 {
		if entry.Outcome == nil && entry.Claimant == string(outcome.GetBody()) {
			claims.remove(key)
		}
		return
	}
	claims.keepOutcome(key, entry, Outcome{
		Status: outcome.GetStatus(), Body: outcome.GetBody(), Truncated: outcome.GetTruncated(),
		FinishReason: outcome.GetFinishReason(), AdapterVersion: outcome.GetAdapterVersion(),
		PromptTokens: outcome.GetPromptTokens(), GeneratedTokens: outcome.GetGeneratedTokens(),
	})
}

// StoreOutcome stores the outcome of a claim in memory, where its body may be
// larger than on the log.
func (claims *Claims) StoreOutcome(organisation string, hash []byte, requestID string, outcome Outcome) {
	key := claimKey{organisation, string(hash)}
	if entry, ok := claims.entries[key]; ok && entry.RequestID == requestID {
		claims.keepOutcome(key, entry, outcome)
	}
}

// keepOutcome stores an outcome unless the one that is stored has as much of the
// body. The oldest bodies are replaced by digests while all exceed maxBodyBytes.
func (claims *Claims) keepOutcome(key claimKey, entry *claimEntry, outcome Outcome) {
	if entry.Outcome != nil && (outcome.Truncated || !entry.Outcome.Truncated) {
		return
	}
	entry.Outcome = &outcome
	if outcome.Truncated {
		return
	}
	claims.bodyBytes += len(outcome.Body)
	claims.withBody = append(claims.withBody, key)
	for claims.bodyBytes > maxBodyBytes {
		claims.digestBody(claims.withBody[0])
		claims.withBody = claims.withBody[1:]
	}
}

// digestBody replaces the stored body of a claim by its digest.
func (claims *Claims) digestBody(key claimKey) {
	entry, ok := claims.entries[key]
	if !ok || entry.Outcome == nil || entry.Outcome.Truncated {
		return
	}
	claims.bodyBytes -= len(entry.Outcome.Body)
	digested := WithBodyDigest(*entry.Outcome)
	entry.Outcome = &digested
}

// ActiveClaim returns the claim of a key, unless it has expired by now.
func (claims *Claims) ActiveClaim(now time.Time, organisation string, hash []byte) (Claim, bool) {
	entry, ok := claims.entries[claimKey{organisation, string(hash)}]
	if !ok || now.Sub(entry.claimedAt) >= claims.window {
		return Claim{}, false
	}
	return entry.Claim, true
}

// FirstClaim returns the claim that holds a key: the first one in the stream
// since the previous one was released or expired. Claims expire by the times of
// records here, so all readers of the same records agree.
func (claims *Claims) FirstClaim(organisation string, hash []byte) (Claim, bool) {
	entry, ok := claims.entries[claimKey{organisation, string(hash)}]
	if !ok {
		return Claim{}, false
	}
	return entry.Claim, true
}

// MatchesRequest reports whether the claim was made for the request with this
// digest.
func (claim Claim) MatchesRequest(digest []byte) bool {
	return bytes.Equal(claim.RequestDigest, digest)
}

// expire removes claims that are older than the window.
func (claims *Claims) expire(now time.Time) {
	for len(claims.byTime) > 0 {
		entry, ok := claims.entries[claims.byTime[0]]
		if ok && now.Sub(entry.claimedAt) < claims.window {
			return
		}
		if ok {
			claims.remove(claims.byTime[0])
		}
		claims.byTime = claims.byTime[1:]
	}
}

func (claims *Claims) remove(key claimKey) {
	claims.digestBody(key)
	delete(claims.entries, key)
}
