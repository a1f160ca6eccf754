package start

import (
	"context"
	"encoding/json"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// statusFunc returns a role's name and the details of its state.
type statusFunc func() (role string, detail any)

// peerServer implements wirepb.DRPCPeerServer.
type peerServer struct {
	parts  *parts
	status statusFunc
}

// Sync exchanges configuration versions.
func (peer *peerServer) Sync(ctx context.Context, request *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	return peer.parts.syncer.Sync(ctx, request)
}

// Status reports the state of this process.
func (peer *peerServer) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	role, detail := peer.status()
	encoded, err := json.Marshal(detail)
	if err != nil {
		return nil, err
	}
	return &wirepb.StatusResponse{
		Instance:       peer.parts.settings.Instance,
		Role:           role,
		Version:        peer.parts.syncer.Current().Version(),
		ConfirmedAgeUs: peer.parts.syncer.ConfirmedAge().Microseconds(),
		Detail:         encoded,
	}, nil
}
