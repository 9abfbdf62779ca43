package slo_test

import (
	"encoding/json"
	"encoding/xml"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/slo"
)

func TestSLO(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slo")
}

var start = time.Unix(1_800_000_000, 0)

func observation(first time.Duration, gaps, inTarget int) slo.Observation {
	return slo.Observation{
		Organisation: "clip-hire", Model: "inspect-lm", Outcome: slo.Completed,
		FirstToken: first, Delivered: true, Gaps: gaps, GapsInTarget: inTarget,
	}
}

// window returns window i of the only series.
func window(t *slo.Tracker, now time.Time, i int) slo.Window {
	r := t.Report(now)
	ExpectWithOffset(1, r.Series).To(HaveLen(1))
	return r.Series[0].Windows[i]
}

var _ = Describe("Tracker", func() {
	It("computes attainment, burn rate and budget of both targets", func() {
		t := slo.New(slo.Config{})
		for i := range 100 {
			first := 950 * time.Millisecond
			if i < 10 {
				first++
			}
			t.Observe(start, observation(first, 100, 98))
		}
		w := window(t, start, 0)
		Expect(w.Requests).To(BeEquivalentTo(100))
		Expect(w.FirstToken.Attainment).To(BeNumerically("~", 0.9))
		Expect(w.FirstToken.BurnRate).To(BeNumerically("~", 2))
		Expect(w.FirstToken.BudgetLeft).To(BeNumerically("~", -1))
		Expect(w.InterToken.BurnRate).To(BeNumerically("~", 0.4))
		Expect(w.MaxBurnRate()).To(Equal(w.FirstToken.BurnRate))
	})

	DescribeTable("counts a failure as a miss and a refusal as neither met nor missed",
		func(o slo.Observation, want slo.Counts) {
			t := slo.New(slo.Config{})
			o.Organisation = "clip-hire"
			t.Observe(start, o)
			if want == (slo.Counts{}) {
				Expect(t.Report(start).Series).To(BeEmpty())
				return
			}
			Expect(window(t, start, 0).Counts).To(Equal(want))
		},
		Entry("completed", slo.Observation{Outcome: slo.Completed, Gaps: 3, GapsInTarget: 2},
			slo.Counts{Requests: 1, FirstInTarget: 1, Gaps: 3, GapsInTarget: 2}),
		Entry("late", slo.Observation{Outcome: slo.Completed, FirstToken: time.Second}, slo.Counts{Requests: 1}),
		Entry("failed", slo.Observation{Outcome: slo.Failed, Gaps: 1, GapsInTarget: 1},
			slo.Counts{Requests: 1, Failed: 1, Gaps: 1, GapsInTarget: 1}),
		Entry("refused", slo.Observation{Outcome: slo.Refused}, slo.Counts{Refused: 1}),
		Entry("cancelled early", slo.Observation{Outcome: slo.Cancelled}, slo.Counts{}),
		Entry("cancelled after a late wait", slo.Observation{Outcome: slo.Cancelled, FirstToken: time.Second}, slo.Counts{Requests: 1}),
		Entry("cancelled while reading", slo.Observation{Outcome: slo.Cancelled, Delivered: true}, slo.Counts{Requests: 1, FirstInTarget: 1}),
		Entry("more met gaps than gaps", slo.Observation{Outcome: slo.Completed, Gaps: 1, GapsInTarget: 9},
			slo.Counts{Requests: 1, FirstInTarget: 1, Gaps: 1, GapsInTarget: 1}),
	)

	It("expires an observation after 1 to 1.125 times the length of each window", func() {
		t := slo.New(slo.Config{})
		t.Observe(start, observation(0, 0, 0))
		for i, length := range t.Config().Windows {
			Expect(window(t, start.Add(length-time.Nanosecond), i).Requests).To(BeEquivalentTo(1))
			if i < 3 {
				Expect(window(t, start.Add(length+length/8), i).Requests).To(BeZero())
			}
		}
		Expect(t.Report(start.Add(82 * time.Hour)).Series).To(BeEmpty())
	})

	It("matches a full list of observations made at random times", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		t := slo.New(slo.Config{Windows: []time.Duration{80 * time.Second}})
		now := start
		var at []time.Time
		for range 5_000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(3*time.Second)))
			t.Observe(now, observation(0, 0, 0))
			at = append(at, now)
			oldest := now.Truncate(10 * time.Second).Add(-80 * time.Second)
			want := 0
			for i := len(at) - 1; i >= 0 && !at[i].Before(oldest); i-- {
				want++
			}
			Expect(window(t, now, 0).Requests).To(BeEquivalentTo(want))
		}
	})

	It("keeps counting after the clock was set back", func() {
		t := slo.New(slo.Config{})
		t.Observe(start.Add(1000*time.Hour), observation(0, 0, 0))
		t.Observe(start, observation(0, 0, 0))
		Expect(window(t, start, 3).Requests).To(BeEquivalentTo(1))
	})

	It("limits the number of series and evicts idle ones", func() {
		t := slo.New(slo.Config{MaxSeries: 3})
		observe := func(now time.Time, organisation string) {
			t.Observe(now, slo.Observation{Organisation: ident.Organisation(organisation), Outcome: slo.Completed})
		}
		names := func(now time.Time) []string {
			var out []string
			for _, s := range t.Report(now).Series {
				out = append(out, string(s.Organisation))
			}
			return out
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			observe(start, name)
		}
		Expect(names(start)).To(Equal([]string{slo.Other, "a", "b"}))
		later := start.Add(100 * time.Hour)
		observe(later, "c")
		Expect(names(later)).To(Equal([]string{"c"}))
	})

	It("replaces invalid settings by defaults", func() {
		c := slo.New(slo.Config{Objective: 1, Buckets: -1, Windows: []time.Duration{0, time.Hour, time.Minute}}).Config()
		Expect(c.Objective).To(Equal(slo.DefaultObjective))
		Expect(c.Buckets).To(Equal(slo.DefaultBuckets))
		Expect(c.Windows).To(Equal([]time.Duration{time.Minute, time.Hour}))
	})
})

// fleet returns the reports of several hosts and the report of one host that saw
// all observations.
func fleet() (parts []slo.Report, whole slo.Report) {
	rng := rand.New(rand.NewPCG(3, 4))
	hosts := []*slo.Tracker{slo.New(slo.Config{}), slo.New(slo.Config{}), slo.New(slo.Config{})}
	all := slo.New(slo.Config{})
	now := start
	for range 1500 {
		now = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
		o := observation(time.Duration(rng.IntN(1000))*time.Millisecond, 20, 15+rng.IntN(6))
		o.Organisation = ident.Organisation(fmt.Sprintf("org-%d", rng.IntN(40)))
		hosts[rng.IntN(len(hosts))].Observe(now, o)
		all.Observe(now, o)
	}
	for _, h := range hosts {
		parts = append(parts, h.Report(now))
	}
	return parts, all.Report(now)
}

var _ = Describe("Report", func() {
	parts, whole := fleet()

	It("merges to the counts of a single host, in any order and through JSON", func() {
		whole.Hosts = len(parts)
		Expect(slo.Merge(parts...)).To(Equal(whole))
		var sent slo.Report
		body, err := json.Marshal(parts[0].Compact())
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(body, &sent)).To(Succeed())
		Expect(slo.Merge(parts[2], sent, parts[1])).To(Equal(whole))
	})

	It("refuses to merge reports with different targets or malformed series", func() {
		other := slo.New(slo.Config{Objective: 0.9}).Report(start)
		_, err := slo.Merge(parts[0], other)
		Expect(err).To(MatchError(ContainSubstring("differ")))
		short := parts[0]
		short.Series = []slo.Series{{Organisation: "a"}}
		_, err = slo.Merge(short)
		Expect(err).To(MatchError(ContainSubstring("0 windows")))
		for _, change := range []func(*slo.Report){
			func(r *slo.Report) { r.Windows = nil },
			func(r *slo.Report) { r.Objective = 1 },
		} {
			bad := parts[0]
			change(&bad)
			_, err = slo.Merge(bad)
			Expect(err).To(HaveOccurred())
		}
	})

	It("prints a row for each window of the total and of each series", func() {
		lines := strings.Split(strings.TrimSpace(whole.String()), "\n")
		Expect(lines).To(HaveLen(2 + 4*(1+len(whole.Series))))
		Expect(strings.Fields(lines[2])[:3]).To(Equal([]string{"(all)", "(all)", "5m"}))
		Expect(strings.Fields(lines[5])[2]).To(Equal("3d"))
	})

	It("draws a well-formed plot that stays inside its frame and escapes names", func() {
		whole.Series[0].Organisation = "<&>"
		for _, r := range []slo.Report{whole, {}} {
			var b strings.Builder
			Expect(r.SVG(&b)).To(Succeed())
			Expect(b.String()).To(ContainSubstring(fmt.Sprintf("%d of %d series", min(30, len(r.Series)), len(r.Series))))
			checkFrame(b.String())
		}
	})
})

// checkFrame expects well-formed XML with all rectangles inside the plot.
func checkFrame(svg string) {
	type rectangle struct {
		X      int    `xml:"x,attr"`
		Y      int    `xml:"y,attr"`
		Width  string `xml:"width,attr"`
		Height string `xml:"height,attr"`
	}
	var plot struct {
		Width  int         `xml:"width,attr"`
		Height int         `xml:"height,attr"`
		Rects  []rectangle `xml:"rect"`
	}
	Expect(xml.Unmarshal([]byte(svg), &plot)).To(Succeed())
	for _, r := range plot.Rects[1:] {
		width, err := strconv.Atoi(r.Width)
		Expect(err).NotTo(HaveOccurred())
		height, err := strconv.Atoi(r.Height)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.X + width).To(BeNumerically("<=", plot.Width))
		Expect(r.Y + height).To(BeNumerically("<=", plot.Height))
	}
}
