package relaysoak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/faultproxy"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/platform"
	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// startLimit is the timeout for a host to become ready.
const startLimit = 30 * time.Second

// process is an entry host.
type process struct {
	binary   string
	settings *platformtest.Host
	store    *faultproxy.Proxy // in front of the store, for this host only
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

// server is a backend server behind a proxy.
type server struct {
	*platformtest.Server
	zone  string
	proxy *faultproxy.Proxy

	mu        sync.Mutex
	started   time.Time
	restarts  []time.Time // starts of new processes
	silenceAt time.Time   // when its connections went silent, so that answers are lost
}

// deployment is a fleet with its store and backend servers.
type deployment struct {
	dir     string
	store   *platformtest.Store
	hosts   []*process
	servers []*server
	earlier map[string]bool // hosts that run a program of an earlier build
	version int
}

// shape is the size of a deployment.
type shape struct {
	domains, hosts, prefill, decode, plain int // all but domains are per domain
}

func start(dir string, s shape, seed uint64) (*deployment, error) {
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: store, earlier: map[string]bool{}}
	if err := d.populate(s, seed); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) populate(s shape, seed uint64) error {
	for i := range s.domains {
		zone := fmt.Sprint("zone-", i)
		for _, kind := range []struct {
			stage, service string
			n              int
		}{{"prefill", "lm", s.prefill}, {"decode", "lm", s.decode}, {"", "app", s.plain}} {
			for n := range kind.n {
				id := fmt.Sprintf("%s%s-%d-%d", kind.service, kind.stage, i, n)
				if err := d.addServer(id, kind.service, kind.stage, zone, seed); err != nil {
					return err
				}
			}
		}
	}
	if err := d.configure(platformtest.Key); err != nil {
		return err
	}
	for i := range s.domains * s.hosts {
		binary, err := fleet.HostBinary("mulberryrelay", i/s.domains)
		if err != nil {
			return fmt.Errorf("relaysoak: %w", err)
		}
		d.earlier[fmt.Sprint("host-", i)] = fleet.RunsEarlier(i / s.domains)
		if err := d.addHost(i, binary, fmt.Sprint("zone-", i%s.domains), seed); err != nil {
			return err
		}
	}
	return d.startHosts()
}

func (d *deployment) addServer(id, service, stage, zone string, seed uint64) error {
	s, err := platformtest.NewServer(id, service, stage)
	if err != nil {
		return err
	}
	p, err := faultproxy.New(s.Addr(), seed)
	if err != nil {
		return fmt.Errorf("relaysoak: %w", err)
	}
	sv := &server{Server: s, zone: zone, proxy: p, started: time.Now()}
	s.OnCrash(p.RefuseFor)
	s.SetBehaviour(platformtest.Behaviour{Events: streamEvents, Gap: 25 * time.Millisecond, Delay: 10 * time.Millisecond})
	d.servers = append(d.servers, sv)
	return d.publishServer(sv, "ready")
}

// publishServer writes a server's entry with the address of its proxy to the store.
func (d *deployment) publishServer(s *server, state string) error {
	entry := s.Entry(s.zone, state)
	entry["address"] = s.proxy.Addr()
	s.mu.Lock()
	entry["born"] = s.started.UnixMilli()
	if n := len(s.restarts); n > 0 {
		entry["born"] = s.restarts[n-1].UnixMilli()
	}
	s.mu.Unlock()
	return d.store.Put("servers/"+s.ID, entry)
}

// configure writes the next version of the configuration to the store.
func (d *deployment) configure(keys ...string) error {
	d.version++
	return d.store.Put("op/config", platformtest.Config(d.version, keys...))
}

func (d *deployment) addHost(number int, binary, zone string, seed uint64) error {
	p, err := faultproxy.New(d.store.Addr(), seed)
	if err != nil {
		return fmt.Errorf("relaysoak: %w", err)
	}
	h, err := platformtest.NewHost(d.dir, fmt.Sprint("host-", number), zone, number, p.Addr())
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, h.Name+".log"))
	if err != nil {
		return fmt.Errorf("relaysoak: %w", err)
	}
	d.hosts = append(d.hosts, &process{binary: binary, settings: h, store: p, log: log})
	return nil
}

// startHosts starts all hosts. Each has its own address and uses the same port for its
// peers.
func (d *deployment) startHosts() error {
	port := d.hosts[0].settings.FirstPort
	for _, h := range d.hosts {
		h.settings.UsePorts(port)
		for _, seed := range d.hosts[:min(3, len(d.hosts))] {
			h.settings.Seeds = append(h.settings.Seeds, seed.settings.Control)
		}
		if err := h.settings.WriteSettings(); err != nil {
			return err
		}
		if err := d.startProcess(h); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := d.awaitReady(h); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startProcess(h *process) error {
	cmd := exec.Command(h.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settings.SettingsPath)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("relaysoak: start %s: %w", h.settings.Name, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = cmd
	return nil
}

func (d *deployment) awaitReady(h *process) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + h.settings.Ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("relaysoak: %s is not ready after %v; see its log %s", h.settings.Name, startLimit, h.log.Name())
}

func (h *process) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		// The signal fails only if the process has exited, which is fine.
		_ = h.cmd.Process.Signal(s)
	}
}

// wait waits for the exit of the process, which has been signalled before.
func (h *process) wait() {
	h.mu.Lock()
	cmd := h.cmd
	h.cmd = nil
	h.mu.Unlock()
	if cmd != nil {
		// The log shows how the process ended.
		_ = cmd.Wait()
	}
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.wait()
		h.store.Close()
		_ = h.log.Close()
	}
	for _, s := range d.servers {
		s.proxy.Close()
		s.Close()
	}
	d.store.Close()
}
