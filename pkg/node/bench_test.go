package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/capacity"
)

// BenchmarkStep reports the time and allocations of a step for each kind of event,
// and per host and second the messages, their encoded bytes and the CPU time. It
// varies the number of hosts and engines in the domain and of organisations.
func BenchmarkStep(b *testing.B) {
	target := capacity.TargetDomain()
	for _, hosts := range []int{8, 30, 90} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { measure(b, target.WithHosts(hosts)) })
	}
	for _, engines := range []int{56, 168, 504} {
		s := target.WithHosts(8)
		s.Engines = engines
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) { measure(b, s) })
	}
	for _, organisations := range []int{10, 100, 410} {
		s := target.WithHosts(8)
		s.Organisations = organisations
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { measure(b, s) })
	}
}

func measure(b *testing.B, s capacity.Shape) {
	const warm, settle, window = 25 * time.Second, 10 * time.Second, 5 * time.Second
	for b.Loop() {
		c := capacity.NewCluster(s, 1)
		c.Quiet(true)
		c.Run(warm)
		c.Quiet(false)
		c.Run(settle)
		c.Meter.Reset()
		c.Run(window)
		u := c.Usage(window)
		for _, name := range c.Meter.KindNames() {
			k := c.Meter.Kinds[name]
			b.ReportMetric(k.PerStep(), "us/"+metricUnit(name))
			if k.Sample > 0 {
				b.ReportMetric(k.AllocsPerStep(), "allocs/"+metricUnit(name))
			}
		}
		b.ReportMetric(100*u.Core, "%core/host")
		b.ReportMetric(u.Messages, "messages/host-s")
		b.ReportMetric(u.Bytes, "B/host-s")
	}
	b.ReportMetric(0, "ns/op")
}

// metricUnit replaces spaces, which a benchmark unit must not contain.
func metricUnit(name string) string {
	out := []rune(name)
	for i, r := range out {
		if r == ' ' {
			out[i] = '-'
		}
	}
	return string(out)
}

// BenchmarkTick measures the tick of a host in steady state without requests. At 50
// ticks a second it is the idle load of a host.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{8, 30, 90} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := capacity.TargetDomain().WithHosts(hosts)
			c := capacity.NewCluster(s, 1)
			c.Quiet(true)
			c.Run(8 * time.Second)
			c.Meter.Reset()
			b.ResetTimer()
			for b.Loop() {
				c.Run(500 * time.Millisecond)
			}
			b.ReportMetric(c.Meter.Kinds["Tick"].PerStep(), "us/tick")
		})
	}
}
