package fleetview_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/fleetview"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// BenchmarkHeard measures a heartbeat in fleets of several sizes while the hosts still meet,
// so that each heartbeat reports another number. A host receives 80 of them a second.
func BenchmarkHeard(b *testing.B) {
	for _, hosts := range []int{8, 195, 1700} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			interval := max(100*time.Millisecond, time.Duration(hosts)*time.Second/80)
			v := fleetview.New(fleetview.DefaultConfig(), now)
			peers := make([]roster.Host, hosts)
			for i := range peers {
				peers[i] = roster.Host{ID: ident.HostID(fmt.Sprint("h", i)), Addr: fmt.Sprint("a", i)}
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(interval / time.Duration(hosts))
				v.Heard(now, fleetview.Heartbeat{From: peers[i%hosts], KeepsNotes: true, Report: &fleetview.Report{Known: 1 + i%hosts}})
				v.Update(now, fleetview.Timing{Interval: interval, SilentAfter: 5 * interval})
			}
		})
	}
}
