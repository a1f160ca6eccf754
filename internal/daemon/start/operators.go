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
func (components *components) serveOperators(ctx context.Context, process *Process) error {
	operators, err := admin.New(admin.Config{
		Instance:    components.settings.Instance,
		ConfigStore: components.syncer,
		Process:     process,
		FleetStatus: peerStatus{components},
		Logger:      components.logger,
	})
	if err != nil {
		return err
	}
	return operators.Serve(ctx, components.operators)
}

const (
	// statusTimeout bounds the Status call to one instance.
	statusTimeout = time.Second
	// maxStatusCalls bounds the concurrent Status calls.
	maxStatusCalls = 32
)

// peerStatus implements admin.FleetStatus by a Status call to every listed
// instance.
type peerStatus struct{ components *components }

// Status returns the state of every listed instance, ordered by instance id. An
// instance that can't be reached has Error set.
func (peers peerStatus) Status(ctx context.Context) []admin.InstanceStatus {
	instances := peers.components.roster.Instances()
	list := make([]admin.InstanceStatus, len(instances))
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	for index, instance := range instances {
		group.Go(func() error {
			list[index] = peers.instanceStatus(ctx, instance)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(list, func(left, right admin.InstanceStatus) int { return cmp.Compare(left.Instance, right.Instance) })
	return list
}

// instanceStatus returns the state of one instance.
func (peers peerStatus) instanceStatus(ctx context.Context, instance roster.Instance) admin.InstanceStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status := admin.InstanceStatus{Instance: instance.ID, Role: instance.Role, Draining: instance.Draining}
	conn, err := peers.components.pool.Get(ctx, instance.Address)
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

// closeWhenDone waits in the background until all components have ended, then
// closes the listeners and connections and the channel that Done returns.
func (process *Process) closeWhenDone(group *errgroup.Group) {
	go func() {
		process.err = group.Wait()
		process.cancel()
		process.components.close()
		_ = process.components.pool.Close()
		close(process.done)
	}()
}
