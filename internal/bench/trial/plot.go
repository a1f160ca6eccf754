package trial

import (
	"fmt"

	"io"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 14 * vg.Inch
	plotHeight = 12 * vg.Inch
	barWidth   = 12
	labelAngle = 0.3
)

// plottedMeasures are the plots of a file, from top to bottom.
var plottedMeasures = []struct {
	title string
	value func(result *Result) float64
}{
	{"load stall, ms per model request", func(result *Result) float64 { return result.Measures.LoadStall }},
	{"tokens per engine step", func(result *Result) float64 { return result.Measures.TokensPerStep }},
	{"worst-served organisation, p95 first token, ms", func(result *Result) float64 { return result.Measures.WorstP95 }},
	{"wrongful refusals", func(result *Result) float64 { return float64(result.Measures.WrongfulRefusals) }},
}

// WritePlot writes a file with one bar chart for each of the four measures. The
// file's extension selects SVG or PNG.
func WritePlot(results []Result, file string) error {
	var canvas interface {
		vg.CanvasSizer
		io.WriterTo
	}
	switch ending := filepath.Ext(file); ending {
	case ".svg":
		canvas = vgsvg.New(plotWidth, plotHeight)
	case ".png":
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}
	default:
		return fmt.Errorf("plot file ends in %q; write .svg or .png", ending)
	}
	plots := make([][]*plot.Plot, 0, len(plottedMeasures))
	for _, measure := range plottedMeasures {
		drawn, err := barChart(results, measure.title, measure.value)
		if err != nil {
			return err
		}
		plots = append(plots, []*plot.Plot{drawn})
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Points(8), PadX: vg.Points(8)}
	for row, canvases := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[row][0].Draw(canvases[0])
	}
	return writeFile(file, canvas)
}

func writeFile(file string, drawn io.WriterTo) error {
	target, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := drawn.WriteTo(target); err != nil {
		_ = target.Close()
		return err
	}
	return target.Close()
}

// barChart returns the plot of one measure with a bar for each scenario and
// policy.
func barChart(results []Result, title string, value func(*Result) float64) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = title
	drawn.Legend.Top = true
	drawn.X.Tick.Label.Rotation = labelAngle
	for index, policy := range []string{NaivePolicy, DefaultPolicy} {
		var values plotter.Values
		var names []string
		for position := range results {
			if result := &results[position]; result.Policy == policy {
				values, names = append(values, value(result)), append(names, result.Scenario)
			}
		}
		if len(values) == 0 {
			continue
		}
		chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		chart.Color = plotutil.Color(index)
		chart.Offset = vg.Points(barWidth * (float64(index) - 0.5))
		drawn.Add(chart)
		drawn.Legend.Add(policy, chart)
		drawn.NominalX(names...)
	}
	return drawn, nil
}
