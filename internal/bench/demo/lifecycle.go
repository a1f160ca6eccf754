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

// putInstance adds or changes an instance in the platform's list.
func (fleet *Fleet) putInstance(ctx context.Context, entry infra.Instance) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return fleet.changeList(ctx, http.MethodPut, entry.ID, body)
}

// removeInstance removes an instance from the platform's list.
func (fleet *Fleet) removeInstance(ctx context.Context, entry infra.Instance) error {
	return fleet.changeList(ctx, http.MethodDelete, entry.ID, nil)
}

// changeList sends a request to the platform's instance list.
func (fleet *Fleet) changeList(ctx context.Context, method, id string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+fleet.platformAddress+"/v1/instances/"+id, bytes.NewReader(body))
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

// takeInstance removes the first matching instance from a list and returns it.
func (fleet *Fleet) takeInstance(list *[]*instance, match func(*instance) bool) (*instance, error) {
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

func servesUpstream(upstream int) func(*instance) bool {
	return func(instance *instance) bool { return instance.upstream == upstream }
}

// ReplaceEntry starts a new entry instance, and then drains and stops the oldest.
func (fleet *Fleet) ReplaceEntry(ctx context.Context) error {
	if err := fleet.StartEntry(ctx); err != nil {
		return err
	}
	entry, err := fleet.takeInstance(&fleet.entries, anyInstance)
	if err != nil {
		return err
	}
	return fleet.drainAndStop(ctx, entry)
}

// KillEntry kills the oldest entry instance without draining it.
func (fleet *Fleet) KillEntry(ctx context.Context) error {
	entry, err := fleet.takeInstance(&fleet.entries, anyInstance)
	if err != nil {
		return err
	}
	entry.process.Kill()
	return fleet.removeInstance(ctx, entry.listEntry)
}

// drainingTime is how long an instance keeps accepting requests after it was listed
// as draining. It covers the lag of the list and the interval between two polls.
const drainingTime = 2 * time.Second

// drainAndStop lists an instance as draining, stops it gracefully and removes it
// from the list.
func (fleet *Fleet) drainAndStop(ctx context.Context, instance *instance) error {
	entry := instance.listEntry
	entry.State = infra.StateDraining
	if err := fleet.putInstance(ctx, entry); err != nil {
		return err
	}
	if err := sleep(ctx, drainingTime); err != nil {
		return err
	}
	if err := instance.process.Stop(ctx); err != nil {
		return err
	}
	return fleet.removeInstance(ctx, entry)
}

// StopSide drains and stops the side process of an upstream. It returns when the
// process has stopped and is removed from the instance list.
func (fleet *Fleet) StopSide(ctx context.Context, upstream int) error {
	side, err := fleet.takeInstance(&fleet.sides, servesUpstream(upstream))
	if err != nil {
		return err
	}
	return fleet.drainAndStop(ctx, side)
}

// KillSide kills the side process of an upstream without draining it.
func (fleet *Fleet) KillSide(ctx context.Context, upstream int) error {
	side, err := fleet.takeInstance(&fleet.sides, servesUpstream(upstream))
	if err != nil {
		return err
	}
	side.process.Kill()
	return fleet.removeInstance(ctx, side.listEntry)
}
