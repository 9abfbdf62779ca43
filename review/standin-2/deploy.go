//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// binary is the program that the build of the deploy file makes.
const binary = "target/mulberryrelay"

// front is an entry host: its addresses and its process.
type front struct {
	name, zone, ip          string
	callers, ready, control string
	internal                int
	settings                string
	log                     *os.File
	cmd                     *exec.Cmd
	seeds                   []string
	store                   string
	exited                  chan struct{}
}

// deployment is a small deployment: a store, entry hosts and what the case adds.
type deployment struct {
	dir    string
	store  *platformtest.Store
	fronts []*front
}

func zoneOf(i int) string { return []string{"teku", "balaju", "thimi", "patan"}[i%4] }

// newDeployment starts a store and prepares n entry hosts.
func newDeployment(dir string, n int) (*deployment, error) {
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: store}
	internal := 0
	for i := range n {
		ip := fmt.Sprintf("127.0.9.%d", 10+i)
		ports, err := freePorts(ip, 5)
		if err != nil {
			return nil, err
		}
		if internal == 0 {
			internal = ports[3]
		}
		at := func(p int) string { return net.JoinHostPort(ip, fmt.Sprint(p)) }
		d.fronts = append(d.fronts, &front{
			name: "front-" + zoneOf(i) + "-1", zone: zoneOf(i), ip: ip,
			callers: at(ports[0]), ready: at(ports[1]), control: at(ports[2]), internal: internal,
			settings: filepath.Join(dir, fmt.Sprintf("settings-%d.yaml", i)), store: store.Addr(),
		})
	}
	for _, f := range d.fronts {
		for _, o := range d.fronts {
			f.seeds = append(f.seeds, o.control)
		}
	}
	return d, nil
}

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// write writes the settings file of an entry host as the platform does.
func (f *front) write() error {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("node_name: %q\nrole: entry\nmachine_class: front\nserves: [front, control]\nip: %q\nzone: %q\nregion: bagmati", f.name, f.ip, f.zone)
	p("zones: {teku: bagmati, balaju: bagmati, thimi: bagmati, patan: bagmati}")
	p("listen: {front: %q, ready: %q, control: %q}", f.callers, f.ready, f.control)
	p("internal_port_range: [%d, %d]", f.internal, f.internal+15)
	p("seeds: [%s]", strings.Join(quoted(f.seeds[:3]), ", "))
	p("bootstrap: true\nloss_counts: false\ndata_dir: null\ndiscovery: platform\nentry: vip\nheartbeat_ms: 1200")
	p("limits: {cpu_share: 0.4, cores: 1, memory_mb: 134, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}")
	p("fault_tolerance: {machines: 2, zones: 1, regions: 0}")
	p("bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, strict_revoke: true, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 54, quota_window_s: 8, quota_overage: 0.25, quota_slack: 190000, recovery_s: 12, transit_ms: 120, retry_after_s: 4.6, require_fence: true, lease_ms: 3000, thaw_ms: 300}")
	p("platform: {address: %q, form: read, writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}", f.store)
	return os.WriteFile(f.settings, []byte(b.String()), 0o600)
}

func quoted(list []string) []string {
	var out []string
	for _, s := range list {
		out = append(out, fmt.Sprintf("%q", s))
	}
	return out
}

// start starts the process of an entry host.
func (f *front) start(dir string) error {
	if err := f.write(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	path, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	f.log = log
	f.cmd = exec.Command(path)
	f.cmd.Env = append(os.Environ(), "MULBERRYSTREAM_NODE_FILE="+f.settings)
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	f.exited = make(chan struct{})
	go func() { _ = f.cmd.Wait(); close(f.exited) }()
	return nil
}

// startAll starts all entry hosts and waits until they are ready.
func (d *deployment) startAll() error {
	for _, f := range d.fronts {
		if err := f.start(d.dir); err != nil {
			return err
		}
	}
	for _, f := range d.fronts {
		if err := f.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // until they know each other
	return nil
}

func (f *front) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if f.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", f.name)
}

func (f *front) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + f.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes.
func (d *deployment) close() {
	for _, f := range d.fronts {
		if f.cmd != nil && f.cmd.Process != nil {
			_ = f.cmd.Process.Signal(syscall.SIGCONT)
			_ = f.cmd.Process.Kill()
			<-f.exited
		}
	}
	d.store.Close()
}
