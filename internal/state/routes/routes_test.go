package routes

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func newTable() *Table {
	return New(Config{
		Version: 7,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Services: []WeightedService{{"advisor", 1}}, EventGapGoal: 300 * time.Millisecond},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Services: []WeightedService{{"advisor", 9}, {"counter", 1}}},
		},
		Services:      []Service{{Name: "advisor", Engine: &Engine{}}, {Name: "counter"}},
		Organisations: []Organisation{{Name: "hule", Keys: []string{"k1", "k2"}, RateInTokens: true, DefaultTokenCost: 200}},
	})
}

func TestMatch(t *testing.T) {
	tests := []struct {
		name, host, path, want string
	}{
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"shorter prefix", "a.example", "/x/z", "short"},
		{"prefix ends with a slash", "a.example", "/xy", ""},
		{"other host", "b.example", "/x/z", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if route, ok := newTable().Match(test.host, test.path); ok {
				got = route.Name
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("route (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAuthenticate(t *testing.T) {
	table := newTable()
	if organisation, ok := table.Authenticate("k2"); !ok || organisation.Name != "hule" {
		t.Errorf("k2 gives %v %v", organisation, ok)
	}
	for _, key := range []string{"", "k3"} {
		if _, ok := table.Authenticate(key); ok {
			t.Errorf("key %q is accepted", key)
		}
	}
}

func TestPickService(t *testing.T) {
	route, _ := newTable().Match("a.example", "/x/y/")
	got := map[string]int{}
	for i := range 100 {
		got[route.PickService(float64(i)/100)]++
	}
	if diff := cmp.Diff(map[string]int{"advisor": 90, "counter": 10}, got); diff != "" {
		t.Errorf("services (-want +got):\n%s", diff)
	}
}

func TestCost(t *testing.T) {
	organisation := newTable().Organisations()[0]
	got := []float64{organisation.Cost(1460), organisation.Cost(0), (&Organisation{}).Cost(1460)}
	if diff := cmp.Diff([]float64{1460, 200, 1}, got); diff != "" {
		t.Errorf("costs (-want +got):\n%s", diff)
	}
}

func TestShortestEventGapGoal(t *testing.T) {
	table := newTable()
	got := []time.Duration{table.ShortestEventGapGoal("advisor"), table.ShortestEventGapGoal("counter")}
	if diff := cmp.Diff([]time.Duration{300 * time.Millisecond, 0}, got); diff != "" {
		t.Errorf("gaps (-want +got):\n%s", diff)
	}
}
