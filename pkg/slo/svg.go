package slo

import (
	"cmp"
	"encoding/xml"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Sizes of the plot in pixels.
const (
	svgRows        = 30 // series in the plot
	svgLabel       = 260
	svgLabelLength = 40 // characters
	svgPanel       = 340
	svgGap         = 40
	svgTop         = 70
	svgBar         = 6
	svgRowGap      = 8
	svgMinScale    = 2.0 // lowest maximum of the burn-rate axis
)

var svgColours = []string{"#0b3c5d", "#328cc1", "#d9b310", "#a23b3b"}

// plot is an SVG document under construction with its geometry.
type plot struct {
	strings.Builder
	windows []int64
	scale   float64 // burn rate at the right edge of a panel
	height  int
}

// SVG writes a bar chart of the burn rates with one group for each series and one
// panel for each target. The dashed line marks the burn rate 1, at which the error
// budget lasts exactly as long as its window. The chart has the series with the
// highest burn rates; its title says how many of all series it shows.
func (r Report) SVG(w io.Writer) error {
	shown := r.highestBurnRates(svgRows)
	rowHeight := svgBar*len(r.Windows) + svgRowGap
	p := &plot{windows: r.Windows, scale: svgMinScale, height: svgTop + rowHeight*len(shown) + 30}
	for _, s := range shown {
		for _, x := range s.Windows {
			p.scale = max(p.scale, x.MaxBurnRate())
		}
	}
	width := svgLabel + 2*svgPanel + 2*svgGap
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`,
		width, p.height)
	p.printf(`<rect width="100%%" height="100%%" fill="white"/>`)
	p.text(10, 18, "start", fmt.Sprintf("Burn rate of the error budget, %d hosts, objective %g%%; %d of %d series",
		r.Hosts, 100*r.Objective, len(shown)-1, len(r.Series)))
	p.legend()
	p.axis(svgLabel, fmt.Sprintf("first token within %d ms", r.FirstTokenTarget))
	p.axis(svgLabel+svgPanel+svgGap, fmt.Sprintf("gaps within %d ms", r.InterTokenTarget))
	for i, s := range shown {
		p.row(svgTop+i*rowHeight, s)
	}
	p.printf("</svg>")
	_, err := io.WriteString(w, p.String())
	return err
}

// highestBurnRates returns the total and the n series with the highest burn rates.
func (r Report) highestBurnRates(n int) []Series {
	peak := func(s Series) float64 {
		out := 0.0
		for _, w := range s.Windows {
			out = max(out, w.MaxBurnRate())
		}
		return out
	}
	sorted := slices.Clone(r.Series)
	slices.SortStableFunc(sorted, func(a, b Series) int { return cmp.Compare(peak(b), peak(a)) })
	total := Series{Organisation: "(all)", Model: "(all)", Windows: r.Total}
	return append([]Series{total}, sorted[:min(n, len(sorted))]...)
}

func (p *plot) printf(format string, args ...any) {
	fmt.Fprintf(p, format+"\n", args...)
}

func (p *plot) text(x, y int, anchor, s string) {
	p.printf(`<text x="%d" y="%d" text-anchor="%s">%s</text>`, x, y, anchor, escape(s))
}

func escape(s string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(s))
	return b.String()
}

func (p *plot) legend() {
	for i, seconds := range p.windows {
		x := 10 + 60*i
		p.printf(`<rect x="%d" y="28" width="10" height="10" fill="%s"/>`, x, colour(i))
		p.text(x+14, 37, "start", windowName(seconds))
	}
}

func colour(i int) string { return svgColours[i%len(svgColours)] }

func (p *plot) axis(x int, title string) {
	p.text(x, svgTop-22, "start", title)
	bottom := p.height - 30
	for i := range 5 {
		value := p.scale * float64(i) / 4
		at := x + p.length(value)
		p.printf(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#dddddd"/>`, at, svgTop-4, at, bottom)
		p.text(at, svgTop-8, "middle", fmt.Sprintf("%.1f", value))
	}
	one := x + p.length(1)
	p.printf(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="black" stroke-dasharray="3,3"/>`,
		one, svgTop-4, one, bottom)
}

func (p *plot) length(burn float64) int {
	return int(burn / p.scale * svgPanel)
}

func (p *plot) row(y int, s Series) {
	p.text(svgLabel-8, y+svgBar*len(p.windows)/2+4, "end", shorten(string(s.Organisation)+" "+string(s.Model)))
	for i, w := range s.Windows {
		p.bar(svgLabel, y+i*svgBar, i, w.FirstToken.BurnRate)
		p.bar(svgLabel+svgPanel+svgGap, y+i*svgBar, i, w.InterToken.BurnRate)
	}
}

// shorten truncates a label to the width of its column.
func shorten(s string) string {
	r := []rune(s)
	if len(r) <= svgLabelLength {
		return s
	}
	return string(r[:svgLabelLength-1]) + "…"
}

func (p *plot) bar(x, y, i int, burn float64) {
	p.printf(`<rect x="%d" y="%d" width="%d" height="%d" fill="%s"/>`,
		x, y, max(p.length(burn), 1), svgBar-1, colour(i))
}
