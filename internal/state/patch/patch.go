// Package patch defines configuration patches, validates them and applies them
// to a configuration.
package patch

import (
	"fmt"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Patch is a list of changes to one version of the configuration.
type Patch struct {
	ID string
	// BaseVersion is the version that the patch applies to.
	BaseVersion uint64
	Operator    string
	// Force allows the patch to leave a half without an upstream.
	Force bool
	Ops   []Op
}

// ResultKind is the kind of a patch's result.
type ResultKind uint8

const (
	// Unknown means that the patch has not been read back from the log.
	Unknown ResultKind = iota
	// Accepted means that the patch was applied and created Result.Version.
	Accepted
	// Conflict means that the patch's base version is not the current version.
	Conflict
	// Invalid means that a field of the patch has an invalid value.
	Invalid
	// Duplicate means that a patch with this id was accepted before.
	Duplicate
)

var kindNames = [...]string{"unknown", "accepted", "conflict", "invalid", "duplicate"}

// String returns the kind as written in responses and logs.
func (kind ResultKind) String() string {
	if int(kind) < len(kindNames) {
		return kindNames[kind]
	}
	return fmt.Sprintf("kind-%d", uint8(kind))
}

// MarshalText implements encoding.TextMarshaler.
func (kind ResultKind) MarshalText() ([]byte, error) { return []byte(kind.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (kind *ResultKind) UnmarshalText(text []byte) error {
	for index, name := range kindNames {
		if name == string(text) {
			*kind = ResultKind(index)
			return nil
		}
	}
	return fmt.Errorf("unknown patch result %q; known results: %v", text, kindNames)
}

// Result is the result of a patch.
type Result struct {
	ID   string
	Kind ResultKind
	// Version is the version that the patch created, or the current version if
	// the patch was not accepted.
	Version uint64
	// Field and Reason name the invalid field of a patch and what is wrong.
	Field  string
	Reason string
}

// String returns the result as one sentence.
func (result Result) String() string {
	switch result.Kind {
	case Accepted:
		return fmt.Sprintf("patch %s accepted as version %d", result.ID, result.Version)
	case Conflict:
		return fmt.Sprintf("patch %s conflicts: the current version is %d", result.ID, result.Version)
	case Invalid:
		return fmt.Sprintf("patch %s is invalid: %s: %s", result.ID, result.Field, result.Reason)
	case Duplicate:
		return fmt.Sprintf("patch %s was accepted before as version %d", result.ID, result.Version)
	default:
		return fmt.Sprintf("result of patch %s is unknown", result.ID)
	}
}

// Op is one change of a patch.
type Op interface {
	// Kind returns the operation's name, such as "put-adapter".
	Kind() string
	// Target returns the kind and name of the object to change. A patch may
	// change each object at most once.
	Target() string

	// check rejects values that are invalid in every configuration.
	check() *Problem
	// apply checks the operation against the draft and applies it.
	apply(draft *draft) *Problem
	// verify checks references to other objects after all operations of the patch
	// are applied.
	verify(draft *draft) *Problem
}

// Problem is an invalid field of a patch and the reason.
type Problem struct {
	Field  string
	Reason string
}

// Error implements error.
func (problem *Problem) Error() string { return problem.Field + ": " + problem.Reason }

func problemf(field, format string, args ...any) *Problem {
	return &Problem{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// The operations of patches.
type (
	// PutOrganisation adds or replaces an organisation.
	PutOrganisation struct{ Organisation conf.OrganisationSpec }
	// RemoveOrganisation removes an organisation without keys and adapters.
	RemoveOrganisation struct{ Name string }
	// PutKey adds a key.
	PutKey struct{ Key conf.KeySpec }
	// WithdrawKey removes a key.
	WithdrawKey struct{ ID string }
	// PutRoute adds or replaces a route.
	PutRoute struct{ Route conf.RouteSpec }
	// RemoveRoute removes a route.
	RemoveRoute struct{ Name string }
	// PutAdapter adds or replaces an adapter.
	PutAdapter struct{ Adapter conf.AdapterSpec }
	// RemoveAdapter removes an adapter.
	RemoveAdapter struct{ Name string }
	// PutUpstream adds or replaces an upstream.
	PutUpstream struct{ Upstream conf.UpstreamSpec }
	// RemoveUpstream removes an upstream. With Ended the operator confirms that
	// the upstream's side process has ended, and the quota shards that it hosts
	// are moved to other upstreams.
	RemoveUpstream struct {
		ID    string
		Ended bool
	}
	// PutFleet replaces the settings of the whole fleet.
	PutFleet struct{ Fleet conf.FleetSpec }
)

// Kind implements Op.
func (PutOrganisation) Kind() string { return "put-organisation" }

// Kind implements Op.
func (RemoveOrganisation) Kind() string { return "remove-organisation" }

// Kind implements Op.
func (PutKey) Kind() string { return "put-key" }

// Kind implements Op.
func (WithdrawKey) Kind() string { return "withdraw-key" }

// Kind implements Op.
func (PutRoute) Kind() string { return "put-route" }

// Kind implements Op.
func (RemoveRoute) Kind() string { return "remove-route" }

// Kind implements Op.
func (PutAdapter) Kind() string { return "put-adapter" }

// Kind implements Op.
func (RemoveAdapter) Kind() string { return "remove-adapter" }

// Kind implements Op.
func (PutUpstream) Kind() string { return "put-upstream" }

// Kind implements Op.
func (RemoveUpstream) Kind() string { return "remove-upstream" }

// Kind implements Op.
func (PutFleet) Kind() string { return "put-fleet" }

// Target implements Op.
func (op PutOrganisation) Target() string { return "organisation " + op.Organisation.Name }

// Target implements Op.
func (op RemoveOrganisation) Target() string { return "organisation " + op.Name }

// Target implements Op.
func (op PutKey) Target() string { return "key " + op.Key.ID }

// Target implements Op.
func (op WithdrawKey) Target() string { return "key " + op.ID }

// Target implements Op.
func (op PutRoute) Target() string { return "route " + op.Route.Name }

// Target implements Op.
func (op RemoveRoute) Target() string { return "route " + op.Name }

// Target implements Op.
func (op PutAdapter) Target() string { return "adapter " + op.Adapter.Name }

// Target implements Op.
func (op RemoveAdapter) Target() string { return "adapter " + op.Name }

// Target implements Op.
func (op PutUpstream) Target() string { return "upstream " + op.Upstream.ID }

// Target implements Op.
func (op RemoveUpstream) Target() string { return "upstream " + op.ID }

// Target implements Op.
func (PutFleet) Target() string { return "fleet" }
