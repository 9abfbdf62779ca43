package soak

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/faultproxy"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
)

const (
	hostsPerDomain = 2
	timeScale      = 0.3 // factor on the engines' processing times
)

// cluster is a fleet with a proxy in front of each entry host, each backend server and
// the platform.
type cluster struct {
	*fleet.Fleet
	rules    string // rules in force between runs
	revision ident.Revision
	sources  sources
	peers    map[ident.HostID]*faultproxy.Proxy
	backends map[ident.BackendID]*faultproxy.Proxy
	platform *faultproxy.Proxy
}

// startCluster starts a fleet with the first domains of the Bagmati plan. The rules
// of the other domains are removed: their slots would have no host, and the tokens of
// the rates that those slots mint would be missing.
func startCluster(rules string, domains int, seed uint64) (*cluster, error) {
	plan := fake.BagmatiPlan()
	for _, d := range plan.Domains[domains:] {
		rules = removeLines(rules, "domain "+string(d)+" ")
	}
	plan.Domains = plan.Domains[:domains]
	timing := fake.DefaultTiming()
	timing.Scale = timeScale
	d, err := fake.Start(plan, fake.Options{Timing: &timing, Seed: seed, Rules: rules})
	if err != nil {
		return nil, fmt.Errorf("soak: deployment: %w", err)
	}
	c := &cluster{
		Fleet:    &fleet.Fleet{Deployment: d},
		rules:    rules,
		revision: 1,
		peers:    map[ident.HostID]*faultproxy.Proxy{},
		backends: map[ident.BackendID]*faultproxy.Proxy{},
	}
	if err := c.start(seed); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(seed uint64) error {
	proxy := func(target string) (*faultproxy.Proxy, error) {
		p, err := faultproxy.New(target, seed)
		if err != nil {
			return nil, fmt.Errorf("soak: proxy: %w", err)
		}
		p.SetSource(c.sources.find)
		return p, nil
	}
	var err error
	if c.platform, err = proxy(c.Deployment.Platform.Addr()); err != nil {
		return err
	}
	for _, info := range c.Deployment.Infos() {
		if c.backends[info.ID], err = proxy(info.Addr); err != nil {
			return err
		}
	}
	domains := c.Deployment.Plan.Domains
	for i := range hostsPerDomain * len(domains) {
		domain, slot := domains[i%len(domains)], ident.Slot(i/len(domains))
		id := ident.HostID(fmt.Sprintf("%s-%d", domain, slot))
		// The target is known only after the start of the process.
		p, err := proxy("127.0.0.1:0")
		if err != nil {
			return err
		}
		c.peers[id] = p
		h, err := c.startHost(fleet.HostOptions{ID: id, Domain: domain, Slot: slot})
		if err != nil {
			return err
		}
		p.SetTarget(h.PeerAddr)
		c.Hosts = append(c.Hosts, h)
		c.sources.set(c.Hosts)
	}
	c.list()
	return c.WaitReady()
}

func (c *cluster) startHost(o fleet.HostOptions) (*fleet.Host, error) {
	o.Platform = c.platform.Addr()
	o.PeerAddr = c.peers[o.ID].Addr()
	return fleet.StartHost(o)
}

// replace starts the replacement of an exited process at the same addresses, which the
// callers of a run keep using.
func (c *cluster) replace(old *fleet.Host) error {
	h, err := c.startHost(fleet.HostOptions{
		ID: old.ID, Domain: old.Domain, Slot: old.Slot,
		Args: []string{"--listen", old.CallerAddr, "--peer-listen", old.PeerAddr, "--admin-listen", old.AdminAddr},
	})
	if err != nil {
		return fmt.Errorf("soak: replace %s: %w", old.ID, err)
	}
	i := slices.Index(c.Hosts, old)
	c.Hosts[i] = h
	c.sources.set(c.Hosts)
	return nil
}

// infos returns the backend servers with the addresses of their proxies.
func (c *cluster) infos() []engine.Info {
	infos := c.Deployment.Infos()
	for i := range infos {
		infos[i].Addr = c.backends[infos[i].ID].Addr()
	}
	return infos
}

// list publishes the host list with the addresses of the proxies.
func (c *cluster) list() {
	var hosts []platform.EntryHost
	for _, h := range c.Hosts {
		hosts = append(hosts, platform.EntryHost{ID: h.ID, Addr: c.peers[h.ID].Addr(), Domain: h.Domain, Slot: h.Slot})
	}
	c.Deployment.Platform.SetHosts(hosts, c.infos())
}

// publish publishes rules as the next revision.
func (c *cluster) publish(rules string) ident.Revision {
	c.revision++
	c.Deployment.Platform.Publish(c.revision, rules)
	return c.revision
}

func (c *cluster) proxies() []*faultproxy.Proxy {
	out := []*faultproxy.Proxy{c.platform}
	for _, p := range c.peers {
		out = append(out, p)
	}
	for _, p := range c.backends {
		out = append(out, p)
	}
	return out
}

func (c *cluster) close() {
	for _, p := range c.proxies() {
		if p != nil {
			p.Close()
		}
	}
	c.Close()
}

// removeLines returns the rules without the lines that begin with a prefix.
func removeLines(rules, prefix string) string {
	lines := strings.SplitAfter(rules, "\n")
	lines = slices.DeleteFunc(lines, func(l string) bool { return strings.HasPrefix(l, prefix) })
	return strings.Join(lines, "")
}
