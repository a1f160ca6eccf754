package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/daemon/admin"
)

func TestStatusLine(t *testing.T) {
	tests := []struct {
		name   string
		status admin.InstanceStatus
		want   string
	}{
		{
			name: "entry",
			status: admin.InstanceStatus{
				Instance: "entry-1", Role: "entry", Version: 7, ConfirmedAge: "40ms",
				Detail: []byte(`{"ready":true,"counters":{"fault-overloaded":2,"fault-rate-exceeded":3,"retries":9}}`),
			},
			want: "entry-1\tentry\tready\t7\t40ms ago\t-\t-\t-\t-\t5",
		},
		{
			name: "not ready",
			status: admin.InstanceStatus{
				Instance: "entry-1", Role: "entry", ConfirmedAge: "9s", Detail: []byte(`{"ready":false,"counters":{}}`),
			},
			want: "entry-1\tentry\tnot ready\t0\t9s ago\t-\t-\t-\t-\t0",
		},
		{
			name: "side process",
			status: admin.InstanceStatus{
				Instance: "side-1", Role: "side", Version: 7, ConfirmedAge: "1s",
				Detail: []byte(`{"upstream":"advisor-01","running":3,"queued":2,"slots":8,"loaded":["a1","a2"],"shards":[{"index":0}]}`),
			},
			want: "side-1\tside\tready\t7\t1s ago\t3/8\t2\t2\t1\t-",
		},
		{
			name:   "leaving",
			status: admin.InstanceStatus{Instance: "side-1", Role: "side", Draining: true, ConfirmedAge: "1s"},
			want:   "side-1\tside\tleaving\t0\t1s ago\t-\t-\t-\t-\t0",
		},
		{
			name:   "no answer",
			status: admin.InstanceStatus{Instance: "side-1", Role: "side", Error: "refused"},
			want:   "side-1\tside\tno answer: refused",
		},
		{
			name:   "unreadable",
			status: admin.InstanceStatus{Instance: "side-1", Role: "side", Detail: []byte("[]")},
			want:   "side-1\tside\tunreadable: json: cannot unmarshal array into Go value of type main.statusDetail",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, statusLine(test.status)); diff != "" {
				t.Errorf("line (-want +got):\n%s", diff)
			}
		})
	}
}
