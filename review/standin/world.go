//go:build review

// Command standin plays the review's scripts: it holds the stand-ins of the platform's
// store, of replicas and of clients, and starts the project's daemon as separate processes.
package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployment, as in the site files and the pages.
const (
	kvTokens       = 60180
	tokensPerMS    = 55.5556
	roleSwitch     = 6 * time.Second
	handleTTL      = 500 * time.Millisecond
	eventGap       = 100 * time.Millisecond
	tokensPerEvent = 11 // the stride
	plainWork      = 300 * time.Millisecond
	leaseMS        = 3000
	apiKey         = "i9n73hh2b9wu3fexd9dn"
	routeHost      = "ficu95.example"
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin: case could not run:", err)
		if theWorld != nil {
			theWorld.end()
		}
		os.Exit(2)
	}
}

var theWorld *world

// world is one run of a script.
type world struct {
	dir      string // temporary folder
	binary   string
	began    time.Time
	store    *store
	backends []*backend
	hosts    []*host

	mu     sync.Mutex
	file   *os.File
	runs   map[string]int
	orders []orderSeen
}

type orderSeen struct {
	at     time.Time
	server string
	holder string
	fence  uint64
	stage  string
	status int
}

func newWorld(caseDir, binary string) *world {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	must(err)
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	w := &world{dir: dir, binary: binary, began: time.Now(), file: f, runs: map[string]int{}}
	theWorld = w
	w.store = newStore()
	return w
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.file, "%8.3f  "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

func (w *world) countRun(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

func (w *world) ordered(o orderSeen) {
	w.record("order    to %s: stage %s, holder %s, fencing token %d: %d", o.server, o.stage, o.holder, o.fence, o.status)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
}

// end kills all processes that this run has started and removes the temporary folder.
func (w *world) end() {
	for _, h := range w.hosts {
		h.kill()
	}
	_ = os.RemoveAll(w.dir)
}

func route(name, prefix, kind, service string, attempts int, resumable bool, timeoutMS, targetMS int) map[string]any {
	r := map[string]any{
		"name": name, "host": routeHost, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
		"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false,
	}
	if kind == "stream" {
		r["sticky"], r["resumable"], r["target_gap_ms"] = true, resumable, 300
	}
	return r
}

// config is the operator's configuration.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-verdict", "/lohu930/", "stream", "inspect-lm", 1, false, 14000, 900),
			route("r-brief", "/pufi791/", "stream", "inspect-lm", 2, true, 14000, 900),
			route("r-post", "/puxa403/", "unsafe", "counter-app", 1, false, 800, 150),
			route("r-read", "/cufi504/", "safe", "counter-app", 2, false, 800, 150),
		},
		"services": []any{
			map[string]any{"name": "inspect-lm", "health_path": "/healthz", "max_connections": 620, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 128, "kv_capacity_tokens": kvTokens, "kv_token_bytes": 18432, "link_mbps": 550000.0, "moves": true, "backups": true,
				"stride": 11, "most": 12, "kv_ttl_s": handleTTL.Seconds(), "role_switch_s": roleSwitch.Seconds(), "pin_ms": 4000.0, "hold_ms": 2000.0,
				"models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "counter-app", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []string{apiKey}, "priority": 1, "unit": "token_stream", "plain_tokens": 200,
			"rate_per_s": 690000, "burst": 690000,
		}},
	}
}

// host is one machine with a process of the daemon.
type host struct {
	w        *world
	name     string
	zone     string
	ip       string
	ports    ports
	seeds    []string
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// ports are the same on all machines of a day.
type ports struct{ front, ready, control, internal int }

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// freePorts returns ports that are free on all of the given addresses.
func freePorts(ips []string) ports {
	for try := range 50 {
		base := 21000 + (os.Getpid()*37+try*331)%20000
		p := ports{base, base + 1, base + 2, base + 10}
		if free(ips, p) {
			return p
		}
	}
	must(fmt.Errorf("no free ports"))
	return ports{}
}

func free(ips []string, p ports) bool {
	for _, ip := range ips {
		for _, port := range []int{p.front, p.ready, p.control, p.internal, p.internal + 1} {
			ln, err := net.Listen("tcp4", at(ip, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
		u, err := net.ListenPacket("udp4", at(ip, p.internal))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

func (w *world) addHost(name, zone, ip string, p ports, seeds []string) *host {
	h := &host{w: w, name: name, zone: zone, ip: ip, ports: p, seeds: seeds, settings: filepath.Join(w.dir, name+".yaml")}
	h.writeSettings()
	w.hosts = append(w.hosts, h)
	return h
}

// writeSettings writes the settings file in the form of the page on deployment.
func (h *host) writeSettings() {
	var b bytes.Buffer
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("node_name: %q\nrole: \"entry\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"", h.name)
	p("ip: %q\nzone: %q\nregion: \"bagmati\"\nzones:", h.ip, h.zone)
	for _, z := range []string{"teku", "balaju", "thimi", "patan"} {
		p("  %s: \"bagmati\"", z)
	}
	p("listen:\n  front: %q\n  ready: %q\n  control: %q", at(h.ip, h.ports.front), at(h.ip, h.ports.ready), at(h.ip, h.ports.control))
	p("internal_port_range:\n  - %d\n  - %d\nseeds:", h.ports.internal, h.ports.internal+15)
	for _, s := range h.seeds {
		p("  - %q", s)
	}
	p("bootstrap: true\nloss_counts: false\nlimits:\n  cpu_share: 0.4\n  cores: 1\n  memory_mb: 134\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0")
	p("data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200")
	p("fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 0")
	p("bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  stable_window_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8")
	p("  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  max_skew_ms: 5000\n  strict_revoke: true\n  revoke_ms: 5000")
	p("  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 54\n  quota_window_s: 8\n  quota_overage: 0.25\n  quota_slack: 190000")
	p("  recovery_s: 12\n  transit_ms: 120\n  retry_after_s: 4.6\n  require_fence: true\n  lease_ms: %d\n  thaw_ms: 300", leaseMS)
	p("platform:\n  address: %q\n  form: \"read\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000", h.w.store.addr())
	must(os.WriteFile(h.settings, b.Bytes(), 0o600))
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(h.w.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MULBERRYSTREAM_NODE_FILE=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	h.cmd, h.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}(h.ended)
	h.w.record("start    %s, process %d", h.name, cmd.Process.Pid)
}

// alive reports whether the process runs.
func (h *host) alive() bool {
	if h.cmd == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	if h.alive() {
		_ = h.cmd.Process.Kill()
		<-h.ended
		h.w.record("killed   %s", h.name)
	}
}

func (h *host) log() string {
	data, _ := os.ReadFile(filepath.Join(h.w.dir, h.name+".log"))
	return string(data)
}

// waitReady waits until a host says that it is ready.
func (h *host) waitReady() {
	for range 300 {
		resp, err := http.Get("http://" + at(h.ip, h.ports.ready) + "/v1/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				h.w.record("ready    %s", h.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	must(fmt.Errorf("%s does not become ready: %s", h.name, strings.TrimSpace(h.log())))
}
