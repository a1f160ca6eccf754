package side

import (
	"cmp"
	"slices"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Status is the state of a side process for operators.
type Status struct {
	Upstream string `json:"upstream"`
	Draining bool   `json:"draining"`
	Queued   int    `json:"queued"`
	Running  int    `json:"running"`
	Slots    int    `json:"slots"`
	// Loaded lists the loaded adapters with their versions.
	Loaded []string `json:"loaded"`
	// Shards lists the quota shards that this process hosts.
	Shards []ShardStatus `json:"shards"`
}

// ShardStatus is a hosted quota shard. Rate is in tokens per second.
type ShardStatus struct {
	Organisation string      `json:"organisation"`
	Index        uint32      `json:"index"`
	Rate         conf.Tokens `json:"rate"`
	Burst        conf.Tokens `json:"burst"`
}

// Status returns the state of the process.
func (server *Server) Status() Status {
	server.mu.Lock()
	defer server.mu.Unlock()
	status := Status{
		Upstream: server.config.UpstreamID,
		Draining: server.draining,
		Queued:   server.queue.Len(),
		Running:  len(server.running),
		Slots:    server.table.Size(),
	}
	for _, ref := range server.table.LoadedAdapters(maxReportedAdapters) {
		status.Loaded = append(status.Loaded, ref.String())
	}
	slices.Sort(status.Loaded)
	for key, size := range server.shards.sizes {
		status.Shards = append(status.Shards, ShardStatus{
			Organisation: key.organisation, Index: key.index, Rate: size.rate, Burst: size.burst,
		})
	}
	slices.SortFunc(status.Shards, func(left, right ShardStatus) int {
		if left.Organisation != right.Organisation {
			return cmp.Compare(left.Organisation, right.Organisation)
		}
		return cmp.Compare(left.Index, right.Index)
	})
	return status
}
