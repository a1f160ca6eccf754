// Package slope measures how the cost of jacinthfront grows with one size at a
// time, and fits a line to each cost.
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

// repeats is the number of measurements of each size; the median counts.
const repeats = 5

// row is one cost as a function of one size.
type row struct {
	name string
	// what describes the cost, unit its unit.
	what string
	unit string
	// size names the size that varies.
	size  string
	sizes []float64
	// quick holds the sizes of a smoke test; rows without them are left out of it.
	quick []float64
	// target is the size in two years, or 0 where the row is not extrapolated.
	target float64
	// once marks rows whose points take long and are measured one time each.
	once    bool
	measure func(ctx context.Context, size float64) (float64, error)
	// all measures all sizes at once and returns a line's points for each cost;
	// it takes the place of measure where several costs come from one run.
	all func(ctx context.Context, sizes []float64) ([]series, error)
}

// series is one cost that a row with several of them measured.
type series struct {
	suffix string
	unit   string
	points []Point
}

// Result is a measured row.
type Result struct {
	Name     string  `json:"name"`
	What     string  `json:"what"`
	Unit     string  `json:"unit"`
	SizeName string  `json:"size"`
	Points   []Point `json:"points"`
	Line     Line    `json:"line"`
	Target   float64 `json:"target,omitempty"`
	// AtTarget is the line's value at the target.
	AtTarget float64 `json:"at-target,omitempty"`
	Took     string  `json:"took"`
}

// Config selects what Run measures.
type Config struct {
	// NamePrefix selects the rows whose names begin with it; empty selects all.
	NamePrefix string
	// Quick measures a few rows at small sizes.
	Quick bool
	// Progress receives a line for each point; nil means none.
	Progress io.Writer
}

// rows holds what the files of this package register.
var rows []row

func register(added ...row) { rows = append(rows, added...) }

// Names returns the names of the rows.
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
	defer product.remove()
	var results []Result
	for _, row := range rows {
		sizes := row.sizes
		if config.Quick {
			sizes, row.once = row.quick, true
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
	all := row.all
	if all == nil {
		all = row.each
	}
	measured, err := all(ctx, sizes)
	if err != nil {
		return nil, err
	}
	var results []Result
	for _, series := range measured {
		result := Result{
			Name: row.name + series.suffix, What: row.what, Unit: row.unit, SizeName: row.size,
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

// each measures one cost at all sizes.
func (row row) each(ctx context.Context, sizes []float64) ([]series, error) {
	count := repeats
	if row.once {
		count = 1
	}
	var points []Point
	for _, size := range sizes {
		values := make([]float64, 0, count)
		for range count {
			value, err := row.measure(ctx, size)
			if err != nil {
				return nil, fmt.Errorf("%s = %v: %w", row.size, size, err)
			}
			values = append(values, value)
		}
		points = append(points, Point{size, median(values)})
	}
	return []series{{points: points}}, nil
}
