package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// BenchmarkHeardInFleet measures the handling of a heartbeat in fleets of several sizes, with
// 19 organisations. Its time must not grow with the number of hosts: a host of a large
// fleet receives as many heartbeats a second as the fleet allows.
func BenchmarkHeardInFleet(b *testing.B) {
	for _, hosts := range []int{7, 85, 195} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			r := relay.New(relay.DefaultConfig(roster.Host{ID: "self", Incarnation: 1, Addr: "self"}, nil), now)
			s := catalog.New(1)
			m := relay.Message{Used: map[ident.Organisation]int64{}}
			for i := range 19 {
				name := ident.Organisation(fmt.Sprintf("organisation-%03d", i))
				s.AddOrganisation(&catalog.Organisation{Name: name, Rate: 1e5, Burst: 1e5}, nil)
				m.Used[name] = int64(i) * 1_000_003
			}
			r.Step(now, relay.ConfigRead{Snapshot: s.Build()})
			peers := make([]roster.Host, hosts-1)
			for i := range peers {
				id := fmt.Sprintf("peer-%03d", i)
				peers[i] = roster.Host{ID: ident.HostID(id), Incarnation: 1, Addr: id, Domain: "a"}
			}
			next := 0
			receive := func() {
				now = now.Add(12 * time.Millisecond)
				m.Heartbeat.Sequence++
				m.Heartbeat.From = peers[next%len(peers)]
				next++
				r.Step(now, relay.MessageReceived{Message: m})
			}
			for range peers {
				receive()
			}
			for b.Loop() {
				receive()
			}
		})
	}
}

// BenchmarkHeard measures the handling of a heartbeat of another host. Its time and size
// grow with the number of organisations that use their limits and with the number of
// engines that the sender uses.
func BenchmarkHeard(b *testing.B) {
	for _, orgs := range []int{5, 16, 410} {
		b.Run(fmt.Sprint("organisations=", orgs), func(b *testing.B) {
			now := time.Unix(1000, 0)
			r := relay.New(relay.DefaultConfig(roster.Host{ID: "self", Incarnation: 1, Addr: "self"}, nil), now)
			s := catalog.New(1)
			m := relay.Message{Used: map[ident.Organisation]int64{}}
			for i := range orgs {
				name := ident.Organisation(fmt.Sprintf("organisation-%03d", i))
				s.AddOrganisation(&catalog.Organisation{Name: name, Rate: 1e5, Burst: 1e5}, nil)
				m.Used[name] = int64(i) * 1_000_003
			}
			for i := range 20 {
				id := ident.BackendID(fmt.Sprintf("i-%08x", i))
				r.Step(now, relay.EntryChanged{Entry: backends.Entry{ID: id, Service: "lm", Stage: backends.Decode}})
				m.Load = append(m.Load, relay.BackendLoad{Backend: id, Requests: 3, Memory: 17_000})
			}
			r.Step(now, relay.ConfigRead{Snapshot: s.Build()})
			m.Heartbeat.From = roster.Host{ID: "peer", Incarnation: 1, Addr: "10.0.0.1:7600", Domain: "a"}
			data, err := cbor.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				m.Heartbeat.Sequence++
				r.Step(now, relay.MessageReceived{Message: m})
			}
			b.ReportMetric(float64(len(data)), "B/beat")
		})
	}
}
