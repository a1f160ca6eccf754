package slope

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestFit guards against a wrong fit, which would falsify every extrapolated cost.
func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []Point
		want   Line
	}{
		{"exact", []Point{{1, 5}, {2, 7}, {3, 9}, {10, 23}}, Line{Slope: 2, Intercept: 3}},
		{"flat", []Point{{1, 4}, {5, 4}, {9, 4}}, Line{Intercept: 4}},
		{"residuals of 1", []Point{{-1, 1}, {-1, -1}, {1, 1}, {1, -1}}, Line{ResidualStdDev: 1.4142135623730951}},
		{"one size", []Point{{3, 6}, {3, 8}}, Line{Intercept: 7, ResidualStdDev: 1.4142135623730951}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, Fit(test.points), cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
