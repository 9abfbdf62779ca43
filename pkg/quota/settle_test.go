package quota_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/quota"
)

var _ = Describe("an organisation that uses less than it states, on 69 hosts", func() {
	const (
		between  = 860 * time.Millisecond // reports of one host, as in a fleet of this size
		runs     = 4 * time.Second        // a stream
		used     = 5300.0
		small    = 200.0
		smallPer = 5 // one of so many requests is small
	)
	type ended struct {
		at     time.Time
		host   *host
		unused float64
	}
	type result struct{ large, small, largeAsked, smallAsked float64 }
	var (
		high    = quota.Limit{Rate: 80_000, Burst: 288_000}
		low     = quota.Limit{Rate: 34_274, Burst: 123_385}
		running []ended
	)
	start := func() *fleet {
		f := newFleet(69, high, 1)
		for _, h := range f.hosts {
			h.limiter.SetFleet(quota.SilentAfter(between), 0)
		}
		running = nil
		return f
	}
	// ask sends streams at a rate by what they use, with small requests in between.
	ask := func(f *fleet, d time.Duration, usedRate float64) (r result) {
		due := 0.0
		for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
			for i, from := range f.hosts {
				regular := (f.now.Sub(time.Unix(1000, 0))+time.Duration(i)*37*step)%between < step
				// Aggregators relay what is admitted while few tokens are left.
				relayed := f.now.UnixMilli()%interval.Milliseconds() == 0 && from.limiter.ReportDue(f.now)
				if !regular && !relayed {
					continue
				}
				from.limiter.MarkReported()
				report := from.limiter.Used()
				for _, to := range f.hosts {
					if from != to && from.side == to.side {
						to.limiter.ApplyReport(f.now, from.report(f.now, report))
					}
				}
			}
			for ; len(running) > 0 && !running[0].at.After(f.now); running = running[1:] {
				running[0].host.limiter.Settle(f.now, org, running[0].unused)
			}
			for due += usedRate / used * step.Seconds(); due > 0; due-- {
				h := f.hosts[f.rnd.IntN(len(f.hosts))]
				stated := 8000 + 1000*f.rnd.Float64()
				r.largeAsked++
				if ok, _ := h.limiter.Take(f.now, org, stated); ok {
					r.large++
					f.grants = append(f.grants, grant{f.now, stated})
					running = append(running, ended{f.now.Add(runs), h, stated - used})
				}
				if f.rnd.IntN(smallPer) > 0 {
					continue
				}
				r.smallAsked++
				if ok, _ := h.limiter.Take(f.now, org, small); ok {
					r.small++
					f.grants = append(f.grants, grant{f.now, small})
				}
			}
		}
		return r
	}
	lower := func(f *fleet) {
		for _, h := range f.hosts {
			h.limiter.SetLimit(f.now, org, low)
		}
		f.grants = nil
	}

	// Guards against refusals of an organisation that is inside its rate by what it uses, and
	// against one whose streams leave no tokens for its small requests: with a burst of more
	// than twice the rate, a debt was not allowed.
	It("is admitted inside its rate after the limit was lowered", func() {
		f := start()
		ask(f, 20*time.Second, 0)
		ask(f, 20*time.Second, high.Rate)
		lower(f)
		ask(f, 10*time.Second, 26_000)
		r := ask(f, 60*time.Second, 26_000)
		GinkgoWriter.Printf("large %.0f of %.0f, small %.0f of %.0f\n", r.large, r.largeAsked, r.small, r.smallAsked)
		Expect(r.small).To(BeNumerically(">=", 0.99*r.smallAsked))
		Expect(r.large).To(BeNumerically(">=", 0.95*r.largeAsked))
		Expect(f.maxAdmitted(window)).To(BeNumerically("<", bound(low)))
	})

	// Guards against unused tokens that are given back beside the tolerance of partitions.
	DescribeTable("stays within the bound by what it states in a partition into",
		func(parts int, idle time.Duration) {
			f := start()
			lower(f)
			ask(f, 20*time.Second, 0)
			ask(f, 30*time.Second, 4*low.Rate)
			ask(f, idle, 0)
			for i, h := range f.hosts {
				h.side = i % parts
			}
			ask(f, 20*time.Second, 4*low.Rate)
			GinkgoWriter.Printf("at most %.0f in a window, bound %.0f\n", f.maxAdmitted(window), bound(low))
			Expect(f.maxAdmitted(window)).To(BeNumerically("<", bound(low)))
		},
		Entry("2 parts", 2, 0*time.Second),
		Entry("3 parts", 3, 0*time.Second),
		Entry("4 parts", 4, 0*time.Second),
		Entry("2 parts, with a full bucket", 2, 20*time.Second),
		Entry("3 parts, with a full bucket", 3, 20*time.Second),
	)
})

var _ = Describe("unused tokens of one host", func() {
	// Guards against tokens that are dropped whenever a new version of the configuration is read.
	It("are kept when the same limit is set again", func() {
		now := time.Unix(1000, 0)
		cfg := quota.DefaultConfig()
		cfg.Tolerance = quota.Tolerance{Window: window, Overage: overage, Slack: slack}
		l := quota.New(cfg, now)
		limit := quota.Limit{Rate: 34_274, Burst: 123_385}
		l.SetLimit(now, org, limit)
		now = now.Add(time.Minute)
		ok, _ := l.Take(now, org, 8500)
		Expect(ok).To(BeTrue())
		l.State(now.Add(10*time.Millisecond), org)
		l.Settle(now.Add(20*time.Millisecond), org, 3200)
		l.SetLimit(now.Add(30*time.Millisecond), org, limit)
		l.State(now.Add(3*time.Second), org)
		Expect(l.Used()[org]).To(Equal(int64(5300)))
	})
})
