package capacity

import (
	"fmt"
	"strings"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
)

// Shape is the size of a simulated fleet.
type Shape struct {
	Hosts         int // of the measured domain
	Domains       int // all domains; the others have two hosts each, their delegates
	Engines       int // of the measured domain
	Models        int // the engines are divided evenly among them
	Organisations int
	Rate          float64 // requests per second and host of the measured domain
	Burst         float64 // of each organisation, in seconds of its rate
}

// Request sizes at the target scale: 14 million generated tokens and 46,000 requests
// per second give 304 output tokens per request. The prompt size is an assumption.
const (
	promptTokens = 2000
	outputTokens = 304
)

// TargetDomain returns one of the 19 domains of the target scale: 1,700 hosts, 12,000
// replicas and 46,000 requests per second, divided evenly.
func TargetDomain() Shape {
	return Shape{Hosts: 90, Domains: 19, Engines: 632, Models: 37, Organisations: 410, Rate: 27, Burst: 15}
}

// WithHosts returns the shape with another number of hosts, and with engines and
// models in proportion, so that the work of each host stays the same.
func (s Shape) WithHosts(n int) Shape {
	s.Engines = max(2, s.Engines*n/s.Hosts)
	s.Models = max(1, s.Models*n/s.Hosts)
	s.Hosts = n
	return s
}

func domainName(d int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprintf("domain-%02d", d)) }

func hostID(d, i int) ident.HostID {
	return ident.HostID(fmt.Sprintf("%s-host-%02d", domainName(d), i))
}

func hostAddr(d, i int) string { return fmt.Sprintf("10.%d.%d.%d:8081", d, i/250, i%250) }

func modelName(m int) ident.Model { return ident.Model(fmt.Sprintf("model-%02d", m)) }

func organisationName(o int) ident.Organisation {
	return ident.Organisation(fmt.Sprintf("organisation-%03d", o))
}

// hostsOf returns how many hosts of a domain are simulated.
func (s Shape) hostsOf(d int) int {
	if d == 0 {
		return s.Hosts
	}
	return min(2, s.Hosts)
}

// slots returns the number of host slots, one for each simulated host.
func (s Shape) slots() int {
	n := 0
	for d := range s.Domains {
		n += s.hostsOf(d)
	}
	return n
}

// Rules returns the text of a generation. serial changes one line, like a typical
// configuration change.
func (s Shape) Rules(serial int) string {
	var b strings.Builder
	for d := range s.Domains {
		fmt.Fprintf(&b, "domain %s slots %d # platform team\n", domainName(d), s.hostsOf(d))
	}
	// Each slot mints what a host of the target uses, at a utilisation of 0.9.
	rate := s.Rate * float64(s.slots()) / float64(s.Organisations) * (promptTokens + outputTokens) / 0.9
	for o := range s.Organisations {
		r := rate
		if o == 0 {
			r += float64(serial)
		}
		fmt.Fprintf(&b, "organisation %s rate %.0f burst %.0f weight 1 prefer refuse # sales\n", organisationName(o), r, r*s.Burst)
	}
	for m := range s.Models {
		fmt.Fprintf(&b, "model %s versions v2,v1 # model team\n", modelName(m))
	}
	b.WriteString("route /desk/book service desk once keyed cost 5 # desk team\n")
	for o := range s.Organisations {
		fmt.Fprintf(&b, "allow %s desk # sales\n", organisationName(o))
		for m := range s.Models {
			fmt.Fprintf(&b, "allow %s %s # sales\n", organisationName(o), modelName(m))
		}
	}
	for o := range s.Organisations {
		fmt.Fprintf(&b, "key key-%03d organisation %s salt 00112233445566778899aabbccddeeff hash %064x # operations\n", o, organisationName(o), o)
	}
	return b.String()
}

// List returns the platform's list of the simulated hosts and backend servers.
func (s Shape) List(version uint64) hostlist.List {
	l := hostlist.List{Version: version}
	for d := range s.Domains {
		for i := range s.hostsOf(d) {
			l.EntryHosts = append(l.EntryHosts, membership.HostInfo{
				ID: hostID(d, i), Addr: hostAddr(d, i), Domain: domainName(d), Slot: ident.Slot(i),
			})
		}
	}
	for e := range s.Engines {
		l.Backends = append(l.Backends, s.engine(e))
	}
	for i := range 4 {
		l.Backends = append(l.Backends, engine.Info{
			ID: ident.BackendID(fmt.Sprintf("desk-%d", i)), Addr: fmt.Sprintf("10.200.0.%d:9000", i),
			Domain: domainName(0), Role: engine.Service, Model: "desk", Slots: 64,
		})
	}
	return l
}

// engineSlots is the number of slots of an engine. It is large enough for the streams of the
// target: 46,000 requests per second of 304 tokens at 30 ms occupy 420,000 slots, on
// half of the 12,000 replicas.
const engineSlots = 96

func (s Shape) engine(e int) engine.Info {
	role := engine.Prefill
	if e/s.Models%2 == 1 {
		role = engine.Decode
	}
	return engine.Info{
		ID:     ident.BackendID(fmt.Sprintf("domain-00-engine-%04d", e)),
		Addr:   fmt.Sprintf("10.100.%d.%d:9000", e/250, e%250),
		Domain: domainName(0), Role: role, Model: modelName(e % s.Models),
		Version: "v2", Group: fmt.Sprintf("batch-%d", e%7), Slots: engineSlots,
	}
}
