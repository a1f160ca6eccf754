package entry

import (
	"fmt"
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// TestKeysOfPartitionShareUpstream guards against sending idempotency keys of one
// partition to several side processes, each of which would read the whole stream
// of the partition.
func TestKeysOfPartitionShareUpstream(t *testing.T) {
	chooser := policy.NewRoundRobin(policy.NoEjection{})
	target := &service{name: "orders", policy: chooser}
	var members []policy.Member
	for index := range 40 {
		id := fmt.Sprintf("upstream-%d", index)
		target.specs = append(target.specs, conf.UpstreamSpec{ID: id})
		members = append(members, policy.Member{ID: id})
	}
	chooser.SetMembers(members, 1)
	owners, used := map[int]string{}, map[string]bool{}
	for index := range 2000 {
		claim := digest("organisation", fmt.Sprint(index))
		job := &job{service: target, idempotencyKeyHash: claim}
		decision, ok := job.chooseByIdempotencyKey(time.Now())
		if !ok {
			t.Fatal("no upstream")
		}
		partition := dedup.PartitionOf(claim, dedup.DefaultPartitions)
		if owner, known := owners[partition]; known && owner != decision.Upstream {
			t.Fatalf("partition %d is at %s and %s", partition, owner, decision.Upstream)
		}
		owners[partition], used[decision.Upstream] = decision.Upstream, true
	}
	if len(used) < 30 {
		t.Errorf("%d of 40 upstreams own partitions, want nearly all", len(used))
	}
}
