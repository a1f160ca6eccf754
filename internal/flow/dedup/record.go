package dedup

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// ClaimRecord encodes a claim for the log.
func ClaimRecord(organisation string, hash []byte, holder Claim) ([]byte, error) {
	return proto.Marshal(&wirepb.ClaimRecord{Body: &wirepb.ClaimRecord_Claim{Claim: &wirepb.Claim{
		Organisation: organisation, KeyHash: hash, RequestDigest: holder.RequestDigest,
		RequestId: holder.RequestID, Claimant: holder.Claimant,
	}}})
}

// ReleaseRecord encodes that the claim of a claimant is void since its request
// did not run. It has status 0 and the claimant as its body, because another
// claimant may hold the key with the same request id.
func ReleaseRecord(organisation string, hash []byte, holder Claim) ([]byte, error) {
	return proto.Marshal(&wirepb.ClaimRecord{Body: &wirepb.ClaimRecord_Outcome{Outcome: &wirepb.ClaimOutcome{
		Organisation: organisation, KeyHash: hash, RequestId: holder.RequestID, Body: []byte(holder.Claimant),
	}}})
}

// OutcomeRecord encodes the outcome of a claim for the log, with at most
// LogBody bytes of the answer.
func OutcomeRecord(organisation string, hash []byte, requestID string, outcome Outcome) ([]byte, error) {
	if len(outcome.Body) > MaxLogBody {
		outcome = Digested(outcome)
	}
	return proto.Marshal(&wirepb.ClaimRecord{Body: &wirepb.ClaimRecord_Outcome{Outcome: &wirepb.ClaimOutcome{
		Organisation: organisation, KeyHash: hash, RequestId: requestID,
		Status: outcome.Status, Body: outcome.Body, Truncated: outcome.Truncated,
		FinishReason: outcome.FinishReason, AdapterVersion: outcome.AdapterVersion,
		PromptTokens: outcome.PromptTokens, GeneratedTokens: outcome.GeneratedTokens,
	}}})
}

// Digested returns the outcome with its body replaced by the body's SHA-256
// digest.
func Digested(outcome Outcome) Outcome {
	digest := sha256.Sum256(outcome.Body)
	outcome.Body, outcome.Truncated = digest[:], true
	return outcome
}
