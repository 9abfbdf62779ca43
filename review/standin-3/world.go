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

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

func newWorld(relay, record string) (*world, error) {
	w := &world{relay: relay, began: time.Now()}
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
		h.UsePorts(w.hosts[0].FirstPort)
		if err := h.WriteSettings(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		log, err := os.Create(filepath.Join(w.dir, h.Name+".log"))
		if err != nil {
			return err
		}
		cmd := exec.Command(w.relay)
		cmd.Env = []string{"MULBERRYSTREAM_NODE_FILE=" + h.SettingsPath, "PATH=" + os.Getenv("PATH")}
		cmd.Stdout, cmd.Stderr = log, log
		if err := w.start(cmd); err != nil {
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

func (w *world) start(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	w.procs = append(w.procs, cmd)
	return nil
}

func (w *world) close() {
	for _, p := range w.procs {
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
