package start

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"jacinthfront.dev/jacinthfront/internal/daemon/admin"
	"jacinthfront.dev/jacinthfront/internal/link/roster"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// serveOperators serves the operator interface until ctx ends.
func (parts *parts) serveOperators(ctx context.Context, process *Process) error {
	operators, err := admin.New(admin.Config{
		Instance:    parts.settings.Instance,
		ConfigStore: parts.syncer,
		Process:     process,
		FleetStatus: peerFleet{parts},
		Logger:      parts.logger,
	})
	if err != nil {
		return err
	}
	return operators.Serve(ctx, parts.operators)
}

const (
	// statusTime bounds the question to one instance.
	statusTime = time.Second
	// statusCalls bounds the instances asked at a time.
	statusCalls = 32
)

// peerFleet implements admin.Fleet by asking every listed instance.
type peerFleet struct{ parts *parts }

// Status returns the state of every listed instance.
func (fleet peerFleet) Status(ctx context.Context) []admin.InstanceStatus {
	instances := fleet.parts.roster.Instances()
	list := make([]admin.InstanceStatus, len(instances))
	var group errgroup.Group
	group.SetLimit(statusCalls)
	for index, instance := range instances {
		group.Go(func() error {
			list[index] = fleet.ask(ctx, instance)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(list, func(left, right admin.InstanceStatus) int { return cmp.Compare(left.Instance, right.Instance) })
	return list
}

func (fleet peerFleet) ask(ctx context.Context, instance roster.Instance) admin.InstanceStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	status := admin.InstanceStatus{Instance: instance.ID, Role: instance.Role, Draining: instance.Draining}
	conn, err := fleet.parts.pool.Get(ctx, instance.Address)
	if err != nil {
		status.Error = err.Error()
		return status
	}
	defer conn.Release()
	response, err := wirepb.NewDRPCPeerClient(conn).Status(ctx, &wirepb.StatusRequest{})
	if err != nil {
		status.Error = err.Error()
		return status
	}
	status.Version = response.GetVersion()
	status.ConfirmedAge = (time.Duration(response.GetConfirmedAgeUs()) * time.Microsecond).String()
	status.Detail = response.GetDetail()
	return status
}

// watch closes Done when all parts have ended.
func (process *Process) watch(group *errgroup.Group) {
	go func() {
		process.err = group.Wait()
		process.serve()
		process.parts.close()
		_ = process.parts.pool.Close()
		close(process.done)
	}()
}
