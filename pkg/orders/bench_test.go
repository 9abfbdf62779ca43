package orders_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/orders"
)

// BenchmarkTick measures the cost to an owner of one tick with a report from each
// engine. At the target scale a pool has 17 engines and a host owns less than one pool
// on average.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{17, 170, 1700} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			p := newPool(engines/2, engines-engines/2)
			h := p.host("a")
			h.SetOwned(p.now, true)
			h.SetPlan(orders.Plan{Version: "v2"})
			h.run(4 * time.Second)
			for b.Loop() {
				p.now = p.now.Add(tick)
				h.Contact(p.now)
				for _, e := range p.engines {
					e.report.Sequence++
					h.Report(p.now, e.report)
				}
				h.SetDemand(p.now, orders.Demand{Model: "m", PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 100})
				for _, e := range h.Tick(p.now) {
					h.send(e)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(engines), "ns/engine")
		})
	}
}
