package admin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// getConfig writes the current configuration one entry at a time. The query
// parameter adapter-prefix limits the adapters.
func (admin *Admin) getConfig(ctx iris.Context) error {
	ctx.Header("Cache-Control", "no-store")
	ctx.ContentType("application/json")
	prefix := ctx.URLParam("adapter-prefix")
	writer := bufio.NewWriter(ctx.ResponseWriter())
	writeConfig(writer, admin.config.ConfigStore.Current(), prefix)
	// The status has been sent, so a write error can only cut the response off.
	_ = writer.Flush()
	return nil
}

func writeConfig(writer *bufio.Writer, config *conf.Config, prefix string) {
	encoder := json.NewEncoder(writer)
	_, _ = writer.WriteString(`{"version":`)
	_ = encoder.Encode(config.Version())
	_, _ = writer.WriteString(`,"fleet":`)
	_ = encoder.Encode(codec.FleetToJSON(config.Fleet()))
	writeList(writer, "organisations", slices.Values(config.Organisations()), codec.OrganisationToJSON)
	writeList(writer, "keys", slices.Values(config.Keys()), codec.KeyToJSON)
	writeList(writer, "routes", slices.Values(config.Routes()), codec.RouteToJSON)
	writeList(writer, "upstreams", slices.Values(config.Upstreams()), codec.UpstreamToJSON)
	writeList(writer, "adapters", filterByPrefix(config.AllAdapters(), prefix), codec.AdapterToJSON)
	_, _ = writer.WriteString("}\n")
}

func filterByPrefix(adapters iter.Seq[conf.AdapterSpec], prefix string) iter.Seq[conf.AdapterSpec] {
	return func(yield func(conf.AdapterSpec) bool) {
		for adapter := range adapters {
			if strings.HasPrefix(adapter.Name, prefix) && !yield(adapter) {
				return
			}
		}
	}
}

func writeList[T, J any](writer *bufio.Writer, name string, list iter.Seq[T], convert func(T) J) {
	encoder := json.NewEncoder(writer)
	_, _ = writer.WriteString(`,"` + name + `":[`)
	first := true
	for entry := range list {
		if !first {
			_ = writer.WriteByte(',')
		}
		first = false
		_ = encoder.Encode(convert(entry))
	}
	_ = writer.WriteByte(']')
}

func (admin *Admin) getHistory(ctx iris.Context) error {
	return writeJSON(ctx, iris.StatusOK, changesToJSON(admin.config.ConfigStore.History()))
}

func (admin *Admin) postPatch(ctx iris.Context) error {
	data, err := readBody(ctx)
	if err != nil {
		return err
	}
	record, err := codec.DecodePatchJSON(data)
	if err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	if record.ID == "" {
		record.ID = uuid.NewString()
	}
	report, err := admin.config.ConfigStore.Publish(ctx.Request().Context(), record)
	if err != nil {
		return err
	}
	return writeJSON(ctx, httpStatus(report.Kind), reportToJSON(report))
}

func (admin *Admin) getPatch(ctx iris.Context) error {
	return writeJSON(ctx, iris.StatusOK, resultToJSON(admin.config.ConfigStore.Result(ctx.Params().Get("id"))))
}

func readBody(ctx iris.Context) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.BodyTooLarge, fault.NotRun, "the body has more than %d bytes; split the patch", maxBodyBytes)
	case err != nil:
		return nil, fault.New(fault.BadRequest, fault.NotRun, "the body could not be read: %v; send it again", err)
	}
	return data, nil
}

// decodeStrict decodes a JSON object and refuses unknown fields.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "the body is not valid JSON: %v", err)
	}
	return nil
}
