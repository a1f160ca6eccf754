package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"
)

// InstanceStatus is the state that an instance reports, or why it could not be
// asked.
type InstanceStatus struct {
	Instance     string          `json:"instance"`
	Role         string          `json:"role"`
	Draining     bool            `json:"leaving,omitempty"`
	Version      uint64          `json:"version"`
	ConfirmedAge string          `json:"confirmed-age,omitempty"`
	Error        string          `json:"error,omitempty"`
	Detail       json.RawMessage `json:"detail,omitempty"`
}

// FleetStatus asks the listed instances for their state.
type FleetStatus interface {
	Status(ctx context.Context) []InstanceStatus
}

func (admin *Admin) getFleet(ctx iris.Context) error {
	var list []InstanceStatus
	if admin.config.FleetStatus != nil {
		list = admin.config.FleetStatus.Status(ctx.Request().Context())
	}
	return writeJSON(ctx, iris.StatusOK, list)
}

// FleetStatus returns the state of every listed instance.
func (client Client) FleetStatus(ctx context.Context) ([]InstanceStatus, error) {
	var list []InstanceStatus
	err := client.call(ctx, http.MethodGet, "/status/fleet", nil, &list)
	return list, err
}
