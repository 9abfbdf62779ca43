package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/capacity"
)

// BenchmarkConfigChange reports how long a configuration change occupies the reducer
// of each host in a domain of 8. The reducer handles no other events meanwhile.
func BenchmarkConfigChange(b *testing.B) {
	for _, organisations := range []int{10, 100, 410} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			s := capacity.TargetDomain().WithHosts(8)
			s.Domains, s.Models, s.Organisations = 2, 37, organisations
			c := capacity.NewCluster(s, 1)
			c.Quiet(true)
			c.Run(8 * time.Second)
			var micros float64
			for b.Loop() {
				micros += c.ChangeCost().Micros
			}
			b.ReportMetric(micros/float64(b.N)/1000, "ms/host")
		})
	}
}
