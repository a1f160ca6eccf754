package codec

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
)

// TestDecodeClasses guards against sums that are assigned to another class, and against
// those that are no numbers, with which a reserve and a wait would be none for good.
func TestDecodeClasses(t *testing.T) {
	spent := map[bucket.Class]float64{bucket.Class(256 * time.Millisecond): 12.5, bucket.Class(8192 * time.Millisecond): 0}
	waits, sums := EncodeClasses(spent)
	if diff := cmp.Diff(spent, DecodeClasses(append(waits, 1, 2, 4), append(sums, math.NaN(), math.Inf(1), math.Inf(-1)))); diff != "" {
		t.Errorf("classes (-want +got):\n%s", diff)
	}
}
