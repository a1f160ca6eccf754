package codec

import "jacinthfront.dev/jacinthfront/internal/flow/fence"

// EncodeFencingOffset encodes an offset of fencing tokens, relative to the start of its
// incarnation.
func EncodeFencingOffset(offset fence.Offset) *int64 {
	relative := offset.Value - offset.StartedAt
	return &relative
}

// DecodeFencingOffset decodes an offset of fencing tokens for the incarnation that started at
// a time. It reports whether there is one.
func DecodeFencingOffset(startedAt int64, relative *int64) (offset fence.Offset, ok bool) {
	if startedAt == 0 || relative == nil {
		return fence.Offset{}, false
	}
	return fence.Offset{StartedAt: startedAt, Value: startedAt + *relative}, true
}

const (
	// serialsPerToken is the number of serials to a fencing token of loaders that tell no
	// offset: their serials began at their start in Unix microseconds, and their tokens with
	// that in milliseconds.
	serialsPerToken = 1000
	// minTimeSerial is the least serial of such a loader, of the year 2005. Other loaders
	// begin far below it.
	minTimeSerial = 1 << 50
)

// DecodeTokenOfSerial returns the highest fencing token that a loader which tells no offset
// may have begun with, by the serial of one of its states. It is 0 for a serial of a loader
// that tells its offset.
func DecodeTokenOfSerial(serial uint64) int64 {
	if serial < minTimeSerial {
		return 0
	}
	return int64(serial / serialsPerToken)
}
