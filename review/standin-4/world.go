//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// relayProgram is the program of deploy/system.toml, relative to the repository.
const relayProgram = "target/mulberryrelay"

// hostName is the name under which all routes are served.
const hostName = "desk.example"

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *bufio.Writer
	begin time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment: store, replicas and entry hosts.
type world struct {
	record   *record
	store    *store
	engines  *engines
	replicas []*replica
	hosts    []*entryHost
	dir      string // for settings and logs
}

// entryHost is a machine with a process of the program under test.
type entryHost struct {
	name, zone, ip        string
	front, ready, control string
	door                  *door
	settings              string
	cmd                   *exec.Cmd
	done                  chan struct{}
}

func newWorld(recordPath string) (*world, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-4-")
	if err != nil {
		return nil, err
	}
	return &world{
		record: &record{file: bufio.NewWriter(f), begin: time.Now()},
		store:  newStore(), engines: &engines{handles: map[string]handle{}}, dir: dir,
	}, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, s := range w.replicas {
		_ = s.server.Close()
	}
	w.store.close()
	w.record.mu.Lock()
	_ = w.record.file.Flush()
	w.record.mu.Unlock()
	_ = os.RemoveAll(w.dir)
}

// addHosts adds entry hosts, each with a loopback address of its own, one for each of the zones
// given.
func (w *world) addHosts(zones ...string) error {
	// Cases that are played beside each other have other addresses.
	const firstBlock, blocks, firstHost = 1, 250, 10
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.41.%d.%d", firstBlock+os.Getpid()%blocks, firstHost+i))
	}
	ports, err := freePorts(ips, 5)
	if err != nil {
		return err
	}
	at := func(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	var seeds []string
	for i, zone := range zones {
		ip := ips[i]
		d, err := w.store.openDoor()
		if err != nil {
			return err
		}
		h := &entryHost{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip, door: d,
			front: at(ip, ports[0]), ready: at(ip, ports[1]), control: at(ip, ports[2]),
		}
		if len(seeds) < 3 {
			seeds = append(seeds, h.control)
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.settings = filepath.Join(w.dir, h.name+".yaml")
		if err := os.WriteFile(h.settings, []byte(h.yaml(zones, seeds, ports[3])), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// freePorts returns n ports that are free on all of the loopback addresses ips, as far as can be
// told. The last one follows the last but one.
func freePorts(ips []string, n int) ([]int, error) {
	for range portTries {
		if ports, ok := tryPorts(ips, n); ok {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports on %v", n, ips)
}

// portTries is how often free ports are looked for.
const portTries = 100

func tryPorts(ips []string, n int) (ports []int, ok bool) {
	var held []net.Listener
	defer func() {
		for _, ln := range held {
			_ = ln.Close()
		}
	}()
	// hold takes a port, 0 for any, on all addresses.
	hold := func(port int) bool {
		for _, ip := range ips {
			ln, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			held, port = append(held, ln), ln.Addr().(*net.TCPAddr).Port
		}
		ports = append(ports, port)
		return true
	}
	for len(ports) < n-1 {
		if !hold(0) {
			return nil, false
		}
	}
	return ports, hold(ports[n-2] + 1)
}

// yaml returns the settings file of DEPLOY.md.
func (h *entryHost) yaml(zones, seeds []string, firstPort int) string {
	var b strings.Builder
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	p("node_name: %q\nrole: \"entry\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"", h.name)
	p("ip: %q\nzone: %q\nregion: \"accra\"\nzones:", h.ip, h.zone)
	known := map[string]bool{}
	for _, z := range zones {
		if !known[z] {
			p("  %s: \"accra\"", z)
		}
		known[z] = true
	}
	p("listen:\n  front: %q\n  ready: %q\n  control: %q", h.front, h.ready, h.control)
	p("internal_port_range:\n  - %d\n  - %d\nseeds:", firstPort, firstPort+1)
	for _, s := range seeds {
		p("  - %q", s)
	}
	p("bootstrap: true\nlimits:\n  cpu_share: 0.4\n  cores: 1\n  memory_mb: 284\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0")
	p("data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200")
	p("bounds:\n  reuse_after_s: 2\n  stable_window_ms: 3000\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000")
	p("  strict_revoke: true\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 56")
	p("  quota_window_s: 8\n  quota_overage: 0.25\n  quota_slack: 190000\n  recovery_s: 12\n  require_fence: true\n  lease_ms: 3000")
	p("platform:\n  address: %q\n  form: \"read\"\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576", h.door.addr)
	return b.String()
}

// start starts the process of a host as deploy/system.toml has it.
func (h *entryHost) start(w *world) error {
	out, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(relayProgram)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULBERRYSTREAM_NODE_FILE=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.done = done
	go func() {
		_ = h.cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	w.record.printf("%s (%s) started, process %d", h.name, h.front, h.cmd.Process.Pid)
	return nil
}

func (h *entryHost) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.done
}

// isReady asks as the platform's balancer does.
func (h *entryHost) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready.
func (w *world) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(w.hosts) {
			w.record.printf("all %d hosts are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after %v", limit)
}

// answer is what a client got.
type answer struct {
	status   int
	signed   bool
	body     string
	complete bool
	err      error
}

// send sends a request of a client on a connection of its own and reads the whole answer.
func send(front, method, path, id string, deadline time.Duration, header map[string]string, body string) answer {
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	c := http.Client{Transport: t, Timeout: deadline}
	r, err := http.NewRequest(method, "http://"+front+path, bytes.NewBufferString(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = hostName
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signed: resp.Header.Get("X-Response-Signature") != "", body: string(data), complete: err == nil, err: err}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
