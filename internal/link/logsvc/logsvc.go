// Package logsvc is the HTTP client of the platform's log service.
package logsvc

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

const (
	// MaxRecordSize is the size of the largest record that the log accepts, in
	// bytes.
	MaxRecordSize = 1 << 20
	// maxPageSize bounds the response to a read, in bytes: 4 MiB of data in base64
	// with its JSON framing.
	maxPageSize = 8 << 20
	// maxAppendResponseSize bounds the response to an append, in bytes.
	maxAppendResponseSize = 4 << 10
)

// Config configures a Client.
type Config struct {
	// URL is the address of the log service, without a trailing slash.
	URL string
	// HTTP sends the requests; nil means a client of the Client's own.
	HTTP *http.Client
}

// Client appends records to the log and reads them. It never retries.
type Client struct {
	url  string
	http *http.Client
}

// Record is a record of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the result of a read. FirstOffset is the oldest offset that the log
// still holds; if it is above the requested offset, records have expired.
// NextOffset is the offset that the next appended record gets.
type Page struct {
	FirstOffset uint64   `json:"first"`
	NextOffset  uint64   `json:"next"`
	Records     []Record `json:"records"`
}

// New returns a Client.
func New(config Config) *Client {
	client := http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}}
	if config.HTTP != nil {
		client = *config.HTTP
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{url: config.URL, http: &client}
}

// Append appends a record to a stream and returns its offset. After a fault with
// RunUnknown the record may have been appended.
func (client *Client) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	if len(record) > MaxRecordSize {
		return 0, fault.New(fault.BodyTooLarge, fault.NotRun, "record of %d bytes for the log; the limit is %d, split the change", len(record), MaxRecordSize)
	}
	data, err := client.exchange(ctx, http.MethodPost, recordsPath(stream), record, maxAppendResponseSize)
	if err != nil {
		return 0, err
	}
	var response struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.Unmarshal(data, &response); err != nil || response.Offset == nil {
		return 0, fault.New(fault.LogUnavailable, fault.RunUnknown, "the log's answer to an append names no offset; check that %s is the log service", client.url)
	}
	return *response.Offset, nil
}

// Read returns the records of a stream from an offset on. If there are none yet,
// the log service holds the request for up to wait.
func (client *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	path := fmt.Sprintf("%s?from=%d&wait-ms=%d", recordsPath(stream), from, wait.Milliseconds())
	data, err := client.exchange(ctx, http.MethodGet, path, nil, maxPageSize)
	if err != nil {
		return Page{}, err
	}
	var page Page
	if err := json.Unmarshal(data, &page); err != nil {
		return Page{}, fault.New(fault.LogUnavailable, fault.NotRun, "the log's answer to a read is not valid: %v; check that %s is the log service", err, client.url)
	}
	return page, page.checkOffsets(from)
}

// checkOffsets returns an error if the records are not consecutive from an offset
// on: applying them would corrupt the reader's state.
func (page Page) checkOffsets(from uint64) error {
	expected := max(from, page.FirstOffset)
	for _, record := range page.Records {
		if record.Offset != expected || record.Offset >= page.NextOffset {
			return fault.New(fault.LogUnavailable, fault.NotRun, "the log returned offset %d where %d was due; report it to the platform", record.Offset, expected)
		}
		expected++
	}
	return nil
}

// recordsPath returns the path of a stream's records.
func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
