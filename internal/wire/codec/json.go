package codec

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// The JSON forms of a patch and its operations. An operation is a JSON object
// with one field, whose name is the operation's kind.
type (
	patchJSON struct {
		ID          string   `json:"id"`
		BaseVersion uint64   `json:"base"`
		Operator    string   `json:"operator,omitempty"`
		Force       bool     `json:"force,omitempty"`
		Ops         []opJSON `json:"ops"`
	}
	opJSON struct {
		PutOrganisation    *OrganisationJSON   `json:"put-organisation,omitempty"`
		RemoveOrganisation *string             `json:"remove-organisation,omitempty"`
		PutKey             *KeyJSON            `json:"put-key,omitempty"`
		WithdrawKey        *string             `json:"withdraw-key,omitempty"`
		PutRoute           *RouteJSON          `json:"put-route,omitempty"`
		RemoveRoute        *string             `json:"remove-route,omitempty"`
		PutAdapter         *AdapterJSON        `json:"put-adapter,omitempty"`
		RemoveAdapter      *string             `json:"remove-adapter,omitempty"`
		PutUpstream        *UpstreamJSON       `json:"put-upstream,omitempty"`
		RemoveUpstream     *removeUpstreamJSON `json:"remove-upstream,omitempty"`
		PutFleet           *FleetJSON          `json:"put-fleet,omitempty"`
	}
	removeUpstreamJSON struct {
		ID    string `json:"id"`
		Ended bool   `json:"ended,omitempty"`
	}
	// OrganisationJSON is the JSON form of an organisation.
	OrganisationJSON struct {
		Name   string   `json:"name"`
		Half   string   `json:"half,omitempty"`
		Rate   int64    `json:"rate"`
		Burst  int64    `json:"burst"`
		Shards []string `json:"shards,omitempty"`
	}
	// KeyJSON is the JSON form of a key. Salt and digest are in base64.
	KeyJSON struct {
		ID           string `json:"id"`
		Organisation string `json:"organisation"`
		Salt         string `json:"salt,omitempty"`
		Digest       string `json:"digest,omitempty"`
	}
	// RouteJSON is the JSON form of a route.
	RouteJSON struct {
		Name             string     `json:"name"`
		Service          string     `json:"service"`
		Plain            bool       `json:"plain,omitempty"`
		PathPrefix       string     `json:"path-prefix,omitempty"`
		Methods          []string   `json:"methods,omitempty"`
		Class            conf.Class `json:"class"`
		MaxWait          duration   `json:"longest-wait"`
		Idempotent       bool       `json:"idempotent,omitempty"`
		Open             bool       `json:"open,omitempty"`
		DefaultMaxTokens int64      `json:"default-max-tokens,omitempty"`
		Cost             int64      `json:"cost,omitempty"`
	}
	// AdapterJSON is the JSON form of an adapter.
	AdapterJSON struct {
		Name           string   `json:"name"`
		Organisation   string   `json:"organisation,omitempty"`
		Service        string   `json:"service"`
		Versions       []uint32 `json:"versions"`
		DefaultVersion uint32   `json:"default-version"`
	}
	// UpstreamJSON is the JSON form of an upstream.
	UpstreamJSON struct {
		ID             string `json:"id"`
		Service        string `json:"service"`
		Plain          bool   `json:"plain,omitempty"`
		Half           string `json:"half,omitempty"`
		FailureDomain  string `json:"failure-domain"`
		FencingChecked bool   `json:"fencing-checked,omitempty"`
	}
	// FleetJSON is the JSON form of the settings of the whole fleet.
	FleetJSON struct {
		LoadRateMilli int64    `json:"load-rate-milli"`
		LoadBurst     int64    `json:"load-burst"`
		LoadShards    []string `json:"load-shards,omitempty"`
	}
)

// duration is a time.Duration that is written as text, such as "1.5s".
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (duration duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (duration *duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write one such as \"30s\"", text)
	}
	*(*time.Duration)(duration) = value
	return nil
}

// EncodePatchJSON returns the JSON form of a patch.
func EncodePatchJSON(record patch.Patch) ([]byte, error) {
	form := patchJSON{
		ID: record.ID, BaseVersion: record.BaseVersion, Operator: record.Operator, Force: record.Force,
		Ops: make([]opJSON, 0, len(record.Ops)),
	}
	for _, op := range record.Ops {
		form.Ops = append(form.Ops, opToJSON(op))
	}
	return json.Marshal(form)
}

// DecodePatchJSON decodes the JSON form of a patch. Unknown fields, text after
// the JSON object and operations without exactly one field are errors.
func DecodePatchJSON(data []byte) (patch.Patch, error) {
	var form patchJSON
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil {
		return patch.Patch{}, Class.New("the patch is not valid JSON: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF unwrapped
		return patch.Patch{}, Class.New("the patch is followed by more text; send one JSON object")
	}
	record := patch.Patch{ID: form.ID, BaseVersion: form.BaseVersion, Operator: form.Operator, Force: form.Force}
	for index, op := range form.Ops {
		converted, err := opFromJSON(op)
		if err != nil {
			return patch.Patch{}, Class.New("ops[%d]: %v", index, err)
		}
		record.Ops = append(record.Ops, converted)
	}
	return record, nil
}

func opToJSON(op patch.Op) opJSON {
	switch op := op.(type) {
	case patch.PutOrganisation:
		return opJSON{PutOrganisation: new(OrganisationToJSON(op.Organisation))}
	case patch.RemoveOrganisation:
		return opJSON{RemoveOrganisation: &op.Name}
	case patch.PutKey:
		key := KeyToJSON(op.Key)
		key.Salt = base64.StdEncoding.EncodeToString(op.Key.Salt)
		key.Digest = base64.StdEncoding.EncodeToString(op.Key.Digest[:])
		return opJSON{PutKey: &key}
	case patch.WithdrawKey:
		return opJSON{WithdrawKey: &op.ID}
	case patch.PutRoute:
		return opJSON{PutRoute: new(RouteToJSON(op.Route))}
	case patch.RemoveRoute:
		return opJSON{RemoveRoute: &op.Name}
	case patch.PutAdapter:
		return opJSON{PutAdapter: new(AdapterToJSON(op.Adapter))}
	case patch.RemoveAdapter:
		return opJSON{RemoveAdapter: &op.Name}
	case patch.PutUpstream:
		return opJSON{PutUpstream: new(UpstreamToJSON(op.Upstream))}
	case patch.RemoveUpstream:
		return opJSON{RemoveUpstream: &removeUpstreamJSON{ID: op.ID, Ended: op.Ended}}
	case patch.PutFleet:
		return opJSON{PutFleet: new(FleetToJSON(op.Fleet))}
	default:
		return opJSON{}
	}
}

func opFromJSON(form opJSON) (patch.Op, error) {
	var ops []patch.Op
	add := func(op patch.Op) { ops = append(ops, op) }
	if form.PutOrganisation != nil {
		add(patch.PutOrganisation{Organisation: form.PutOrganisation.spec()})
	}
	if form.RemoveOrganisation != nil {
		add(patch.RemoveOrganisation{Name: *form.RemoveOrganisation})
	}
	if form.PutKey != nil {
		key, err := form.PutKey.spec()
		if err != nil {
			return nil, err
		}
		add(patch.PutKey{Key: key})
	}
	if form.WithdrawKey != nil {
		add(patch.WithdrawKey{ID: *form.WithdrawKey})
	}
	if form.PutRoute != nil {
		add(patch.PutRoute{Route: form.PutRoute.spec()})
	}
	if form.RemoveRoute != nil {
		add(patch.RemoveRoute{Name: *form.RemoveRoute})
	}
	if form.PutAdapter != nil {
		add(patch.PutAdapter{Adapter: form.PutAdapter.spec()})
	}
	if form.RemoveAdapter != nil {
		add(patch.RemoveAdapter{Name: *form.RemoveAdapter})
	}
	if form.PutUpstream != nil {
		add(patch.PutUpstream{Upstream: form.PutUpstream.spec()})
	}
	if form.RemoveUpstream != nil {
		add(patch.RemoveUpstream{ID: form.RemoveUpstream.ID, Ended: form.RemoveUpstream.Ended})
	}
	if form.PutFleet != nil {
		add(patch.PutFleet{Fleet: form.PutFleet.spec()})
	}
	if len(ops) != 1 {
		return nil, fmt.Errorf("has %d operations; write one such as {\"put-adapter\": {…}}", len(ops))
	}
	return ops[0], nil
}
