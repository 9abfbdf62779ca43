package fleet

import (
	"fmt"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

// Fleet is a set of entry hosts in front of a simulated deployment.
type Fleet struct {
	Deployment *fake.Deployment
	Hosts      []*Host

	options Options
}

// Network puts proxies between the hosts and their peers, backend servers and platform.
type Network interface {
	// Attach returns the addresses of the platform and of the host's own proxy, with
	// which the host is started.
	Attach(id ident.HostID, domain ident.FailureDomain) (platform, peer string, err error)
	// Connect sets the address at which the host listens for peers.
	Connect(id ident.HostID, addr string) error
}

// Options configure a fleet.
type Options struct {
	Plan    fake.Plan
	Fake    fake.Options
	Hosts   int      // entry hosts, assigned to the domains round-robin
	Args    []string // additional flags of every host
	Network func(*fake.Deployment) (Network, error)

	network Network
}

// Start starts the deployment and the hosts and waits until all hosts are ready and see
// one another.
func Start(o Options) (*Fleet, error) {
	d, err := fake.Start(o.Plan, o.Fake)
	if err != nil {
		return nil, fmt.Errorf("fleet: deployment: %w", err)
	}
	if o.Network != nil {
		if o.network, err = o.Network(d); err != nil {
			d.Close()
			return nil, fmt.Errorf("fleet: network: %w", err)
		}
	}
	f := &Fleet{Deployment: d, options: o}
	if err := f.startHosts(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startHosts() error {
	domains := f.options.Plan.Domains
	for i := range f.options.Hosts {
		domain := domains[i%len(domains)]
		slot := ident.Slot(i / len(domains))
		h, err := f.startHost(HostOptions{ID: ident.HostID(fmt.Sprintf("%s-%d", domain, slot)), Domain: domain, Slot: slot})
		if err != nil {
			return err
		}
		f.Hosts = append(f.Hosts, h)
	}
	f.PublishHosts()
	return f.WaitReady()
}

func (f *Fleet) startHost(o HostOptions) (*Host, error) {
	o.Platform, o.Args = f.Deployment.Platform.Addr(), f.options.Args
	network := f.options.network
	if network == nil {
		return StartHost(o)
	}
	var err error
	if o.Platform, o.PeerAddr, err = network.Attach(o.ID, o.Domain); err != nil {
		return nil, fmt.Errorf("fleet: attach %s: %w", o.ID, err)
	}
	h, err := StartHost(o)
	if err != nil {
		return nil, err
	}
	if err := network.Connect(o.ID, h.PeerAddr); err != nil {
		h.Kill()
		return nil, fmt.Errorf("fleet: connect %s: %w", o.ID, err)
	}
	return h, nil
}

// Replace starts a process in the slot of a host that has exited, with another host
// id if one is given. With the same id it listens for peers at the address of the
// former process, like a restarted host that keeps its IP address. It does not wait
// until the process is ready.
func (f *Fleet) Replace(i int, id ident.HostID) error {
	old := f.Hosts[i]
	o := HostOptions{ID: id, Domain: old.Domain, Slot: old.Slot}
	if id == "" || id == old.ID {
		o.ID, o.Listen = old.ID, old.PeerAddr
	}
	h, err := f.startHost(o)
	if err != nil {
		return err
	}
	f.Hosts[i] = h
	f.PublishHosts()
	return nil
}

// PublishHosts publishes the hosts and backend servers in the platform's host list.
func (f *Fleet) PublishHosts() {
	var hosts []platform.EntryHost
	for _, h := range f.Hosts {
		hosts = append(hosts, platform.EntryHost{ID: h.ID, Addr: h.advertisedAddr, Domain: h.Domain, Slot: h.Slot})
	}
	f.Deployment.Platform.SetHosts(hosts, f.Deployment.Infos())
}

// WaitReady waits until every host is ready and mints tokens, sees all other hosts of
// its domain as live and reaches every other domain.
func (f *Fleet) WaitReady() error {
	for _, h := range f.Hosts {
		err := Await("host "+string(h.ID)+" to be ready", func() bool { return f.hostReady(h) })
		if err != nil {
			return fmt.Errorf("%w; its log: %s", err, h.Log())
		}
	}
	return nil
}

func (f *Fleet) hostReady(h *Host) bool {
	s, err := h.Status()
	if err != nil || !s.Ready || !s.CanMint {
		return false
	}
	live := 0
	for _, p := range s.Peers {
		if p.State == status.Live {
			live++
		}
	}
	reachable := 0
	for _, d := range s.Domains {
		if d.Reachable {
			reachable++
		}
	}
	peers, domains := f.expectedCounts(h)
	return live >= peers && reachable >= domains
}

// expectedCounts returns the number of other hosts in a host's domain and the number of
// other domains.
func (f *Fleet) expectedCounts(h *Host) (peers, domains int) {
	others := map[ident.FailureDomain]bool{}
	for _, o := range f.Hosts {
		if o.Domain == h.Domain {
			peers++
		} else {
			others[o.Domain] = true
		}
	}
	return peers - 1, len(others)
}

// Close kills the hosts and closes the deployment.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Kill()
	}
	f.Deployment.Close()
}
