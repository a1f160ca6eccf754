package codec

import (
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// EncodeRateLimit encodes the naming of an upstream's rate limit.
func EncodeRateLimit(incarnation cordon.Incarnation, notice permit.Notice) *wirepb.RateLimit {
	return &wirepb.RateLimit{Id: incarnation.ID, Born: incarnation.StartedAt, Rate: float64(notice.Rate), AgeMs: encodeAge(notice.At)}
}

// DecodeRateLimit decodes what EncodeRateLimit encoded.
func DecodeRateLimit(encoded *wirepb.RateLimit) (cordon.Incarnation, permit.Notice) {
	return cordon.Incarnation{ID: encoded.GetId(), StartedAt: encoded.GetBorn()}, permit.Notice{Rate: permit.Rate(encoded.GetRate()), At: decodeAge(encoded.GetAgeMs())}
}

// EncodePermitAsk encodes an ask.
func EncodePermitAsk(ask permit.Ask) *wirepb.PermitAsk {
	return &wirepb.PermitAsk{
		Upstream: ask.Incarnation.ID, Born: ask.Incarnation.StartedAt, Rate: float64(ask.Rate), Session: ask.Session,
		Wanted: uint32(ask.Wanted), Received: ask.Received, Returned: ask.Returned,
	}
}

// DecodePermitAsk decodes what EncodePermitAsk encoded.
func DecodePermitAsk(encoded *wirepb.PermitAsk) permit.Ask {
	return permit.Ask{
		Incarnation: cordon.Incarnation{ID: encoded.GetUpstream(), StartedAt: encoded.GetBorn()},
		Rate:        permit.Rate(encoded.GetRate()), Session: encoded.GetSession(),
		Wanted: int(encoded.GetWanted()), Received: encoded.GetReceived(), Returned: encoded.GetReturned(),
	}
}

// EncodePermitGrant encodes a grant.
func EncodePermitGrant(grant permit.Grant) *wirepb.PermitGrant {
	return &wirepb.PermitGrant{
		Upstream: grant.Incarnation.ID, Born: grant.Incarnation.StartedAt, Session: grant.Session,
		Issued: grant.Issued, Queued: uint32(grant.Queued), Clients: uint32(grant.Clients),
	}
}

// DecodePermitGrant decodes what EncodePermitGrant encoded.
func DecodePermitGrant(encoded *wirepb.PermitGrant) permit.Grant {
	return permit.Grant{
		Incarnation: cordon.Incarnation{ID: encoded.GetUpstream(), StartedAt: encoded.GetBorn()},
		Session:     encoded.GetSession(), Issued: encoded.GetIssued(),
		Queued: int(encoded.GetQueued()), Clients: int(encoded.GetClients()),
	}
}
