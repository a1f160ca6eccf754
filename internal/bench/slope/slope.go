// Package slope measures how the costs of jacinthfront (memory, processor time,
// traffic) grow with one size at a time, fits a line to each cost and extrapolates
// it to the size expected in two years.
package slope

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"
	"time"
)

// repeats is the number of measurements at each size, of which the median is
// taken.
const repeats = 5

// row describes a measurement of one cost, or of several costs at once, as a
// function of one size.
type row struct {
	name string
	// description describes the cost, and unit is its unit.
	description string
	unit        string
	// sizeName is the name of the size that varies.
	sizeName string
	sizes    []float64
	// quickSizes holds the sizes for Config.Quick, which skips rows without them.
	quickSizes []float64
	// target is the size expected in two years, or 0 if the row isn't extrapolated.
	target float64
	// measureOnce is set if a point takes so long that it is measured only once.
	measureOnce bool
	// measure returns the cost at a size.
	measure func(ctx context.Context, size float64) (float64, error)
	// measureAll takes the place of measure where one run yields several costs. It
	// measures all sizes and returns the points of each cost.
	measureAll func(ctx context.Context, sizes []float64) ([]series, error)
}

// series holds the points of one cost. suffix is appended to the row's name; an
// empty unit stands for that of the row.
type series struct {
	suffix string
	unit   string
	points []Point
}

// Result is one measured cost and the line fitted to it.
type Result struct {
	Name        string  `json:"name"`
	Description string  `json:"what"`
	Unit        string  `json:"unit"`
	SizeName    string  `json:"size"`
	Points      []Point `json:"points"`
	Line        Line    `json:"line"`
	Target      float64 `json:"target,omitempty"`
	// AtTarget is the line's value at Target.
	AtTarget float64 `json:"at-target,omitempty"`
	// Took is how long the row's measurement took.
	Took string `json:"took"`
}

// Config selects what Run measures.
type Config struct {
	// NamePrefix selects the rows whose names begin with it; empty selects all.
	NamePrefix string
	// Quick measures only the rows that have quick sizes, at these sizes.
	Quick bool
	// Progress receives a line for each Result; nil means none.
	Progress io.Writer
}

// rows holds the rows that the files of this package register.
var rows []row

func register(added ...row) { rows = append(rows, added...) }

// Names returns the sorted names of the rows.
func Names() []string {
	names := make([]string, 0, len(rows))
	for _, row := range rows {
		names = append(names, row.name)
	}
	slices.Sort(names)
	return names
}

// Run measures the selected rows.
func Run(ctx context.Context, config Config) ([]Result, error) {
	if config.Progress == nil {
		config.Progress = io.Discard
	}
	defer builtBinary.remove()
	var results []Result
	for _, row := range rows {
		sizes := row.sizes
		if config.Quick {
			sizes, row.measureOnce = row.quickSizes, true
		}
		if !strings.HasPrefix(row.name, config.NamePrefix) || len(sizes) == 0 {
			continue
		}
		if ctx.Err() != nil {
			return results, ctx.Err()
		}
		measured, err := row.run(ctx, sizes, config)
		if err != nil {
			return results, fmt.Errorf("row %s: %w", row.name, err)
		}
		results = append(results, measured...)
		debug.FreeOSMemory()
	}
	if len(results) == 0 {
		return nil, fmt.Errorf("no row begins with %q; the rows are %s", config.NamePrefix, strings.Join(Names(), ", "))
	}
	return results, nil
}

func (row row) run(ctx context.Context, sizes []float64, config Config) ([]Result, error) {
	started := time.Now()
	measureAll := row.measureAll
	if measureAll == nil {
		measureAll = row.measureEach
	}
	measured, err := measureAll(ctx, sizes)
	if err != nil {
		return nil, err
	}
	var results []Result
	for _, series := range measured {
		result := Result{
			Name: row.name + series.suffix, Description: row.description, Unit: row.unit, SizeName: row.sizeName,
			Points: series.points, Line: Fit(series.points), Target: row.target,
			Took: time.Since(started).Round(time.Millisecond).String(),
		}
		if series.unit != "" {
			result.Unit = series.unit
		}
		if row.target != 0 {
			result.AtTarget = result.Line.At(row.target)
		}
		_, _ = fmt.Fprintf(config.Progress, "%s: %v, slope %.6g, intercept %.6g, spread %.3g\n",
			result.Name, result.Points, result.Line.Slope, result.Line.Intercept, result.Line.ResidualStdDev)
		results = append(results, result)
	}
	return results, nil
}

// measureEach calls measure at each size and returns the medians.
func (row row) measureEach(ctx context.Context, sizes []float64) ([]series, error) {
	count := repeats
	if row.measureOnce {
		count = 1
	}
	var points []Point
	for _, size := range sizes {
		values := make([]float64, 0, count)
		for range count {
			value, err := row.measure(ctx, size)
			if err != nil {
				return nil, fmt.Errorf("%s = %v: %w", row.sizeName, size, err)
			}
			values = append(values, value)
		}
		points = append(points, Point{size, median(values)})
	}
	return []series{{points: points}}, nil
}
