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

// authenticate finds the organisation of the caller's key. On open routes the key
// may be missing.
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
	if !strings.EqualFold(scheme, "Bearer") || !isWellFormedKey(key) {
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

// resolveAdapter resolves ADAPTER or ADAPTER@VERSION. Another organisation's
// adapter gets the same error as an unknown one, so that callers cannot find out
// whether it exists.
func (exchange *exchange) resolveAdapter(name string) *fault.Fault {
	adapter, version, ok := lookUpAdapter(exchange.config, name)
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

// readBody reads the whole body within the limits on its size and time.
func (exchange *exchange) readBody() ([]byte, *fault.Fault) {
	limits := exchange.entry.config.Limits
	// newExchange has set the read deadline for the body.
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
	_ = http.NewResponseController(exchange.rawWriter).SetReadDeadline(time.Time{})
	if containsKeyInJSON(body) || containsEncodedKey(string(body)) {
		return nil, keyInRequestFault("body")
	}
	return body, nil
}
