// Package engine is the HTTP client of engines and plain services.
package engine

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// maxResponseSize bounds the body of the response to an order or a state
// request, in bytes.
const maxResponseSize = 1 << 20

// Config configures a Client.
type Config struct {
	// URL is the upstream's address, without a trailing slash.
	URL string
	// HTTP sends the requests; nil means a client of the Client's own. Its
	// Timeout must be 0, since responses stream for minutes.
	HTTP *http.Client
	// FencingToken returns the token that is sent with every call; nil sends
	// none.
	FencingToken func() uint64
	// MaxResponse bounds the body of a plain service's response, in bytes; 0
	// means 3 MiB, which leaves room for the headers in a message of 4 MiB.
	MaxResponse int64
}

// Client sends requests to one upstream. It never retries. A connection on which the
// upstream has refused a request is closed: an upstream that has a fault may write the
// refusal again, and if the same request has come back by then, its id does not tell.
type Client struct {
	url          string
	http         *http.Client
	fencingToken func() uint64
	maxResponse  int64
	connUses     *connUses
}

// AdapterRef identifies a version of an adapter.
type AdapterRef struct {
	Adapter string `json:"adapter"`
	Version uint32 `json:"version"`
}

// String returns the reference in the form of requests, adapter@version.
func (ref AdapterRef) String() string {
	return ref.Adapter + "@" + strconv.FormatUint(uint64(ref.Version), 10)
}

// ParseAdapterRef parses a reference of the form adapter@version.
func ParseAdapterRef(text string) (AdapterRef, error) {
	at := strings.LastIndexByte(text, '@')
	if at <= 0 {
		return AdapterRef{}, fmt.Errorf("%q is not of the form adapter@version", text)
	}
	version, err := strconv.ParseUint(text[at+1:], 10, 32)
	if err != nil {
		return AdapterRef{}, fmt.Errorf("%q: the version is not a number: %w", text, err)
	}
	return AdapterRef{Adapter: text[:at], Version: uint32(version)}, nil
}

// State is what an engine reports about itself. Running and Waiting lag behind
// the engine's current load.
type State struct {
	// Incarnation changes each time the engine restarts.
	Incarnation string       `json:"epoch"`
	Slots       int          `json:"slots"`
	Loaded      []AdapterRef `json:"loaded"`
	Loading     []AdapterRef `json:"loading"`
	// FencingToken is the highest fencing token that the engine has received,
	// or 0 if the engine ignores tokens.
	FencingToken uint64 `json:"fence"`
	Role         string `json:"role"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
}

// New returns a Client.
func New(config Config) *Client {
	client := http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}
	if config.HTTP != nil {
		client = *config.HTTP
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	if config.MaxResponse <= 0 {
		config.MaxResponse = 3 << 20
	}
	return &Client{
		url: config.URL, http: &client, fencingToken: config.FencingToken, maxResponse: config.MaxResponse,
		connUses: newConnUses(),
	}
}

// State requests the engine's report about itself.
func (client *Client) State(ctx context.Context) (State, error) {
	var state State
	if err := client.callJSON(ctx, http.MethodGet, "/v1/state", nil, &state); err != nil {
		return State{}, err
	}
	if state.Incarnation == "" {
		return State{}, fault.New(fault.UpstreamFailed, fault.RunUnknown, "the state names no epoch; check that %s is an engine", client.url)
	}
	return state, nil
}

// Load orders the engine to load an adapter and returns once it is loaded. The
// fault is LoadFailed if the store or the engine failed or no slot is free, and
// Conflict if the engine has received a newer fencing token. After a fault
// with RunUnknown the load may still be in progress, which State shows.
func (client *Client) Load(ctx context.Context, adapter string, version uint32) error {
	return client.callJSON(ctx, http.MethodPost, "/v1/load_lora_adapter", AdapterRef{adapter, version}, nil)
}

// Unload orders the engine to unload an adapter and free its slot. The fault is
// LoadFailed if the engine refuses because requests still use the adapter.
func (client *Client) Unload(ctx context.Context, adapter string, version uint32) error {
	return client.callJSON(ctx, http.MethodPost, "/v1/unload_lora_adapter", AdapterRef{adapter, version}, nil)
}

// SetRole orders the engine to change its role.
func (client *Client) SetRole(ctx context.Context, role string) error {
	return client.callJSON(ctx, http.MethodPost, "/v1/role", map[string]string{"role": role}, nil)
}
