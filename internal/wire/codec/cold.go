package codec

import (
	"math"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// DecodeColdLimit decodes the bound on the requests to an engine in a demand.
func DecodeColdLimit(demand *wirepb.Demand) admit.ColdLimit {
	limit := demand.GetCold()
	if limit.GetPerSecond() == 0 {
		return admit.ColdLimit{}
	}
	decoded := admit.ColdLimit{
		PerSecond: int(min(limit.GetPerSecond(), math.MaxInt32)), Remaining: time.Duration(limit.GetRemainingMs()) * time.Millisecond, SentAt: demand.GetSentUs(),
		Process: demand.GetStart(),
	}
	if rate := limit.GetColdRate(); rate > 0 && !math.IsInf(rate, 0) {
		decoded.Rate = rate
	}
	return decoded
}
