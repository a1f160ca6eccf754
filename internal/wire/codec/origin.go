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
