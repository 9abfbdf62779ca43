package main

// Changes per day at the target scale. Each host that fails or is replaced changes the
// host list twice, once when it leaves and once when its replacement joins. The platform
// may combine changes, but that is not assumed.
const (
	configChanges = 8900.0
	listChanges   = 2.0 * (190 + 840)
	daySeconds    = 86_400.0
	pollsPerHost  = 12_000.0 / 1700 * 5 // per second; each engine is polled every 200 ms
)

// budgetTable compares the sum of the measured costs with the budget.
func (r *report) budgetTable() {
	u, s := r.target.Usage, r.target
	r.printf("\n| a host of the target: 90 in its domain, 410 organisations, 27 requests a second | %% of a core | B/s sent | MB |\n|---|---|---|---|\n")
	var core, bytes, memory float64
	line := func(name string, c, b, m float64) {
		core, bytes, memory = core+c, bytes+b, memory+m
		r.printf("| %s | %.2f | %.0f | %.1f |\n", name, c, b, m)
	}
	tick := s.Kinds["Tick"]
	perSecond := func(k string) float64 { return 100 * s.Kinds[k].Time.Seconds() / 3 / float64(s.Shape.Hosts) }
	line("reducer: ticks", perSecond("Tick"), 0, 0)
	for _, p := range []string{"membership", "config", "hostlist", "limits", "placement", "idempotency"} {
		line("reducer: messages of "+p, perSecond("PeerMessage "+p), s.Parts[p].Bytes, 0)
	}
	rest := 100*u.Core - perSecond("Tick")
	for _, p := range []string{"membership", "config", "hostlist", "limits", "placement", "idempotency"} {
		rest -= perSecond("PeerMessage " + p)
	}
	line("reducer: requests, reports of engines", rest, 0, s.Heap/1e6)
	line("deliveries to other hosts, framing estimated at 200 B", u.Deliveries*r.deliverMicros/1e4, u.Wire-u.Bytes, 0)
	line("polls of engines, upper bound, bytes not counted", pollsPerHost*r.pollMicros/1e4, 0, 0)
	line("configuration changes", configChanges/daySeconds*(s.Change.Micros)/1e4, configChanges/daySeconds*s.Change.Bytes, r.ruleHeap/1e6)
	line("versions of the host list", listChanges/daySeconds*r.list.Micros/1e4, listChanges/daySeconds*float64(r.list.Wire), r.list.Heap/1e6)
	r.printf("| **sum** | **%.2f** | **%.0f** | **%.1f** |\n", core, bytes, memory)
	r.printf("| budget | %.1f | %d | %d |\n", budgetCore, budgetBytes, budgetMemory>>20)
	r.printf("\nTicks: %.0f µs each, 50 a second. Refused in the simulation: %d of %d.\n", tick.PerStep(), u.Refused, u.Refused+u.Completed)
}
