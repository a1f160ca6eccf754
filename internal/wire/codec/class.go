package codec

import (
	"maps"
	"math"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
)

// EncodeClasses encodes what each class of an organisation has spent.
func EncodeClasses(spent map[bucket.Class]float64) (waits []uint32, sums []float64) {
	for _, class := range slices.Sorted(maps.Keys(spent)) {
		waits = append(waits, uint32(time.Duration(class).Milliseconds()))
		sums = append(sums, spent[class])
	}
	return waits, sums
}

// DecodeClasses decodes what EncodeClasses encoded. It ignores sums that are no numbers,
// as averages that include one stay so.
func DecodeClasses(waits []uint32, sums []float64) map[bucket.Class]float64 {
	if len(waits) != len(sums) {
		return nil
	}
	spent := make(map[bucket.Class]float64, len(waits))
	for i, wait := range waits {
		if math.IsNaN(sums[i]) || math.IsInf(sums[i], 0) {
			continue
		}
		spent[bucket.Class(time.Duration(wait)*time.Millisecond)] = sums[i]
	}
	return spent
}
