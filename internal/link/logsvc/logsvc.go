// Package logsvc is the client of the platform's log service.
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
	// MaxRecord is the largest record that the log accepts.
	MaxRecord = 1 << 20
	// maxPage bounds the answer to a read: 4 MiB of data in base64 and its framing.
	maxPage = 8 << 20
	// maxAppendAnswer bounds the answer to an append.
	maxAppendAnswer = 4 << 10
)

// Config configures a Client.
type Config struct {
	// URL is the address of the log service, without a trailing slash.
	URL string
	// HTTP sends the requests; nil stands for a client of its own.
	HTTP *http.Client
}

// Client appends to and reads from the log. It never retries.
type Client struct {
	url  string
	http *http.Client
}

// Record is one entry of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the answer to a read. First is the oldest offset that the log still
// holds; a First above the offset asked for means that records have expired.
// Next is the offset that the next appended record gets.
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

// Append adds a record to a stream and returns its offset. A fault whose effect
// is unknown means that the record may have been appended.
func (client *Client) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	if len(record) > MaxRecord {
		return 0, fault.New(fault.BodyTooLarge, fault.NotRun, "record of %d bytes for the log; the limit is %d, split the change", len(record), MaxRecord)
	}
	data, err := client.exchange(ctx, http.MethodPost, recordsPath(stream), record, maxAppendAnswer)
	if err != nil {
		return 0, err
	}
	var answer struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.Unmarshal(data, &answer); err != nil || answer.Offset == nil {
		return 0, fault.New(fault.LogUnavailable, fault.RunUnknown, "the log's answer to an append names no offset; check that %s is the log service", client.url)
	}
	return *answer.Offset, nil
}

// Read returns records from an offset on. When there are none yet, the log
// holds the call for up to wait.
func (client *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	path := fmt.Sprintf("%s?from=%d&wait-ms=%d", recordsPath(stream), from, wait.Milliseconds())
	data, err := client.exchange(ctx, http.MethodGet, path, nil, maxPage)
	if err != nil {
		return Page{}, err
	}
	var page Page
	if err := json.Unmarshal(data, &page); err != nil {
		return Page{}, fault.New(fault.LogUnavailable, fault.NotRun, "the log's answer to a read is not valid: %v; check that %s is the log service", err, client.url)
	}
	return page, page.check(from)
}

// check refuses a page whose records are out of order, which would corrupt a fold.
func (page Page) check(from uint64) error {
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
