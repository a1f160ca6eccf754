// Package roster is the client of the platform's instance list.
package roster

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

const (
	// maxResponseSize bounds a response in bytes: 10,000 instances at about 400
	// bytes each.
	maxResponseSize = 4 << 20
	// defaultInterval lets a draining upstream be seen well within 3 s.
	defaultInterval = time.Second
	// defaultTimeout bounds one poll, so that a response that never ends does
	// not stop polling.
	defaultTimeout = 2 * time.Second
)

// Roles of instances.
const (
	RoleEntry = "entry"
	RoleSide  = "side"
)

// Config configures a Roster.
type Config struct {
	// URL is the address of the platform, without a trailing slash.
	URL string
	// HTTP sends the requests; nil means a client of the Roster's own.
	HTTP *http.Client
	// Interval is the time between polls; 0 means 1 s.
	Interval time.Duration
	// Timeout bounds one poll; 0 means 2 s.
	Timeout time.Duration
	// Logger receives a message when polling begins to fail and when it recovers.
	Logger *zap.Logger
}

// Roster polls the platform's instance list and keeps the last one received.
type Roster struct {
	config Config
	http   *http.Client
	view   atomic.Pointer[view]
}

// New returns a Roster with an empty list; Run fills it.
func New(config Config) *Roster {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	client := http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	if config.HTTP != nil {
		client = *config.HTTP
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	roster := &Roster{config: config, http: &client}
	roster.view.Store(&view{})
	return roster
}

// Run polls the list until the context ends. While polls fail, the last list
// stays in use.
func (roster *Roster) Run(ctx context.Context) error {
	ticker := time.NewTicker(roster.config.Interval)
	defer ticker.Stop()
	failing := false
	for {
		err := roster.Poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !failing {
			roster.config.Logger.Warn("roster: instance list unavailable, keeping the last one", zap.Error(err))
		}
		if err == nil && failing {
			roster.config.Logger.Info("roster: instance list available again")
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Poll fetches the changes since the last poll. Run calls it; concurrent calls
// could lose a change.
func (roster *Roster) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roster.config.Timeout)
	defer cancel()
	current := roster.view.Load()
	address := roster.config.URL + "/v1/instances?since=" + url.QueryEscape(current.revision)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "platform address %q: %v; correct the setting", roster.config.URL, err)
	}
	response, err := roster.http.Do(request)
	if err != nil {
		return fault.New(fault.NoUpstream, fault.NotRun, "no answer from the instance list: %v; check that %s is the platform", err, roster.config.URL)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.NoUpstream, fault.NotRun, "the instance list answered %d; check that %s is the platform", response.StatusCode, roster.config.URL)
	}
	update, err := decode(response.Body)
	if err != nil {
		return fault.New(fault.NoUpstream, fault.NotRun, "the instance list is not valid: %v; report it to the platform", err)
	}
	roster.view.Store(current.apply(time.Now(), update))
	return nil
}

// Instances returns the last list. The caller must not modify it.
func (roster *Roster) Instances() []Instance { return roster.view.Load().instances }

// SideProcess returns the side process of an upstream. If there are several, one
// that is not draining is preferred, then the one announced last.
func (roster *Roster) SideProcess(upstream string) (Instance, bool) {
	instance, ok := roster.view.Load().sideProcesses[upstream]
	return instance, ok
}

// Age returns the time since the last successful poll, and false before the
// first one.
func (roster *Roster) Age() (time.Duration, bool) {
	fetchedAt := roster.view.Load().fetchedAt
	return time.Since(fetchedAt), !fetchedAt.IsZero()
}
