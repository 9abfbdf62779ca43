package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/checker"
	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/faultproxy"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/internal/load"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Fault is a fault that a run can inject.
type Fault struct {
	Name string
	// Lasting faults stay until the end of the load, so that it shows whether their
	// bound holds.
	Lasting bool
	inject  func(x *run)
}

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{
		{Name: "host-kill", inject: killHost},
		{Name: "host-pause", inject: pauseHost},
		{Name: "host-stop", inject: stopHost},
		{Name: "prefill-crash", inject: crash(engine.Prefill)},
		{Name: "decode-crash", inject: crash(engine.Decode)},
		{Name: "service-crash", inject: crash(engine.Service)},
		{Name: "transfer-stall", inject: engineFault(fake.Faults{StallTransfer: true})},
		{Name: "stream-silent", inject: engineFault(fake.Faults{SilentStream: true})},
		{Name: "connections-silent", inject: silenceConnections},
		{Name: "link-slow", inject: slowLink},
		{Name: "chunk-cut", inject: cutChunks},
		{Name: "domain-partition", inject: partition},
		{Name: "one-way-cut", inject: cutOneWay},
		{Name: "platform-down", inject: platformDown},
		{Name: "platform-stale", inject: platformStale},
		{Name: "platform-back", inject: platformBack},
		{Name: "key-withdrawn", Lasting: true, inject: withdrawKey},
		{Name: "rate-change", Lasting: true, inject: changeRates},
		{Name: "recall-version", Lasting: true, inject: recallVersion},
		{Name: "recall-group", Lasting: true, inject: recallGroup},
		{Name: "backend-leaving", Lasting: true, inject: leaveBackend},
	}
}

// FaultNamed returns the fault of a name.
func FaultNamed(name string) (Fault, error) {
	for _, f := range Faults() {
		if f.Name == name {
			return f, nil
		}
	}
	return Fault{}, fmt.Errorf("soak: unknown fault %q", name)
}

// onRepair undoes a fault at the time of repair.
func (x *run) onRepair(f func() error) { x.repairs = append(x.repairs, f) }

// atEnd undoes a lasting fault.
func (x *run) atEnd(f func() error) { x.lasting = append(x.lasting, f) }

// outage notes that a host, or all, cannot get a configuration until the repair.
func (x *run) outage(h ident.HostID) {
	x.outages = append(x.outages, checker.Outage{Host: h, From: time.Now()})
}

// pickHost draws a host that no fault of the run concerns yet.
func (x *run) pickHost() *fleet.Host {
	for {
		h := x.Hosts[x.rng.IntN(len(x.Hosts))]
		if !x.taken[string(h.ID)] {
			x.taken[string(h.ID)] = true
			return h
		}
	}
}

// pickBackend draws a backend server of a role that no fault of the run concerns
// yet. There are at least two of each role.
func (x *run) pickBackend(role engine.Role) fake.Backend {
	var free []fake.Backend
	for _, b := range x.Deployment.Backends() {
		if i := b.Info(); i.Role == role && !x.taken[string(i.ID)] {
			free = append(free, b)
		}
	}
	b := free[x.rng.IntN(len(free))]
	x.taken[string(b.Info().ID)] = true
	return b
}

// pickRole draws a role.
func (x *run) pickRole() engine.Role {
	return []engine.Role{engine.Prefill, engine.Decode, engine.Service}[x.rng.IntN(3)]
}

// disturb records a fault of the network before a backend server until the repair,
// which excuses answers that it broke.
func (x *run) disturb(id ident.BackendID, reason string) {
	note := func(reason string) {
		x.Deployment.Log.Add(record.Record{Kind: record.FaultSet, Server: string(id), Reason: reason})
	}
	note(reason)
	x.onRepair(func() error { note(""); return nil })
}

func (x *run) noteHost(kind record.Kind, h *fleet.Host) {
	x.callers.Add(record.Record{Kind: kind, Host: h.ID})
}

func killHost(x *run) {
	h := x.pickHost()
	x.outage(h.ID)
	x.noteHost(record.Crash, h)
	h.Kill()
	x.onRepair(func() error { x.noteHost(record.Restart, h); return x.replace(h) })
}

func pauseHost(x *run) {
	h := x.pickHost()
	x.outage(h.ID)
	h.Pause()
	x.onRepair(func() error { h.Wake(); return nil })
}

func stopHost(x *run) {
	h := x.pickHost()
	x.outage(h.ID)
	x.noteHost(record.Stopping, h)
	h.Terminate()
	x.onRepair(func() error {
		select {
		case <-h.Done():
		case <-time.After(fleet.WaitLimit):
			return fmt.Errorf("soak: %s did not stop; its log: %s", h.ID, tail(h.Log()))
		}
		if err := h.Err(); err != nil {
			x.violate(9, string(h.ID), fmt.Sprintf("graceful stop ended with %v; its log: %s", err, tail(h.Log())))
		}
		x.noteHost(record.Restart, h)
		return x.replace(h)
	})
}

func crash(role engine.Role) func(x *run) {
	return func(x *run) {
		b := x.pickBackend(role)
		b.Crash()
		x.onRepair(b.Restart)
	}
}

// engineFault sets a fault at a decode engine.
func engineFault(f fake.Faults) func(x *run) {
	return func(x *run) {
		b := x.pickBackend(engine.Decode)
		b.SetFaults(f)
		x.onRepair(func() error { b.SetFaults(fake.Faults{}); return nil })
	}
}

// silenceConnections silences what is open to a backend server, a host or the
// platform, while new connections work.
func silenceConnections(x *run) {
	switch x.rng.IntN(5) {
	case 0:
		x.platform.Silence()
	case 1:
		h := x.pickHost()
		x.peers[h.ID].Silence()
	default:
		id := x.pickBackend(x.pickRole()).Info().ID
		x.disturb(id, "silent connections")
		x.backends[id].Silence()
	}
}

func slowLink(x *run) {
	id := x.pickBackend(x.pickRole()).Info().ID
	x.disturb(id, "slow link")
	p := x.backends[id]
	p.Set(faultproxy.Faults{Delay: 30 * time.Millisecond, Jitter: 50 * time.Millisecond, Rate: 100_000})
	x.onRepair(func() error { p.Set(faultproxy.Faults{}); return nil })
}

func cutChunks(x *run) {
	id := x.pickBackend(x.pickRole()).Info().ID
	x.disturb(id, "cut in a chunk")
	p := x.backends[id]
	p.Set(faultproxy.Faults{CutWithin: 2000})
	p.CutAfter(faultproxy.ToClient, 1+x.rng.IntN(200))
	x.onRepair(func() error { p.Set(faultproxy.Faults{}); return nil })
}

// partition separates one failure domain from the others and from the platform.
func partition(x *run) {
	domains := x.Deployment.Plan.Domains
	apart := domains[x.rng.IntN(len(domains))]
	inside, outside := map[string]faultproxy.Faults{}, map[string]faultproxy.Faults{}
	for _, h := range x.Hosts {
		if h.Domain == apart {
			inside[string(h.ID)] = faultproxy.Faults{Cut: true}
			x.outage(h.ID)
		} else {
			outside[string(h.ID)] = faultproxy.Faults{Cut: true}
		}
	}
	from := func(d ident.FailureDomain) map[string]faultproxy.Faults {
		if d == apart {
			return outside
		}
		return inside
	}
	x.platform.CutFrom(inside)
	x.onRepair(func() error { return x.provePartition(apart) })
	for _, h := range x.Hosts {
		x.peers[h.ID].CutFrom(from(h.Domain))
	}
	for _, b := range x.Deployment.Infos() {
		x.disturb(b.ID, "partition")
		x.backends[b.ID].CutFrom(from(b.Domain))
	}
}

// provePartition makes sure that the partition was one: no host inside has the
// configuration that was published meanwhile.
func (x *run) provePartition(apart ident.FailureDomain) error {
	for _, h := range x.Hosts {
		if h.Domain != apart {
			continue
		}
		if s, err := h.Status(); err == nil && s.Revision >= x.midRun {
			return fmt.Errorf("soak: %s got revision %d through the partition", h.ID, s.Revision)
		}
	}
	return nil
}

// cutOneWay holds the messages from one host to another; those back arrive.
func cutOneWay(x *run) {
	from, to := x.pickHost(), x.pickHost()
	x.peers[to.ID].CutFrom(map[string]faultproxy.Faults{string(from.ID): {CutToServer: true}})
}

func platformDown(x *run) {
	x.outage("")
	x.Deployment.Platform.Down()
	x.onRepair(x.Deployment.Platform.Up)
}

func platformStale(x *run) {
	x.outage("")
	x.Deployment.Platform.Freeze()
	x.onRepair(func() error { x.Deployment.Platform.Thaw(); return nil })
}

func platformBack(x *run) {
	x.outage("")
	x.Deployment.Platform.GoBack(1)
	x.onRepair(func() error { x.Deployment.Platform.Thaw(); return nil })
}

func withdrawKey(x *run) {
	org := x.load.Organisations[x.rng.IntN(len(x.load.Organisations))]
	x.rules = dropLine(x.rules, "key "+string(org.KeyID())+" ")
	x.publish(x.rules)
	k := x.cfg.Keys[org.KeyID()]
	k.Withdrawn = time.Now()
	x.cfg.Keys[org.KeyID()] = k
}

// changeRates halves or doubles all rates. The windows of the checker reach over
// the change, so they allow the higher of both.
func changeRates(x *run) {
	factor := []float64{0.5, 2}[x.rng.IntN(2)]
	rules, err := load.ScaleRates(x.rules, factor)
	if err != nil {
		panic(err) // the factors are fixed and positive
	}
	x.rules = rules
	x.publish(x.rules)
	for org, s := range x.cfg.Organisations {
		x.cfg.Organisations[org] = checker.Share{Rate: s.Rate * max(1, factor), Burst: s.Burst * max(1, factor)}
	}
}

func recallVersion(x *run) {
	plan := x.Deployment.Plan
	x.recall(fmt.Sprintf("version %s %s", plan.Model, plan.Version), checker.Recall{Model: plan.Model, Version: plan.Version})
}

func recallGroup(x *run) {
	group := x.Deployment.Plan.Group + []string{"-a", "-b"}[x.rng.IntN(2)]
	x.recall("engines "+group, checker.Recall{Group: group})
}

func (x *run) recall(batch string, r checker.Recall) {
	x.rules = strings.TrimSuffix(x.rules, "\n") + "\nrecall " + batch + " # soak\n"
	x.publish(x.rules)
	r.Time = time.Now()
	x.cfg.Recalls = append(x.cfg.Recalls, r)
	x.atEnd(func() error {
		for i := range x.cfg.Recalls {
			x.cfg.Recalls[i].Ended = time.Now()
		}
		return nil
	})
}

func leaveBackend(x *run) {
	id := string(x.pickBackend(x.pickRole()).Info().ID)
	x.Deployment.Platform.SetLeaving(id, true)
	x.atEnd(func() error { x.Deployment.Platform.SetLeaving(id, false); return nil })
}
