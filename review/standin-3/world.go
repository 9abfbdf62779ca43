//go:build review

package main

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// world is one small deployment: a store, entry hosts and backend servers.
type world struct {
	relay string
	dir   string
	store *platformtest.Store
	// storeAddr is where the entry hosts reach the store; empty is directly.
	storeAddr string
	hosts     []*platformtest.Host
	procs     []*exec.Cmd
	// procOf holds the present process of each entry host.
	procOf map[string]*exec.Cmd
	// memoryMB is the memory limit of the entry hosts; 0 is that of the fake deployment.
	memoryMB int

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

func newWorld(relay, record string) (*world, error) {
	w := &world{relay: relay, began: time.Now(), procOf: map[string]*exec.Cmd{}}
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	w.record = os.Stdout
	if record != "" {
		if w.record, err = os.Create(record); err != nil {
			return nil, err
		}
	}
	w.store, err = platformtest.NewStore()
	return w, err
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// startHosts starts entry hosts and waits until they are ready.
func (w *world) startHosts(zones ...string) error {
	var seeds []string
	for i, zone := range zones {
		h, err := platformtest.NewHost(w.dir, fmt.Sprintf("front-%s-%d", zone, i+1), zone, i, cmp.Or(w.storeAddr, w.store.Addr()))
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, h.Control)
		}
	}
	for _, h := range w.hosts {
		h.Seeds = seeds
		h.MemoryMB = cmp.Or(w.memoryMB, h.MemoryMB)
		h.UsePorts(w.hosts[0].FirstPort)
		if err := h.WriteSettings(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if _, err := w.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := waitFor(10*time.Second, func() bool {
			resp, err := http.Get("http://" + h.Ready + "/v1/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}); err != nil {
			return fmt.Errorf("%s is not ready: %w", h.Name, err)
		}
	}
	w.note("%d entry hosts are ready", len(w.hosts))
	return nil
}

// startHost starts the process of an entry host.
func (w *world) startHost(h *platformtest.Host) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(w.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(w.relay)
	cmd.Env = []string{"MULBERRYSTREAM_NODE_FILE=" + h.SettingsPath, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	w.mu.Lock()
	w.procOf[h.Name] = cmd
	w.mu.Unlock()
	return cmd, w.start(cmd)
}

func (w *world) start(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs = append(w.procs, cmd)
	return nil
}

func (w *world) close() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	w.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

func waitFor(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("not within %s", limit)
}
