package fleet

import (
	"fmt"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

// Fleet is a set of entry hosts before a deployment.
type Fleet struct {
	Deployment *fake.Deployment
	Hosts      []*Host

	options Options
}

// Network puts proxies between the hosts and what they talk to.
type Network interface {
	// Attach returns the addresses of the platform and of the host's own proxy
	// that a host is given before it starts.
	Attach(id ident.HostID, domain ident.FailureDomain) (platform, peer string, err error)
	// Connect says where the host listens for peers.
	Connect(id ident.HostID, addr string) error
}

// Options set up a fleet.
type Options struct {
	Plan    fake.Plan
	Fake    fake.Options
	Hosts   int      // entry hosts, spread over the domains in turn
	Args    []string // further flags of every host
	Network func(*fake.Deployment) (Network, error)

	network Network
}

// Start starts deployment and hosts and waits until all hosts are ready and see
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
	f.List()
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
	if err := network.Connect(o.ID, h.Peer); err != nil {
		h.Kill()
		return nil, fmt.Errorf("fleet: connect %s: %w", o.ID, err)
	}
	return h, nil
}

// Replace starts a process in the slot of a host that has ended, with another host
// id if one is given. With the same id it listens for peers where the former
// process did, as a host at the same IP address does. It does not wait until the
// process is ready.
func (f *Fleet) Replace(i int, id ident.HostID) error {
	old := f.Hosts[i]
	o := HostOptions{ID: id, Domain: old.Domain, Slot: old.Slot}
	if id == "" || id == old.ID {
		o.ID, o.Listen = old.ID, old.Peer
	}
	h, err := f.startHost(o)
	if err != nil {
		return err
	}
	f.Hosts[i] = h
	f.List()
	return nil
}

// List publishes the hosts and backend servers in the platform's host list.
func (f *Fleet) List() {
	var hosts []platform.EntryHost
	for _, h := range f.Hosts {
		hosts = append(hosts, platform.EntryHost{ID: h.ID, Addr: h.listed, Domain: h.Domain, Slot: h.Slot})
	}
	f.Deployment.Platform.SetHosts(hosts, f.Deployment.Infos())
}

// WaitReady waits until every host is ready and mints tokens, sees all live hosts of its domain
// and reaches every other domain.
func (f *Fleet) WaitReady() error {
	for _, h := range f.Hosts {
		err := Await("host "+string(h.ID)+" to be ready", func() bool { return f.settled(h) })
		if err != nil {
			return fmt.Errorf("%w; its log: %s", err, h.Log())
		}
	}
	return nil
}

func (f *Fleet) settled(h *Host) bool {
	s, err := h.Status()
	if err != nil || !s.Ready || !s.Mints {
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
	peers, domains := f.expected(h)
	return live >= peers && reachable >= domains
}

// expected counts the other hosts of a host's domain and the other domains.
func (f *Fleet) expected(h *Host) (peers, domains int) {
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
