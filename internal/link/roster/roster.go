// Package roster is the client of the platform's instance list.
package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

const (
	// maxList bounds the answer: 10,000 instances at about 400 bytes each.
	maxList = 4 << 20
	// defaultInterval keeps a leaving upstream visible well within 3 s.
	defaultInterval = time.Second
	// defaultTimeout bounds one poll, so that a hanging list does not stop polling.
	defaultTimeout = 2 * time.Second
)

// The roles of instances.
const (
	RoleEntry = "entry"
	RoleSide  = "side"
)

// stateLeaving is the state of an instance that gets no new work.
const stateLeaving = "leaving"

// Instance is one entry of the list.
type Instance struct {
	ID            string
	Role          string
	Upstream      string
	Address       string
	FailureDomain string
	Leaving       bool
}

// Config configures a Roster.
type Config struct {
	// URL is the address of the platform, without a trailing slash.
	URL string
	// HTTP sends the requests; nil stands for a client of its own.
	HTTP *http.Client
	// Interval is the time between polls; 0 stands for 1 s.
	Interval time.Duration
	// Timeout bounds one poll; 0 stands for 2 s.
	Timeout time.Duration
	// Logger gets a line when polling starts to fail and when it works again.
	Logger *zap.Logger
}

// Roster keeps the last instance list that the platform answered with.
type Roster struct {
	config Config
	http   *http.Client
	view   atomic.Pointer[view]
}

// view is one answer, immutable once stored.
type view struct {
	time      time.Time
	instances []Instance
	sides     map[string]Instance
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
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	if config.HTTP != nil {
		client = *config.HTTP
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	roster := &Roster{config: config, http: &client}
	roster.view.Store(&view{})
	return roster
}

// Run polls the list until the context ends. When a poll fails, the last list
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

// Poll fetches the list once.
func (roster *Roster) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roster.config.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, roster.config.URL+"/v1/instances", nil)
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "platform address %q: %v; correct the setting", roster.config.URL, err)
	}
	response, err := roster.http.Do(request)
	if err != nil {
		return fault.New(fault.NoUpstream, fault.NotRun, "no answer from the instance list: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.NoUpstream, fault.NotRun, "the instance list answered %d", response.StatusCode)
	}
	instances, err := decode(response.Body)
	if err != nil {
		return fault.New(fault.NoUpstream, fault.NotRun, "the instance list is not valid: %v; report it to the platform", err)
	}
	roster.view.Store(newView(time.Now(), instances))
	return nil
}

// Instances returns the list. The caller must not change it.
func (roster *Roster) Instances() []Instance { return roster.view.Load().instances }

// Side returns the side process of an upstream. Of several, one that stays is
// preferred, then the one listed last.
func (roster *Roster) Side(upstream string) (Instance, bool) {
	instance, ok := roster.view.Load().sides[upstream]
	return instance, ok
}

// Age returns the time since the list was last fetched, and false before the
// first time.
func (roster *Roster) Age() (time.Duration, bool) {
	fetched := roster.view.Load().time
	return time.Since(fetched), !fetched.IsZero()
}

// newView indexes a list.
func newView(now time.Time, instances []Instance) *view {
	sides := make(map[string]Instance)
	for _, instance := range instances {
		if instance.Role != RoleSide {
			continue
		}
		if known, ok := sides[instance.Upstream]; ok && instance.Leaving && !known.Leaving {
			continue
		}
		sides[instance.Upstream] = instance
	}
	return &view{time: now, instances: instances, sides: sides}
}

// decode reads a list of bounded size.
func decode(body io.Reader) ([]Instance, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxList+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxList {
		return nil, fmt.Errorf("more than %d bytes", maxList)
	}
	var list struct {
		Instances *[]struct {
			ID            string `json:"id"`
			Role          string `json:"role"`
			Upstream      string `json:"upstream"`
			Address       string `json:"address"`
			FailureDomain string `json:"failure-domain"`
			State         string `json:"state"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	if list.Instances == nil {
		return nil, fmt.Errorf("no field \"instances\"")
	}
	instances := make([]Instance, 0, len(*list.Instances))
	for _, entry := range *list.Instances {
		instances = append(instances, Instance{
			ID: entry.ID, Role: entry.Role, Upstream: entry.Upstream, Address: entry.Address,
			FailureDomain: entry.FailureDomain, Leaving: entry.State == stateLeaving,
		})
	}
	return instances, nil
}
