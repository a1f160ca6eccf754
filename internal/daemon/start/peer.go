package start

import (
	"context"
	"encoding/json"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// statusFunc returns the role of a process and the details of its state.
type statusFunc func() (role string, detail any)

// peerServer implements wirepb.DRPCPeerServer.
type peerServer struct {
	components *components
	status     statusFunc
}

// Sync synchronises the configuration with a peer.
func (peer *peerServer) Sync(ctx context.Context, request *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	return peer.components.syncer.Sync(ctx, request)
}

// Status returns the state of this process.
func (peer *peerServer) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	role, detail := peer.status()
	encoded, err := json.Marshal(detail)
	if err != nil {
		return nil, err
	}
	return &wirepb.StatusResponse{
		Instance:       peer.components.settings.Instance,
		Role:           role,
		Version:        peer.components.syncer.Current().Version(),
		ConfirmedAgeUs: peer.components.syncer.ConfirmedAge().Microseconds(),
		Detail:         encoded,
	}, nil
}
