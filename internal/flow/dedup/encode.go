package dedup

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// ClaimRecord encodes a claim as a log record.
func ClaimRecord(organisation string, hash []byte, claim Claim) ([]byte, error) {
	return proto.Marshal(&wirepb.ClaimRecord{Body: &wirepb.ClaimRecord_Claim{Claim: &wirepb.Claim{
		Organisation: organisation, KeyHash: hash, RequestDigest: claim.RequestDigest,
		RequestId: claim.RequestID, Claimant: claim.Claimant,
	}}})
}

// ReleaseRecord encodes the release of a claim whose request did not run, as a log
// record. It is an outcome with status 0 whose body is the claimant, because
// another claimant may have claimed the key with the same request id.
func ReleaseRecord(organisation string, hash []byte, claim Claim) ([]byte, error) {
	return proto.Marshal(&wirepb.ClaimRecord{Body: &wirepb.ClaimRecord_Outcome{Outcome: &wirepb.ClaimOutcome{
		Organisation: organisation, KeyHash: hash, RequestId: claim.RequestID, Body: []byte(claim.Claimant),
	}}})
}

// OutcomeRecord encodes the outcome of a claim as a log record. A body of more
// than MaxLogBody bytes is replaced by its digest.
func OutcomeRecord(organisation string, hash []byte, requestID string, outcome Outcome) ([]byte, error) {
	if len(outcome.Body) > MaxLogBody {
		outcome = WithBodyDigest(outcome)
	}
	return proto.Marshal(&wirepb.ClaimRecord{Body: &wirepb.ClaimRecord_Outcome{Outcome: &wirepb.ClaimOutcome{
		Organisation: organisation, KeyHash: hash, RequestId: requestID,
		Status: outcome.Status, Body: outcome.Body, Truncated: outcome.Truncated,
		FinishReason: outcome.FinishReason, AdapterVersion: outcome.AdapterVersion,
		PromptTokens: outcome.PromptTokens, GeneratedTokens: outcome.GeneratedTokens,
	}}})
}

// WithBodyDigest returns the outcome with its body replaced by the SHA-256 digest
// of the body.
func WithBodyDigest(outcome Outcome) Outcome {
	digest := sha256.Sum256(outcome.Body)
	outcome.Body, outcome.Truncated = digest[:], true
	return outcome
}
