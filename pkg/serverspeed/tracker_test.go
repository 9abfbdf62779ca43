package serverspeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
	"github.com/mulberrystream/mulberrystream/pkg/serverspeed"
)

func TestServerSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "server speed")
}

var class = serverspeed.Class{Kind: serverspeed.Token, Name: "lm"}

func process(i int) serverlimit.Process {
	return serverlimit.Process{ID: ident.BackendID(fmt.Sprintf("e%03d", i)), StartedAt: 1}
}

// hosts measure servers and report to each other once a second, half a second late.
type hosts struct {
	now      time.Time
	rnd      *rand.Rand
	trackers []*serverspeed.Tracker
	sent     int
}

func newHosts(n int) *hosts {
	h := &hosts{now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(1, 1))}
	for range n {
		h.trackers = append(h.trackers, serverspeed.New())
	}
	return h
}

// run measures perSecond calls over all hosts at servers of these factors.
func (h *hosts) run(d time.Duration, perSecond int, noise float64, factor []float64) {
	for end := h.now.Add(d); h.now.Before(end); {
		for range perSecond {
			h.now = h.now.Add(time.Second / time.Duration(perSecond))
			i := h.rnd.IntN(len(factor))
			seconds := 0.02 * factor[i] * math.Exp(noise*h.rnd.NormFloat64())
			h.trackers[h.rnd.IntN(len(h.trackers))].Record(h.now, process(i), class, seconds)
		}
		for _, from := range h.trackers {
			from.Tick(h.now)
			r, ok := from.Report(h.now)
			if !ok {
				continue
			}
			h.sent++
			for _, to := range h.trackers {
				if to != from {
					to.Apply(h.now, h.now.Add(-500*time.Millisecond), r)
				}
			}
		}
	}
}

// worst returns the largest ratio between a known factor and the true one, over all hosts.
func (h *hosts) worst(factor []float64) float64 {
	largest := 1.0
	for _, t := range h.trackers {
		for i, f := range factor {
			got, _ := t.Factor(h.now, process(i), serverspeed.Token)
			largest = max(largest, got/f, f/got)
		}
	}
	return largest
}

var _ = Describe("speeds that 77 hosts learn of 140 engines", func() {
	factors := func(f func(i int) float64) []float64 {
		all := make([]float64, 140)
		for i := range all {
			all[i] = f(i)
		}
		return all
	}
	equal := factors(func(int) float64 { return 1 })
	uneven := factors(func(i int) float64 { return 1.1 / (0.6 + float64(i)/139) })

	// Guards against slow engines that most hosts take for typical, since each of them uses an
	// engine once a minute.
	It("follow engines of 0.6 to 1.6 times the speed, in spite of noise", func() {
		h := newHosts(77)
		h.run(60*time.Second, 187, 0.1, uneven)
		GinkgoWriter.Printf("worst %.2f, %.2f reports a second and host\n", h.worst(uneven), float64(h.sent)/60/77)
		Expect(h.worst(uneven)).To(BeNumerically("<", 1.4))
	})

	// Guards against choices that change with noise while all engines are alike.
	DescribeTable("are all typical, and nothing is sent, while engines are equal",
		func(noise float64, most float64) {
			h := newHosts(77)
			h.run(60*time.Second, 187, noise, equal)
			differ := 0
			for _, t := range h.trackers {
				for i := range equal {
					if f, _ := t.Factor(h.now, process(i), serverspeed.Token); f != 1 {
						differ++
					}
				}
			}
			GinkgoWriter.Printf("differ %d, %.2f reports a second and host\n", differ, float64(h.sent)/60/77)
			Expect(float64(differ) / (77 * 140)).To(BeNumerically("<=", most))
		},
		Entry("with little noise", 0.05, 0.0),
		Entry("with as much noise as streams have", 0.1, 0.005),
	)

	// Guards against a slow engine that keeps getting long streams until they miss their deadline.
	It("show an engine that becomes slow within seconds", func() {
		h := newHosts(77)
		h.run(40*time.Second, 187, 0.1, equal)
		slow := factors(func(i int) float64 { return map[bool]float64{true: 2.5, false: 1}[i < 10] })
		h.run(12*time.Second, 187, 0.1, slow)
		seen := 0
		for _, t := range h.trackers {
			for i := range 10 {
				if f, _ := t.Factor(h.now, process(i), serverspeed.Token); f > 1.8 {
					seen++
				}
			}
		}
		Expect(seen).To(BeNumerically(">", 77*10*9/10))
	})

	// Guards against a new process that inherits the speed of the one before it.
	It("start anew with a new process, and forget old measurements", func() {
		t := serverspeed.New()
		now := time.Unix(1000, 0)
		for i := range 80 {
			t.Record(now, process(i%8), class, map[bool]float64{true: 3, false: 1}[i%8 == 0])
		}
		f, supported := t.Factor(now, process(0), serverspeed.Token)
		Expect(f).To(BeNumerically("~", 3, 0.1))
		Expect(supported).To(BeTrue())
		next := serverlimit.Process{ID: process(0).ID, StartedAt: 2}
		f, _ = t.Factor(now, next, serverspeed.Token)
		Expect(f).To(Equal(1.0))
		t.Record(now, next, class, 1)
		t.Apply(now, now, serverspeed.Report{Process: process(0), Kind: serverspeed.Token, Factor: 5, Count: 9})
		f, supported = t.Factor(now, next, serverspeed.Token)
		Expect(f).To(Equal(1.0))
		Expect(supported).To(BeFalse())
		f, supported = t.Factor(now.Add(2*time.Minute), process(1), serverspeed.Token)
		Expect(f).To(Equal(1.0))
		Expect(supported).To(BeFalse())
	})

	// Guards against values of other hosts that make all comparisons fail.
	It("ignore and count reports out of range", func() {
		t := serverspeed.New()
		now := time.Unix(1000, 0)
		for _, r := range []serverspeed.Report{
			{Kind: serverspeed.Token, Factor: math.NaN(), Count: 5}, {Kind: serverspeed.Token, Factor: math.Inf(1), Count: 5},
			{Kind: serverspeed.Token, Factor: -1, Count: 5}, {Kind: serverspeed.Token, Factor: 1, Count: 0}, {Kind: 9, Factor: 1, Count: 5},
		} {
			Expect(t.Apply(now, now, r)).To(BeFalse())
		}
		Expect(t.Rejected()).To(Equal(uint64(5)))
		t.Record(now, process(0), class, math.NaN())
		_, known := t.Typical(class)
		Expect(known).To(BeFalse())
	})
})
