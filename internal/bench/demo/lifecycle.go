package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/wire/conns"
)

func dialer(network Network) conns.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return network.DialContext(ctx, "tcp", address)
	}
}

// list puts an instance on the platform's list.
func (fleet *Fleet) list(ctx context.Context, listed infra.Instance) error {
	body, err := json.Marshal(listed)
	if err != nil {
		return err
	}
	return fleet.change(ctx, http.MethodPut, listed.ID, body)
}

// unlist removes an instance from the platform's list.
func (fleet *Fleet) unlist(ctx context.Context, listed infra.Instance) error {
	return fleet.change(ctx, http.MethodDelete, listed.ID, nil)
}

func (fleet *Fleet) change(ctx context.Context, method, id string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+fleet.address+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := fleet.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("instance list answered %s", response.Status)
	}
	return nil
}

// take removes the first process of a list.
func (fleet *Fleet) take(list *[]*instance, match func(*instance) bool) (*instance, error) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	index := slices.IndexFunc(*list, match)
	if index < 0 {
		return nil, fmt.Errorf("no such process")
	}
	found := (*list)[index]
	*list = slices.Delete(*list, index, index+1)
	return found, nil
}

func anyInstance(*instance) bool { return true }

func besideUpstream(upstream int) func(*instance) bool {
	return func(instance *instance) bool { return instance.upstream == upstream }
}

// ReplaceEntry starts a new entry instance and stops the oldest gracefully.
func (fleet *Fleet) ReplaceEntry(ctx context.Context) error {
	if err := fleet.StartEntry(ctx); err != nil {
		return err
	}
	entry, err := fleet.take(&fleet.entries, anyInstance)
	if err != nil {
		return err
	}
	return fleet.retire(ctx, entry)
}

// KillEntry ends the oldest entry instance without a drain.
func (fleet *Fleet) KillEntry(ctx context.Context) error {
	entry, err := fleet.take(&fleet.entries, anyInstance)
	if err != nil {
		return err
	}
	entry.process.Kill()
	return fleet.unlist(ctx, entry.listed)
}

// leaveTime is how long a leaving instance keeps serving, so that the list's
// lag and one poll pass before it refuses work.
const leaveTime = 2 * time.Second

// retire marks a process as leaving, stops it gracefully and unlists it.
func (fleet *Fleet) retire(ctx context.Context, retired *instance) error {
	listed := retired.listed
	listed.State = infra.StateDraining
	if err := fleet.list(ctx, listed); err != nil {
		return err
	}
	if err := pause(ctx, leaveTime); err != nil {
		return err
	}
	if err := retired.process.Stop(ctx); err != nil {
		return err
	}
	return fleet.unlist(ctx, listed)
}

// StopSide stops the side process of an upstream gracefully. It returns when
// the instance list was told that the process is leaving.
func (fleet *Fleet) StopSide(ctx context.Context, upstream int) error {
	side, err := fleet.take(&fleet.sides, besideUpstream(upstream))
	if err != nil {
		return err
	}
	return fleet.retire(ctx, side)
}

// KillSide ends the side process of an upstream without a drain.
func (fleet *Fleet) KillSide(ctx context.Context, upstream int) error {
	side, err := fleet.take(&fleet.sides, besideUpstream(upstream))
	if err != nil {
		return err
	}
	side.process.Kill()
	return fleet.unlist(ctx, side.listed)
}
