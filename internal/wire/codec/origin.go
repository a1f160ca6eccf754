package codec

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// EncodeOrigins encodes the origins of streams.
func EncodeOrigins(records []origin.Record) []*wirepb.StreamOrigin {
	encoded := make([]*wirepb.StreamOrigin, 0, len(records))
	for _, record := range records {
		encoded = append(encoded, &wirepb.StreamOrigin{
			Key: uint64(record.Key), Service: record.Origin.Service, SoftwareVersion: record.Origin.Version,
			LifetimeMs: uint32(max(record.Lifetime, 0).Milliseconds()),
		})
	}
	return encoded
}

// DecodeOrigins decodes the origins of streams.
func DecodeOrigins(encoded []*wirepb.StreamOrigin) []origin.Record {
	records := make([]origin.Record, 0, len(encoded))
	for _, stream := range encoded {
		records = append(records, origin.Record{
			Key: origin.Key(stream.GetKey()), Lifetime: time.Duration(stream.GetLifetimeMs()) * time.Millisecond,
			Origin: origin.Origin{Service: stream.GetService(), Version: stream.GetSoftwareVersion()},
		})
	}
	return records
}

// AnswerOrigins returns the answer to an ask for the origins of streams from what a ledger
// holds, with a place in the instance list.
func AnswerOrigins(ask *wirepb.OriginAsk, ledger *origin.Ledger, list *wirepb.ListPosition) *wirepb.Datagram {
	answer := &wirepb.OriginAnswer{List: list}
	var known []origin.Record
	for _, key := range ask.GetKeys() {
		if record, found := ledger.Find(origin.Key(key)); found {
			known = append(known, record)
		} else {
			answer.Unknown = append(answer.Unknown, key)
		}
	}
	answer.Known = EncodeOrigins(known)
	return &wirepb.Datagram{Body: &wirepb.Datagram_OriginAnswer{OriginAnswer: answer}}
}
