package admin

import (
	"encoding/json"
	"math"
	"time"

	"github.com/kataras/iris/v12"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/daemon/syncer"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// PatchReport is the JSON form of a syncer.PublishReport.
type PatchReport struct {
	ID      string           `json:"id"`
	Result  patch.ResultKind `json:"result"`
	Version uint64           `json:"version,omitempty"`
	Field   string           `json:"field,omitempty"`
	Reason  string           `json:"reason,omitempty"`
	Changes []AcceptedPatch  `json:"changes,omitempty"`
	Advice  string           `json:"advice,omitempty"`
}

// AcceptedPatch is the JSON form of a syncer.Change.
type AcceptedPatch struct {
	Version  uint64   `json:"version"`
	ID       string   `json:"id"`
	Operator string   `json:"operator,omitempty"`
	Ops      []string `json:"ops"`
}

// Status is the state of one process.
type Status struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
	Ready    bool   `json:"ready"`
	Version  uint64 `json:"version"`
	// ConfirmedAge is empty when the version was never confirmed.
	ConfirmedAge string `json:"confirmed-age,omitempty"`
	Isolated     bool   `json:"isolated"`
	Detail       any    `json:"detail,omitempty"`
}

// IssuedKey is a new key. Only the response that issues the key shows it.
type IssuedKey struct {
	Key          string `json:"key"`
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Version      uint64 `json:"version"`
}

// keyRequest asks for a key.
type keyRequest struct {
	Organisation string `json:"organisation"`
	Operator     string `json:"operator,omitempty"`
}

type errorJSON struct {
	Error faultJSON `json:"error"`
}

type faultJSON struct {
	Kind    fault.Kind      `json:"kind"`
	Message string          `json:"message"`
	Ran     fault.Execution `json:"ran"`
	// RetryAfter is in seconds, as in the header of that name.
	RetryAfter float64 `json:"retry-after,omitempty"`
}

func faultToJSON(failure *fault.Fault) faultJSON {
	return faultJSON{
		Kind: failure.Kind(), Message: failure.Message(), Ran: failure.Ran(), RetryAfter: failure.RetryAfter().Seconds(),
	}
}

func resultToJSON(result patch.Result) PatchReport {
	return PatchReport{ID: result.ID, Result: result.Kind, Version: result.Version, Field: result.Field, Reason: result.Reason}
}

func reportToJSON(report syncer.PublishReport) PatchReport {
	form := resultToJSON(report.Result)
	form.Advice = report.Advice
	form.Changes = changesToJSON(report.Changes)
	return form
}

func changesToJSON(changes []syncer.Change) []AcceptedPatch {
	list := make([]AcceptedPatch, 0, len(changes))
	for _, change := range changes {
		list = append(list, AcceptedPatch(change))
	}
	return list
}

// httpStatus returns the HTTP status of a patch's result.
func httpStatus(kind patch.ResultKind) int {
	switch kind {
	case patch.Accepted, patch.Duplicate:
		return iris.StatusOK
	case patch.Conflict:
		return fault.Conflict.Status()
	case patch.Invalid:
		return fault.Invalid.Status()
	default:
		return fault.OutcomeUnknown.Status()
	}
}

func formatAge(age time.Duration) string {
	if age == math.MaxInt64 {
		return ""
	}
	return age.Round(time.Millisecond).String()
}

// writeJSON writes a JSON response. It forbids caching, because a response may
// contain a key.
func writeJSON(ctx iris.Context, status int, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx.Header("Cache-Control", "no-store")
	ctx.ContentType("application/json")
	ctx.StatusCode(status)
	_, err = ctx.Write(append(data, '\n'))
	return err
}
