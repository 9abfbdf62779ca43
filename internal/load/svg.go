package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
)

// Size of a plot and of its margins, in pixels.
const (
	plotWidth         = 720
	plotHeight        = 360
	marginLeft        = 60
	marginTop         = 30
	marginRightBottom = 40
)

// colours is a palette that people with common colour blindness can tell apart.
var colours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000"}

type point struct{ x, y float64 }

type line struct {
	name   string
	points []point
}

// plot is a line chart with linear axes that start at zero.
type plot struct {
	title, xLabel, yLabel string
	xMax, yMax            float64
	lines                 []line
	marker                float64 // x of a dashed vertical line; 0 for none
}

func (p plot) x(v float64) float64 {
	return marginLeft + v/p.xMax*(plotWidth-marginLeft-marginRightBottom)
}

func (p plot) y(v float64) float64 {
	return plotHeight - marginRightBottom - v/p.yMax*(plotHeight-marginTop-marginRightBottom)
}

// write writes the plot as SVG.
func (p plot) write(out io.Writer) error {
	if p.xMax <= 0 {
		p.xMax = 1
	}
	if p.yMax <= 0 {
		p.yMax = 1
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="18" font-size="14">%s</text>`+"\n", marginLeft, escape(p.title))
	for i := range 5 {
		f := float64(i) / 4
		fmt.Fprintf(&b, `<path d="M%.1f %.1fH%d" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.3g</text>`+"\n",
			p.x(0), p.y(f*p.yMax), plotWidth-marginRightBottom, marginLeft-6, p.y(f*p.yMax)+4, f*p.yMax)
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" text-anchor="middle">%.3g</text>`+"\n", p.x(f*p.xMax), plotHeight-marginRightBottom+16, f*p.xMax)
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d">%s</text><text x="8" y="%d">%s</text>`+"\n",
		plotWidth/2, plotHeight-6, escape(p.xLabel), marginTop-2, escape(p.yLabel))
	if p.marker > 0 && p.marker < p.xMax {
		fmt.Fprintf(&b, `<path d="M%.1f %dV%d" stroke="#888" stroke-dasharray="4"/>`+"\n", p.x(p.marker), marginTop, plotHeight-marginRightBottom)
	}
	for i, l := range p.lines {
		p.writeLine(&b, l, i)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(out, b.String())
	return err
}

func (p plot) writeLine(b *strings.Builder, l line, i int) {
	colour := colours[i%len(colours)]
	var path strings.Builder
	for _, pt := range l.points {
		fmt.Fprintf(&path, "%.1f,%.1f ", p.x(min(pt.x, p.xMax)), p.y(min(pt.y, p.yMax)))
	}
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", colour, path.String())
	fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotWidth-170, marginTop+14*(i+1), colour, escape(l.name))
}

func escape(s string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", ">", "&gt;").Replace(s)
}

// WriteTimeline plots the completions per second by arrival time.
func WriteTimeline(out io.Writer, s Summary, results []Result, t Targets) error {
	seconds := int(s.Duration/time.Second) + 1
	names := []string{"offered", "good", "denied", "broken"}
	counts := make([][]float64, len(names))
	for i := range counts {
		counts[i] = make([]float64, seconds)
	}
	top := 0.0
	for _, r := range results {
		at := int(time.Duration(float64(r.Arrival.At)*s.Scale) / time.Second)
		if r.Arrival.Call != nil || at >= seconds {
			continue
		}
		for i, in := range []bool{true, r.good(t), r.Outcome == record.Denied, r.Outcome == record.Broken} {
			if in {
				counts[i][at]++
			}
		}
		top = max(top, counts[0][at])
	}
	p := plot{title: "Completions of " + s.Policy, xLabel: "seconds", yLabel: "requests/s", xMax: float64(seconds), yMax: top}
	for i, name := range names {
		l := line{name: name}
		for at, n := range counts[i] {
			l.points = append(l.points, point{float64(at), n})
		}
		p.lines = append(p.lines, l)
	}
	return p.write(out)
}

// WriteFirstToken plots the distribution of the time to the first token of each
// organisation, with the target as a dashed line.
func WriteFirstToken(out io.Writer, w Workload, results []Result, t Targets) error {
	p := plot{title: "Time to first token", xLabel: "seconds", yLabel: "share of answers", yMax: 1}
	p.marker = t.FirstToken.Seconds()
	p.xMax = 2 * p.marker
	for i, o := range w.Organisations {
		var times []time.Duration
		for _, r := range results {
			if r.Arrival.Call == nil && r.Arrival.Organisation == i && r.Tokens > 0 {
				times = append(times, r.First)
			}
		}
		slices.Sort(times)
		l := line{name: string(o.Name)}
		for n, d := range times {
			l.points = append(l.points, point{d.Seconds(), float64(n+1) / float64(len(times))})
		}
		p.lines = append(p.lines, l)
	}
	return p.write(out)
}

// WriteShares plots for each organisation the served share of its demand.
func WriteShares(out io.Writer, s Summary) error {
	p := plot{title: "Served share of demand", xLabel: "organisation", yLabel: "share", xMax: float64(len(s.Organisations)), yMax: 1}
	for i, o := range s.Organisations {
		x := float64(i)
		// Each bar is drawn as a closed outline.
		bar := []point{{x + 0.2, 0}, {x + 0.2, o.Share}, {x + 0.8, o.Share}, {x + 0.8, 0}, {x + 0.2, 0}}
		p.lines = append(p.lines, line{name: string(o.Name), points: bar})
	}
	return p.write(out)
}
