package fault

// The kinds of faults. docs/ERRORS.md lists the status and remedy of each.
const (
	BadRequest           Kind = "bad-request"
	BodyTooLarge         Kind = "body-too-large"
	HeadersTooLarge      Kind = "headers-too-large"
	BodyTimeout          Kind = "body-timeout"
	MethodNotAllowed     Kind = "method-not-allowed"
	Unauthenticated      Kind = "unauthenticated"
	KeyInRequest         Kind = "key-in-request"
	KeyWithdrawn         Kind = "key-withdrawn"
	Forbidden            Kind = "forbidden"
	UnknownRoute         Kind = "unknown-route"
	UnknownAdapter       Kind = "unknown-adapter"
	UnknownRequest       Kind = "unknown-request"
	RateExceeded         Kind = "rate-exceeded"
	Overloaded           Kind = "overloaded"
	WaitExceeded         Kind = "wait-exceeded"
	DeadlineExceeded     Kind = "deadline-exceeded"
	Cancelled            Kind = "cancelled"
	NoUpstream           Kind = "no-upstream"
	Draining             Kind = "leaving"
	WrongHalf            Kind = "wrong-half"
	LoadFailed           Kind = "load-failed"
	UpstreamFailed       Kind = "upstream-failed"
	OutcomeUnknown       Kind = "outcome-unknown"
	IdempotencyKeyReused Kind = "idempotency-key-reused"
	LogUnavailable       Kind = "log-unavailable"
	Conflict             Kind = "conflict"
	Invalid              Kind = "invalid"
	Stale                Kind = "stale"
	Internal             Kind = "internal"
)

// statuses maps each kind to its HTTP status code, as listed in docs/ERRORS.md.
var statuses = map[Kind]int{
	BadRequest:           400,
	BodyTooLarge:         413,
	HeadersTooLarge:      431,
	BodyTimeout:          408,
	MethodNotAllowed:     405,
	Unauthenticated:      401,
	KeyInRequest:         400,
	KeyWithdrawn:         401,
	Forbidden:            403,
	UnknownRoute:         404,
	UnknownAdapter:       404,
	UnknownRequest:       404,
	RateExceeded:         429,
	Overloaded:           503,
	WaitExceeded:         503,
	DeadlineExceeded:     504,
	Cancelled:            499,
	NoUpstream:           503,
	Draining:             503,
	WrongHalf:            503,
	LoadFailed:           503,
	UpstreamFailed:       502,
	OutcomeUnknown:       504,
	IdempotencyKeyReused: 422,
	LogUnavailable:       503,
	Conflict:             409,
	Invalid:              422,
	Stale:                503,
	Internal:             500,
}

// Status returns the HTTP status code of the kind, that of Internal if the kind
// is unknown.
func (kind Kind) Status() int {
	if status, ok := statuses[kind]; ok {
		return status
	}
	return statuses[Internal]
}
