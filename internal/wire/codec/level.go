package codec

import (
	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// EncodeLevels encodes levels of token buckets.
func EncodeLevels(levels []bucket.Level) []*wirepb.BucketLevel {
	encoded := make([]*wirepb.BucketLevel, 0, len(levels))
	for _, level := range levels {
		encoded = append(encoded, &wirepb.BucketLevel{
			Organisation: level.Organisation, Level: level.Level, Rate: level.Limit.Rate, Burst: level.Limit.Burst,
		})
	}
	return encoded
}

// DecodeLevels decodes what EncodeLevels encoded.
func DecodeLevels(encoded []*wirepb.BucketLevel) []bucket.Level {
	levels := make([]bucket.Level, 0, len(encoded))
	for _, level := range encoded {
		levels = append(levels, bucket.Level{
			Organisation: level.GetOrganisation(), Level: level.GetLevel(), Limit: bucket.Limit{Rate: level.GetRate(), Burst: level.GetBurst()},
		})
	}
	return levels
}
