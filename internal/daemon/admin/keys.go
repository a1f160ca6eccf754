package admin

import (
	"context"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/daemon/syncer"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// maxPublishAttempts bounds how often a change to a key is published when it
// conflicts with other patches. Repeating the change is safe, since issuing and
// withdrawing a key commute with any change that leaves them valid.
const maxPublishAttempts = 8

func (admin *Admin) getKeys(ctx iris.Context) error {
	organisation := ctx.URLParam("organisation")
	list := []codec.KeyJSON{}
	for _, key := range admin.config.ConfigStore.Current().Keys() {
		if organisation == "" || key.Organisation == organisation {
			list = append(list, codec.KeyToJSON(key))
		}
	}
	return writeJSON(ctx, iris.StatusOK, list)
}

func (admin *Admin) postKey(ctx iris.Context) error {
	data, err := readBody(ctx)
	if err != nil {
		return err
	}
	var request keyRequest
	if err := decodeStrict(data, &request); err != nil {
		return err
	}
	key, spec := creds.Issue(request.Organisation)
	report, err := admin.publishOp(ctx.Request().Context(), request.Operator, patch.PutKey{Key: spec})
	if err != nil {
		return err
	}
	if report.Kind != patch.Accepted {
		return keyChangeFault(report, "issue", spec.ID)
	}
	return writeJSON(ctx, iris.StatusCreated, IssuedKey{
		Key: key, ID: spec.ID, Organisation: spec.Organisation, Version: report.Version,
	})
}

func (admin *Admin) deleteKey(ctx iris.Context) error {
	id := ctx.Params().Get("id")
	report, err := admin.publishOp(ctx.Request().Context(), ctx.URLParam("operator"), patch.WithdrawKey{ID: id})
	if err != nil {
		return err
	}
	if report.Kind != patch.Accepted {
		return keyChangeFault(report, "withdraw", id)
	}
	return writeJSON(ctx, iris.StatusOK, reportToJSON(report))
}

// publishOp publishes one operation against the current version, and again after
// each conflict with another patch.
func (admin *Admin) publishOp(ctx context.Context, operator string, op patch.Op) (syncer.PublishReport, error) {
	for attempt := 1; ; attempt++ {
		report, err := admin.config.ConfigStore.Publish(ctx, patch.Patch{
			ID:          uuid.NewString(),
			BaseVersion: admin.config.ConfigStore.Current().Version(),
			Operator:    operator,
			Ops:         []patch.Op{op},
		})
		if err != nil || report.Kind != patch.Conflict || attempt == maxPublishAttempts {
			return report, err
		}
	}
}

func keyChangeFault(report syncer.PublishReport, verb, id string) error {
	switch report.Kind {
	case patch.Conflict:
		return fault.New(fault.Conflict, fault.NotRun, "other patches were faster %d times; %s the key again", maxPublishAttempts, verb)
	case patch.Invalid:
		return fault.New(fault.Invalid, fault.NotRun, "%s: %s", report.Field, report.Reason)
	default:
		return fault.New(fault.OutcomeUnknown, fault.RunUnknown,
			"it is unknown whether the log took the patch; look for key %s with GET /keys, and for patch %s with GET /config/patches/%s",
			id, report.ID, report.ID)
	}
}
