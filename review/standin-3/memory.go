package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	memoryMB     = 112 // memory_mb of most hosts of the deployment
	storms       = 32
	stormsEvery  = 3000 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	enough       = 3 // ends of one host's processes that break the rule
)

// residentMB returns the memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}

// platform does to the processes of a host what the users' platform does: it kills one that
// exceeds its memory, and starts another one after a short delay.
type platform struct {
	w    *world
	host *platformtest.Host

	mu   sync.Mutex
	ends int
	peak int
}

func (p *platform) run(stop <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		p.w.mu.Lock()
		cmd := p.w.procOf[p.host.Name]
		p.w.mu.Unlock()
		mb := residentMB(cmd.Process.Pid)
		p.mu.Lock()
		p.peak = max(p.peak, mb)
		p.mu.Unlock()
		if mb <= memoryMB {
			continue
		}
		_ = cmd.Process.Kill()
		_, _ = cmd.Process.Wait()
		p.mu.Lock()
		p.ends++
		p.mu.Unlock()
		p.w.note("%s has %d MB, more than memory_mb (%d): the platform kills its process", p.host.Name, mb, memoryMB)
		time.Sleep(restartAfter)
		if _, err := p.w.startHost(p.host); err != nil {
			p.w.note("%s does not start: %v", p.host.Name, err)
			return
		}
	}
}

// memory lets configurations with many routes follow each other.
func memory(w *world, trouble bool) error {
	w.memoryMB = memoryMB
	w.store.KeepHistory(history)
	data, err := json.Marshal(grownConfig(1, "app"))
	if err != nil {
		return err
	}
	w.note("a configuration has %d bytes", len(data))
	w.store.PutBytes("op/config", data)
	for i := range 2 {
		id := fmt.Sprintf("i-app-%d", i+1)
		s, err := platformtest.NewRawServer(id, "app", "", func(c net.Conn, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			reply(c, r.Header.Get("X-Attempt-Id"), http.StatusInternalServerError, "")
		})
		if err != nil {
			return err
		}
		if err := w.store.Put("servers/"+id, fullEntry(s.Entry("teku", "ready"))); err != nil {
			return err
		}
	}
	if err := w.startHosts("teku", "balaju"); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var platforms []*platform
	for _, h := range w.hosts {
		p := &platform{w: w, host: h}
		platforms = append(platforms, p)
		wg.Go(func() { p.run(stop) })
	}
	version := 1
	for i := range storms {
		begin := time.Now()
		for range versions {
			version += 3
			if trouble {
				data, err := json.Marshal(grownConfig(version, "app"))
				if err != nil {
					return err
				}
				w.store.PutBytes("op/config", data)
			}
			time.Sleep(versionGap)
		}
		for _, p := range platforms {
			p.mu.Lock()
			w.note("after storm %d (version %d): %s has had a peak of %d MB, its processes have ended %d times", i+1, version, p.host.Name, p.peak, p.ends)
			p.mu.Unlock()
		}
		time.Sleep(stormsEvery - time.Since(begin))
	}
	close(stop)
	wg.Wait()
	often := 0
	for _, p := range platforms {
		if p.ends >= enough {
			often++
		}
	}
	if often >= 2 {
		return fmt.Errorf("%w: the processes of %d hosts ended %d times or more, as their memory was over the limit", errBroken, often, enough)
	}
	return nil
}
