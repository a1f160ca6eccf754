package codec

import (
	"math"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/speed"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// perMille converts factors and shares to whole thousandths on the wire.
const perMille = 1000

// EncodePerMille encodes a factor or a share.
func EncodePerMille(value float64) uint32 { return uint32(math.Round(value * perMille)) }

// DecodePerMille decodes what EncodePerMille encoded.
func DecodePerMille(encoded uint32) float64 { return float64(encoded) / perMille }

// EncodeWork encodes what is known of an upstream's work factor, nil if nothing is.
func EncodeWork(work speed.Work) *wirepb.Work {
	if work.Stated.Factor == 0 {
		return nil
	}
	factor, age := encodeStatement(work.Stated)
	return &wirepb.Work{StatedPermille: factor, AgeMs: age, LastingPermille: EncodePerMille(work.Lasting)}
}

// DecodeWork decodes what EncodeWork encoded. Factors that are not believed are unknown.
func DecodeWork(encoded *wirepb.Work) speed.Work {
	work := speed.Work{Stated: decodeStatement(encoded.GetStatedPermille(), encoded.GetAgeMs())}
	if lasting := DecodePerMille(encoded.GetLastingPermille()); speed.ValidFactor(lasting) {
		work.Lasting = lasting
	}
	return work
}

// encodeStatement encodes a statement with its age, since clocks differ.
func encodeStatement(statement speed.Statement) (factor, age uint32) {
	if statement.Factor == 0 {
		return 0, 0
	}
	return EncodePerMille(statement.Factor), uint32(min(max(time.Since(statement.At).Milliseconds(), 0), math.MaxUint32))
}

func decodeStatement(factor, age uint32) speed.Statement {
	stated := DecodePerMille(factor)
	if !speed.ValidFactor(stated) {
		return speed.Statement{}
	}
	return speed.Statement{Factor: stated, At: time.Now().Add(-time.Duration(age) * time.Millisecond)}
}
