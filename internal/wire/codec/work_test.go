package codec

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestWork guards against a work factor or its age that is lost between two processes, and
// against one that is believed although it cannot be true.
func TestWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stated := speed.Statement{Factor: 2.5, At: time.Now()}
		time.Sleep(300 * time.Millisecond)
		known, measurements := speed.Work{Stated: stated, Lasting: 0.6}, []admit.Measurement{{Stated: stated}}
		want := []any{known, speed.Work{}, speed.Work{}, measurements}
		absurd := &wirepb.Work{StatedPermille: 1, LastingPermille: 1 << 31}
		got := []any{DecodeWork(EncodeWork(known)), DecodeWork(EncodeWork(speed.Work{})), DecodeWork(absurd), DecodeMeasurements(EncodeMeasurements(measurements))}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("known, unknown, absurd, measured (-want +got):\n%s", diff)
		}
	})
}
