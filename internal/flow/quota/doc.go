// Package quota limits the tokens that an organisation uses on all side
// processes together. The organisation's token bucket is split into shards, each
// hosted by one side process. A Shard issues grants of tokens; a Client at each
// side process draws grants from the shards and spends them on requests.
//
// # Bound
//
// For every interval, the tokens used by requests dispatched in it are at most
// rate × length + burst. A request's use is counted at the instant of its
// dispatch, although it is known only when the request ends.
//
// The bound of an organisation is the sum of the bounds of its shards, because
// SplitPart divides rate and burst without remainder. For one shard with rate r
// and burst b:
//
//  1. A grant is spent only while it counts as outstanding: from its issue until
//     the shard receives a settling refund, or until lifetime + margin after the
//     issue. The client counts the lifetime from before it sent the draw, which
//     is before the issue, and sends a settling refund only after it has stopped
//     spending the grant. The margin covers the difference in clock speed over
//     one lifetime.
//  2. Accrual keeps level + outstanding ≤ b. A draw moves tokens from level to
//     outstanding and a refund of an outstanding grant moves them back; both
//     leave the sum unchanged. The end of a grant lowers the sum.
//  3. A refund of a grant that has ended raises level. Let x be the grant's
//     tokens less everything ever credited for it, which is at least its use.
//     Compare with a bucket from which only x was taken. While the grant was
//     outstanding, the sum level + outstanding of that bucket is the same; from
//     the grant's end E until the credit of c it is higher by c. The shard
//     therefore records the minimum headroom (b − level − outstanding) over
//     time, credits no more than the minimum headroom since E, and lowers the
//     recorded headroom since E by each credit, so that later credits take
//     earlier ones into account. Hence the compared bucket keeps
//     level + outstanding ≤ b at every instant, with all credits included.
//  4. In the compared bucket, what is spent in [s, e] comes from grants
//     outstanding at s or issued in (s, e]. The former are at most
//     outstanding(s), the latter at most level(s) + r × (e − s). Their sum is
//     at most b + r × (e − s), and the use is at most that.
//
// Consequences for what a client may do:
//
//   - A grant may be spent in parts, at several instants and by several
//     requests, and a request may spend several grants: the argument counts
//     tokens of a grant, not requests. All grants of a request must be valid
//     at its dispatch.
//   - The total refunded for a grant must never exceed its tokens less the use
//     of the requests that spent it. A refund states this total, not an
//     increment, so that duplicated, repeated or reordered refunds credit
//     nothing twice.
//   - A settling refund before the end of the lifetime is safe, because step 1
//     requires only that nothing is spent afterwards. A client therefore settles
//     a grant only when each of its reservations is committed or settled: a
//     process may be paused for any time between Reserve and dispatch.
//   - A refund after the grant's end is safe by step 3. After RefundWindow it
//     credits nothing, which only loses tokens.
//
// A new shard issues nothing for lifetime + margin after its start, then accrues
// from zero. The outstanding grants of its predecessor are at most b at the
// predecessor's end and have expired by then, so the predecessor's bound up to
// its end plus the accrual of the successor is within the bound.
//
// A lower burst takes effect for intervals that begin at least lifetime +
// margin after Resize, because grants issued before it stay valid.
package quota
