package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// authenticate finds the caller's organisation. On open routes the key may be
// missing.
func (exchange *exchange) authenticate(open bool) *fault.Fault {
	values := exchange.request.Header.Values("Authorization")
	if len(values) == 0 && open {
		return nil
	}
	if exchange.entry.config.ConfigSource.Isolated() {
		return fault.New(fault.Stale, fault.NotRun,
			"this instance has lost contact with the others and cannot know whether the key still holds; try another instance")
	}
	if len(values) != 1 {
		return fault.New(fault.Unauthenticated, fault.NotRun, "send exactly one header Authorization: Bearer KEY")
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") || !wellFormed(key) {
		return fault.New(fault.Unauthenticated, fault.NotRun, "the header Authorization is malformed; send Bearer and a key as it was issued")
	}
	spec, err := exchange.entry.config.Authenticate(exchange.config, key)
	if err != nil {
		return fault.New(fault.Unauthenticated, fault.NotRun, "the key is not known or was withdrawn; ask an operator for another")
	}
	organisation, ok := exchange.config.Organisation(spec.Organisation)
	if !ok {
		return fault.New(fault.Forbidden, fault.NotRun, "the organisation of the key no longer exists; ask an operator")
	}
	exchange.organisation, exchange.keyID = organisation, spec.ID
	return nil
}

// resolveAdapter finds adapter or adapter@version. Another organisation's
// adapter gets the same answer as an unknown one.
func (exchange *exchange) resolveAdapter(name string) *fault.Fault {
	adapter, version, ok := lookUp(exchange.config, name)
	if !ok || adapter.Service != exchange.route.Service || !exchange.mayUse(adapter) {
		return fault.New(fault.UnknownAdapter, fault.NotRun,
			"no such adapter or version is served here for this key; GET /v1/models lists those that are")
	}
	exchange.adapter, exchange.version = adapter.Name, version
	return nil
}

func (exchange *exchange) mayUse(adapter conf.AdapterSpec) bool {
	return adapter.Organisation == "" || adapter.Organisation == exchange.organisation.Name
}

// readBody reads the whole body within its limits.
func (exchange *exchange) readBody() ([]byte, *fault.Fault) {
	limits := exchange.entry.config.Limits
	// The deadline for the body was set when the exchange began.
	body, err := io.ReadAll(io.LimitReader(exchange.request.Body, limits.MaxBodyBytes+1))
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, fault.New(fault.BodyTimeout, fault.NotRun, "the body did not arrive within %s; send it faster", limits.BodyTimeout)
	case err != nil:
		return nil, fault.New(fault.BadRequest, fault.NotRun, "the body is cut off; send it as long as its Content-Length")
	case int64(len(body)) > limits.MaxBodyBytes:
		return nil, fault.New(fault.BodyTooLarge, fault.NotRun, "the body exceeds %d bytes; send a shorter one", limits.MaxBodyBytes)
	}
	_ = http.NewResponseController(exchange.naive).SetReadDeadline(time.Time{})
	if holdsKeyJSON(body) || holdsKeyEncoded(string(body)) {
		return nil, keyInRequest("body")
	}
	return body, nil
}
