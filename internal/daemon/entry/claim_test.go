package entry

import (
	"fmt"
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/once"
	"jacinthfront.dev/jacinthfront/internal/flow/route"
	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// TestClaimsOfPartitionMeet guards against keys of one partition at several
// side processes, each of which would read the partition's whole stream.
func TestClaimsOfPartitionMeet(t *testing.T) {
	policy := route.NewRoundRobin(route.Healthy{})
	target := &service{name: "orders", policy: policy}
	var members []route.Member
	for index := range 40 {
		id := fmt.Sprintf("upstream-%d", index)
		target.specs = append(target.specs, model.UpstreamSpec{ID: id})
		members = append(members, route.Member{ID: id})
	}
	policy.SetMembers(members, 1)
	owners, used := map[int]string{}, map[string]bool{}
	for index := range 2000 {
		claim := digest("organisation", fmt.Sprint(index))
		job := &job{service: target, claim: claim}
		decision, ok := job.chooseByClaim(time.Now())
		if !ok {
			t.Fatal("no upstream")
		}
		partition := once.Partition(claim, once.DefaultPartitions)
		if owner, known := owners[partition]; known && owner != decision.Upstream {
			t.Fatalf("partition %d is at %s and %s", partition, owner, decision.Upstream)
		}
		owners[partition], used[decision.Upstream] = decision.Upstream, true
	}
	if len(used) < 30 {
		t.Errorf("%d of 40 upstreams own partitions, want nearly all", len(used))
	}
}
