package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// clientTimeout exceeds the time in which the result of a patch is reported.
const clientTimeout = 20 * time.Second

// Client calls the operator interface of one process.
type Client struct {
	// URL is the address of the operator interface, without a trailing slash.
	URL string
	// HTTP sends the requests; if nil, a client with clientTimeout does.
	HTTP *http.Client
}

// Config copies the current configuration as JSON to a writer. An adapter prefix
// limits the adapters to those whose names start with it.
func (client Client) Config(ctx context.Context, adapterPrefix string, writer io.Writer) error {
	path := "/config"
	if adapterPrefix != "" {
		path += "?adapter-prefix=" + url.QueryEscape(adapterPrefix)
	}
	response, err := client.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseFault(response)
	}
	_, err = io.Copy(writer, response.Body)
	return err
}

// Publish publishes a patch and returns its result. A patch without an id gets
// one. Only a patch with an id can be published again safely.
func (client Client) Publish(ctx context.Context, record patch.Patch) (PatchReport, error) {
	data, err := codec.EncodePatchJSON(record)
	if err != nil {
		return PatchReport{}, err
	}
	var report PatchReport
	err = client.call(ctx, http.MethodPost, "/config/patches", data, &report,
		httpStatus(patch.Accepted), httpStatus(patch.Conflict), httpStatus(patch.Invalid), httpStatus(patch.Unknown))
	return report, err
}

// PatchResult returns what is known of a patch.
func (client Client) PatchResult(ctx context.Context, id string) (PatchReport, error) {
	var report PatchReport
	err := client.call(ctx, http.MethodGet, "/config/patches/"+url.PathEscape(id), nil, &report)
	return report, err
}

// History returns the last accepted patches, the oldest first.
func (client Client) History(ctx context.Context) ([]AcceptedPatch, error) {
	var changes []AcceptedPatch
	err := client.call(ctx, http.MethodGet, "/config/history", nil, &changes)
	return changes, err
}

// IssueKey issues a key for an organisation.
func (client Client) IssueKey(ctx context.Context, organisation, operator string) (IssuedKey, error) {
	data, err := json.Marshal(keyRequest{Organisation: organisation, Operator: operator})
	if err != nil {
		return IssuedKey{}, err
	}
	var issued IssuedKey
	err = client.call(ctx, http.MethodPost, "/keys", data, &issued, http.StatusCreated)
	return issued, err
}

// WithdrawKey withdraws a key by its id.
func (client Client) WithdrawKey(ctx context.Context, id, operator string) (PatchReport, error) {
	var report PatchReport
	path := "/keys/" + url.PathEscape(id) + "?operator=" + url.QueryEscape(operator)
	err := client.call(ctx, http.MethodDelete, path, nil, &report)
	return report, err
}

// Keys lists the keys of an organisation, or of all when it is empty.
func (client Client) Keys(ctx context.Context, organisation string) ([]codec.KeyJSON, error) {
	var keys []codec.KeyJSON
	err := client.call(ctx, http.MethodGet, "/keys?organisation="+url.QueryEscape(organisation), nil, &keys)
	return keys, err
}

// Status returns the state of the process.
func (client Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := client.call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// call sends a request and decodes the response if its status is 200 or one of
// those given.
func (client Client) call(ctx context.Context, method, path string, body []byte, into any, statuses ...int) error {
	response, err := client.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	expected := response.StatusCode == http.StatusOK
	for _, status := range statuses {
		expected = expected || response.StatusCode == status
	}
	if !expected {
		return responseFault(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return unreadableResponse(err)
	}
	if refused := decodeFault(data); refused != nil {
		return refused
	}
	if err := json.Unmarshal(data, into); err != nil {
		return unreadableResponse(err)
	}
	return nil
}

func (client Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, client.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%v; check the address of the operator interface", err)
	}
	sender := client.HTTP
	if sender == nil {
		sender = &http.Client{Timeout: clientTimeout}
	}
	response, err := sender.Do(request)
	if err != nil {
		return nil, fault.New(fault.OutcomeUnknown, fault.RunUnknown,
			"the operator interface at %s did not answer: %v; check that the process runs, and ask for the patch's result", client.URL, err)
	}
	return response, nil
}

// responseFault returns the fault in a response.
func responseFault(response *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if refused := decodeFault(data); refused != nil {
		return refused
	}
	return fault.New(fault.Internal, fault.RunUnknown, "the operator interface answered %s without a reason; check that the address is one", response.Status)
}

func decodeFault(data []byte) error {
	var form errorJSON
	if err := json.Unmarshal(data, &form); err != nil || form.Error.Kind == "" {
		return nil //nolint:nilerr // a response that is not a fault is decoded by the caller
	}
	return fault.New(form.Error.Kind, form.Error.Ran, "%s", form.Error.Message).
		WithRetryAfter(time.Duration(form.Error.RetryAfter * float64(time.Second)))
}

func unreadableResponse(err error) error {
	return fault.New(fault.OutcomeUnknown, fault.RunUnknown, "the answer could not be read: %v; ask for the patch's result", fmt.Errorf("decoding: %w", err))
}
