package confsync_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// BenchmarkPropagation reports the time from publication until a generation is in
// force on all hosts of one full domain, and the cost of the exchange. Each other domain
// has two hosts. Messages and bytes are those of membership and confsync.
func BenchmarkPropagation(b *testing.B) {
	for _, c := range []struct {
		hosts, domains, organisations int
		loss                          float64
		kill                          bool
	}{
		{8, 1, 10, 0, false}, {8, 4, 10, 0, false}, {8, 4, 10, 0.1, false}, {8, 4, 10, 0.1, true},
		{90, 1, 10, 0, false}, {90, 9, 10, 0, false}, {90, 19, 10, 0, false},
		{90, 19, 10, 0.1, false}, {90, 19, 10, 0.1, true},
		{90, 1, 410, 0, false}, {90, 1, 410, 0.1, true},
	} {
		name := fmt.Sprintf("hosts=%d/domains=%d/organisations=%d/loss=%v/kill=%v", c.hosts, c.domains, c.organisations, c.loss, c.kill)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				propagate(b, c.hosts, c.domains, c.organisations, c.loss, c.kill)
			}
		})
	}
}

var fleet = flag.Bool("fleet", false, "run BenchmarkFleet, which takes minutes and 1 GB")

// BenchmarkFleet measures the target fleet size: 19 domains of 90 hosts.
func BenchmarkFleet(b *testing.B) {
	if !*fleet {
		b.Skip("needs -fleet")
	}
	for b.Loop() {
		n := newNetwork(2)
		var hosts []*host
		for d := range 19 {
			hosts = append(hosts, n.domain(ident.FailureDomain(fmt.Sprintf("domain%02d", d)), 90)...)
		}
		publications(b, n, hosts, 10, 5, false)
	}
}

func propagate(b *testing.B, hosts, domains, organisations int, loss float64, killReader bool) {
	n := newNetwork(2)
	n.loss = loss
	own := n.domain("own", hosts)
	for d := 1; d < domains; d++ {
		n.domain(ident.FailureDomain(fmt.Sprintf("domain%02d", d)), 2)
	}
	publications(b, n, own, organisations, 10, killReader)
}

// publications publishes a change of one line several times, 9.7 seconds apart, which
// is 8,900 a day. It reports times and costs without those of the first generation.
func publications(b *testing.B, n *network, hosts []*host, organisations, count int, killReader bool) {
	const gap = 9700 * time.Millisecond
	n.sendHostList()
	n.publish(1, rules(organisations, 1))
	n.run(20 * time.Second)
	calls, late := n.calls, 0
	sent, all, messages := totals(hosts)
	var times []time.Duration
	for i := range count {
		r := ident.Revision(i + 2)
		if killReader && i%3 == 0 {
			stopReader(n, "own")
		}
		at := n.now
		n.publish(r, rules(organisations, int(r)))
		n.run(gap)
		for _, h := range hosts {
			if h.stopped {
				continue
			}
			got, ok := h.accepted[r]
			if !ok {
				late++
				continue
			}
			times = append(times, got.Sub(at))
		}
	}
	slices.Sort(times)
	sent2, all2, messages2 := totals(hosts)
	seconds := gap.Seconds() * float64(count)
	per := seconds * float64(len(hosts))
	b.ReportMetric(times[len(times)/2].Seconds(), "p50-s")
	b.ReportMetric(times[len(times)*99/100].Seconds(), "p99-s")
	b.ReportMetric(times[len(times)-1].Seconds(), "max-s")
	b.ReportMetric(float64(late), "not-in-force")
	b.ReportMetric(float64(messages2-messages)/per, "messages/s")
	b.ReportMetric(float64(sent2-sent)/per, "confsync-B/s")
	b.ReportMetric(float64(all2-all)/per, "all-B/s")
	b.ReportMetric(float64(n.calls-calls)/seconds, "platform-calls/s")
	b.ReportMetric(float64(len(n.published.Text)), "text-B")
	b.ReportMetric(0, "ns/op")
}

func totals(hosts []*host) (sent, all, messages int) {
	for _, h := range hosts {
		sent, all, messages = sent+h.sent, all+h.totalBytes, messages+h.messages
	}
	return sent, all, messages
}

// BenchmarkChange compares the bytes and parts of a transfer after a change of one line
// with those of a full transfer.
func BenchmarkChange(b *testing.B) {
	for _, organisations := range []int{10, 100, 410} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("organisations=%d/full=%v", organisations, full), func(b *testing.B) {
				var sent, parts int
				for b.Loop() {
					sent, parts = change(organisations, full)
				}
				b.ReportMetric(float64(sent), "B/change")
				b.ReportMetric(float64(parts), "parts/change")
				b.ReportMetric(float64(sent)*8900/86400, "B/s-at-8900-a-day")
			})
		}
	}
}

// change transfers a new revision from one host to another and returns the bytes and
// parts served.
func change(organisations int, full bool) (sent, parts int) {
	var syncs []*confsync.Sync
	for _, id := range []ident.HostID{"a", "b"} {
		cfg := confsync.DefaultConfig(ident.Process{Host: id, Incarnation: 1}, "d", 1)
		cfg.Validate = validate
		syncs = append(syncs, confsync.New(cfg, epoch))
	}
	read := func(s *confsync.Sync, r ident.Revision) confsync.Generation {
		g := confsync.NewGeneration(r, []byte(rules(organisations, int(r))))
		deliverRead(s, g)
		return g
	}
	read(syncs[0], 1)
	if !full {
		read(syncs[1], 1)
	}
	g := read(syncs[0], 2)
	res := syncs[1].PeerReported(epoch, "a", 2, g.Digest)
	for res.Accepted == nil {
		answer := syncs[0].Receive(epoch, "b", res.Envelopes[0].Message)
		data, _ := cbor.Marshal(answer.Envelopes[0].Message)
		sent += len(data)
		parts++
		res = syncs[1].Receive(epoch, "a", answer.Envelopes[0].Message)
	}
	return sent, parts
}
