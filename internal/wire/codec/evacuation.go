package codec

import (
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// EncodeEvacuation encodes the evacuated failure domains at a position.
func EncodeEvacuation(evacuation cordon.Evacuation) *wirepb.Evacuation {
	return &wirepb.Evacuation{Epoch: evacuation.Epoch, Next: evacuation.Next, FailureDomains: evacuation.FailureDomains}
}

// DecodeEvacuation decodes what EncodeEvacuation encoded. A sender that has not read the
// topic sends none, which decodes as the set at the beginning.
func DecodeEvacuation(encoded *wirepb.Evacuation) cordon.Evacuation {
	return cordon.Evacuation{Epoch: encoded.GetEpoch(), Next: encoded.GetNext(), FailureDomains: encoded.GetFailureDomains()}
}
