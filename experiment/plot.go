package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot and gap between its panels, in points.
const (
	plotWidth  = vg.Length(680)
	plotHeight = vg.Length(290)
	plotGap    = vg.Length(28)
)

// writePlot plots the 95th percentile of the most urgent workload's time to first token and
// the fraction of recomputed tokens over the load, with a line for each policy.
func writePlot(name string, d Deployment, groups []group) error {
	urgent := d.Workloads[0].Name
	panels := []struct {
		title, y string
		metric   func(*Result) float64
	}{
		{d.Name + ": " + urgent + ", time to first token, 95%", "seconds", func(r *Result) float64 { return r.Workloads[0].Percentile(95).Seconds() }},
		{d.Name + ": share of context recomputed", "part", (*Result).RecomputedShare},
	}

	row := make([]*plot.Plot, len(panels))

	for i, x := range panels {
		p, err := newPanel(x.title, x.y, groups, x.metric)
		if err != nil {
			return err
		}

		row[i] = p
	}

	return savePlot(name, row)
}

func newPanel(title, y string, groups []group, metric func(*Result) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load, part of capacity without reuse"
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true

	var lines []any

	for _, policy := range Policies() {
		if points := meanPoints(groups, policy, metric); len(points) > 0 {
			lines = append(lines, policy.String(), points)
		}
	}

	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return nil, err
	}

	return p, nil
}

func meanPoints(groups []group, policy Policy, metric func(*Result) float64) plotter.XYs {
	var points plotter.XYs

	for _, g := range groups {
		if g.policy == policy && g.ablation == NoAblation {
			points = append(points, plotter.XY{X: g.load, Y: g.summarise(metric).mean})
		}
	}

	return points
}

// savePlot writes the plots side by side into one file, whose extension selects the format.
func savePlot(name string, row []*plot.Plot) (err error) {
	var (
		canvas vg.CanvasWriterTo
		sized  vg.CanvasSizer
	)

	switch ext := strings.ToLower(filepath.Ext(name)); ext {
	case ".svg":
		c := vgsvg.New(plotWidth, plotHeight)
		canvas, sized = c, c
	case ".png":
		c := vgimg.New(plotWidth, plotHeight)
		canvas, sized = vgimg.PngCanvas{Canvas: c}, c
	default:
		return fmt.Errorf("plot %s: want a name that ends in .svg or .png", name)
	}

	tiles := draw.Tiles{Rows: 1, Cols: len(row), PadX: plotGap}
	for i, c := range plot.Align([][]*plot.Plot{row}, tiles, draw.New(sized))[0] {
		row[i].Draw(c)
	}

	f, err := os.Create(name)
	if err != nil {
		return err
	}

	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()

	_, err = canvas.WriteTo(f)

	return err
}
