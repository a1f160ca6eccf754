// Package engine is the client of engines and plain services.
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

// maxAnswer bounds the answer to an order or a state request.
const maxAnswer = 1 << 20

// Config configures a Client.
type Config struct {
	// URL is the upstream's address, without a trailing slash.
	URL string
	// HTTP sends the requests; nil stands for a client of its own. Its Timeout
	// must be 0, since answers stream for minutes.
	HTTP *http.Client
	// FencingToken returns the token that accompanies every call; nil sends none.
	FencingToken func() uint64
	// MaxResponse bounds the body of a plain service's answer; 0 stands for
	// 3 MiB, which leaves room for the headers in a message of 4 MiB.
	MaxResponse int64
}

// Client calls one upstream. It never retries.
type Client struct {
	url         string
	http        *http.Client
	token       func() uint64
	maxResponse int64
}

// AdapterRef names an adapter in one version.
type AdapterRef struct {
	Adapter string `json:"adapter"`
	Version uint32 `json:"version"`
}

// String returns the form that requests use, adapter@version.
func (ref AdapterRef) String() string {
	return ref.Adapter + "@" + strconv.FormatUint(uint64(ref.Version), 10)
}

// ParseAdapterRef reads the form adapter@version.
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

// State is what an engine reports of itself. Running and Waiting lag.
type State struct {
	// Incarnation changes each time the engine restarts.
	Incarnation string       `json:"epoch"`
	Slots       int          `json:"slots"`
	Loaded      []AdapterRef `json:"loaded"`
	Loading     []AdapterRef `json:"loading"`
	// FencingToken is the highest fencing token seen, 0 if tokens are ignored.
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
	return &Client{url: config.URL, http: &client, token: config.FencingToken, maxResponse: config.MaxResponse}
}

// State returns what the engine reports of itself.
func (client *Client) State(ctx context.Context) (State, error) {
	var state State
	if err := client.order(ctx, http.MethodGet, "/v1/state", nil, &state); err != nil {
		return State{}, err
	}
	if state.Incarnation == "" {
		return State{}, fault.New(fault.UpstreamFailed, fault.RunUnknown, "the state names no epoch; check that %s is an engine", client.url)
	}
	return state, nil
}

// Load orders the engine to load an adapter and returns when it is loaded. The
// kinds of fault are LoadFailed, when the store or the engine failed or no slot
// is free, and Conflict, when the engine has seen a newer fencing token. After
// an unknown effect the load may still be under way: read the state.
func (client *Client) Load(ctx context.Context, adapter string, version uint32) error {
	return client.order(ctx, http.MethodPost, "/v1/load_lora_adapter", AdapterRef{adapter, version}, nil)
}

// Unload orders the engine to free the slot of an adapter. It is a LoadFailed
// fault if the engine refuses because requests still use the adapter.
func (client *Client) Unload(ctx context.Context, adapter string, version uint32) error {
	return client.order(ctx, http.MethodPost, "/v1/unload_lora_adapter", AdapterRef{adapter, version}, nil)
}

// SetRole orders the engine to change its role.
func (client *Client) SetRole(ctx context.Context, role string) error {
	return client.order(ctx, http.MethodPost, "/v1/role", map[string]string{"role": role}, nil)
}
