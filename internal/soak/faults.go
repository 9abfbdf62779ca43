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
	// Lasting faults stay until the end of the load, so that the run shows whether
	// their propagation bound holds.
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
		{Name: "platform-back", inject: platformRollback},
		{Name: "key-withdrawn", Lasting: true, inject: withdrawKey},
		{Name: "rate-change", Lasting: true, inject: changeRates},
		{Name: "recall-version", Lasting: true, inject: recallVersion},
		{Name: "recall-group", Lasting: true, inject: recallGroup},
		{Name: "backend-leaving", Lasting: true, inject: markBackendLeaving},
	}
}

// FaultByName returns the fault with the given name.
func FaultByName(name string) (Fault, error) {
	for _, f := range Faults() {
		if f.Name == name {
			return f, nil
		}
	}
	return Fault{}, fmt.Errorf("soak: unknown fault %q", name)
}

// onRepair registers a function that undoes a fault at the time of repair.
func (x *run) onRepair(f func() error) { x.repairs = append(x.repairs, f) }

// onLoadEnd registers a function that undoes a lasting fault after the end of the load.
func (x *run) onLoadEnd(f func() error) { x.lastingRepairs = append(x.lastingRepairs, f) }

// beginOutage records that a host cannot get a configuration until the repair. An empty
// id stands for all hosts.
func (x *run) beginOutage(h ident.HostID) {
	x.outages = append(x.outages, checker.Outage{Host: h, From: time.Now()})
}

// pickHost selects a random host that no fault of the run has targeted yet.
func (x *run) pickHost() *fleet.Host {
	for {
		h := x.Hosts[x.rng.IntN(len(x.Hosts))]
		if !x.targeted[string(h.ID)] {
			x.targeted[string(h.ID)] = true
			return h
		}
	}
}

// pickBackend selects a random backend server of a role that no fault of the run has
// targeted yet. There are at least two servers of each role.
func (x *run) pickBackend(role engine.Role) fake.Backend {
	var free []fake.Backend
	for _, b := range x.Deployment.Backends() {
		if i := b.Info(); i.Role == role && !x.targeted[string(i.ID)] {
			free = append(free, b)
		}
	}
	b := free[x.rng.IntN(len(free))]
	x.targeted[string(b.Info().ID)] = true
	return b
}

// pickRole selects a random role.
func (x *run) pickRole() engine.Role {
	return []engine.Role{engine.Prefill, engine.Decode, engine.Service}[x.rng.IntN(3)]
}

// recordNetworkFault records a network fault in front of a backend server from now until
// the repair. The checker excuses answers that such a fault broke.
func (x *run) recordNetworkFault(id ident.BackendID, reason string) {
	addRecord := func(reason string) {
		x.Deployment.Log.Add(record.Record{Kind: record.FaultSet, Server: string(id), Reason: reason})
	}
	addRecord(reason)
	x.onRepair(func() error { addRecord(""); return nil })
}

func (x *run) recordHostEvent(kind record.Kind, h *fleet.Host) {
	x.callers.Add(record.Record{Kind: kind, Host: h.ID})
}

func killHost(x *run) {
	h := x.pickHost()
	x.beginOutage(h.ID)
	x.recordHostEvent(record.Crash, h)
	h.Kill()
	x.onRepair(func() error { x.recordHostEvent(record.Restart, h); return x.replace(h) })
}

func pauseHost(x *run) {
	h := x.pickHost()
	x.beginOutage(h.ID)
	h.Pause()
	x.onRepair(func() error { h.Resume(); return nil })
}

func stopHost(x *run) {
	h := x.pickHost()
	x.beginOutage(h.ID)
	x.recordHostEvent(record.Stopping, h)
	h.Terminate()
	x.onRepair(func() error {
		select {
		case <-h.Done():
		case <-time.After(fleet.WaitLimit):
			return fmt.Errorf("soak: %s did not stop; its log: %s", h.ID, tail(h.Log()))
		}
		if err := h.Err(); err != nil {
			x.addViolation(9, string(h.ID), fmt.Sprintf("graceful stop ended with %v; its log: %s", err, tail(h.Log())))
		}
		x.recordHostEvent(record.Restart, h)
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

// engineFault sets a fault on a decode engine.
func engineFault(f fake.Faults) func(x *run) {
	return func(x *run) {
		b := x.pickBackend(engine.Decode)
		b.SetFaults(f)
		x.onRepair(func() error { b.SetFaults(fake.Faults{}); return nil })
	}
}

// silenceConnections stops all traffic on the open connections to a backend server, a
// host or the platform, while new connections work.
func silenceConnections(x *run) {
	switch x.rng.IntN(5) {
	case 0:
		x.platform.Silence()
	case 1:
		h := x.pickHost()
		x.peers[h.ID].Silence()
	default:
		id := x.pickBackend(x.pickRole()).Info().ID
		x.recordNetworkFault(id, "silent connections")
		x.backends[id].Silence()
	}
}

func slowLink(x *run) {
	id := x.pickBackend(x.pickRole()).Info().ID
	x.recordNetworkFault(id, "slow link")
	p := x.backends[id]
	p.Set(faultproxy.Faults{Delay: 30 * time.Millisecond, Jitter: 50 * time.Millisecond, Rate: 100_000})
	x.onRepair(func() error { p.Set(faultproxy.Faults{}); return nil })
}

func cutChunks(x *run) {
	id := x.pickBackend(x.pickRole()).Info().ID
	x.recordNetworkFault(id, "cut in a chunk")
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
			x.beginOutage(h.ID)
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
	x.onRepair(func() error { return x.verifyPartition(apart) })
	for _, h := range x.Hosts {
		x.peers[h.ID].CutFrom(from(h.Domain))
	}
	for _, b := range x.Deployment.Infos() {
		x.recordNetworkFault(b.ID, "partition")
		x.backends[b.ID].CutFrom(from(b.Domain))
	}
}

// verifyPartition checks that the partition was effective: no host inside has got the
// configuration that was published in the meantime.
func (x *run) verifyPartition(apart ident.FailureDomain) error {
	for _, h := range x.Hosts {
		if h.Domain != apart {
			continue
		}
		if s, err := h.Status(); err == nil && s.Revision >= x.midRunRevision {
			return fmt.Errorf("soak: %s got revision %d through the partition", h.ID, s.Revision)
		}
	}
	return nil
}

// cutOneWay blocks the messages from one host to another; the other direction works.
func cutOneWay(x *run) {
	from, to := x.pickHost(), x.pickHost()
	x.peers[to.ID].CutFrom(map[string]faultproxy.Faults{string(from.ID): {CutToServer: true}})
}

func platformDown(x *run) {
	x.beginOutage("")
	x.Deployment.Platform.Down()
	x.onRepair(x.Deployment.Platform.Up)
}

func platformStale(x *run) {
	x.beginOutage("")
	x.Deployment.Platform.Freeze()
	x.onRepair(func() error { x.Deployment.Platform.Unfreeze(); return nil })
}

func platformRollback(x *run) {
	x.beginOutage("")
	x.Deployment.Platform.RollBack(1)
	x.onRepair(func() error { x.Deployment.Platform.Unfreeze(); return nil })
}

func withdrawKey(x *run) {
	org := x.load.Organisations[x.rng.IntN(len(x.load.Organisations))]
	x.rules = removeLines(x.rules, "key "+string(org.KeyID())+" ")
	x.publish(x.rules)
	k := x.cfg.Keys[org.KeyID()]
	k.Withdrawn = time.Now()
	x.cfg.Keys[org.KeyID()] = k
}

// changeRates halves or doubles all rates. Windows of the checker may span the change,
// so the checker allows the higher of the two rates.
func changeRates(x *run) {
	factor := []float64{0.5, 2}[x.rng.IntN(2)]
	rules, err := load.ScaleRates(x.rules, factor)
	if err != nil {
		panic(err) // the factors are fixed and positive
	}
	x.rules = rules
	x.publish(x.rules)
	for org, s := range x.cfg.Organisations {
		x.cfg.Organisations[org] = checker.RateLimit{Rate: s.Rate * max(1, factor), Burst: s.Burst * max(1, factor)}
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
	x.onLoadEnd(func() error {
		for i := range x.cfg.Recalls {
			x.cfg.Recalls[i].Ended = time.Now()
		}
		return nil
	})
}

func markBackendLeaving(x *run) {
	id := string(x.pickBackend(x.pickRole()).Info().ID)
	x.Deployment.Platform.SetLeaving(id, true)
	x.onLoadEnd(func() error { x.Deployment.Platform.SetLeaving(id, false); return nil })
}
