//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	memoryMB     = 112 // memory_mb of most hosts of the deployment
	storms       = 20
	stormsEvery  = 4 * time.Second
	restartAfter = 500 * time.Millisecond
	callers      = 4
	bookingTime  = 300 * time.Millisecond
	enough       = 3 // ends of one host's processes that break the rule
)

// residentMB returns the memory of a process in RAM, without that of files such as its program.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
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

// clients send bookings one after the other.
type clients struct {
	mu                  sync.Mutex
	served, cut, nobody int
}

func (c *clients) run(w *world, number int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("booking-%d-%d", number+1, i+1)
		status, _, _, err := w.postTo(w.hosts[(number+i)%len(w.hosts)], "/post/2f", id)
		c.mu.Lock()
		switch {
		case status == http.StatusOK && err == nil:
			c.served++
		case errors.Is(err, syscall.ECONNREFUSED):
			c.nobody++
		case status != http.StatusServiceUnavailable:
			c.cut++
			w.note("%s is cut off: status %d, %v", id, status, err)
		}
		c.mu.Unlock()
		if status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// memory lets configurations with many routes follow each other.
func memory(w *world, trouble bool) error {
	w.memoryMB = memoryMB
	w.store.KeepHistory(history)
	data, err := json.Marshal(grownConfig(1, "app", 2*manyRoutes))
	if err != nil {
		return err
	}
	w.note("a configuration has %d bytes", len(data))
	w.store.PutBytes("op/config", data)
	for i := range 2 {
		id := fmt.Sprintf("i-app-%d", i+1)
		s, err := platformtest.NewRawServer(id, "app", "", func(c net.Conn, r *http.Request) {
			attempt := r.Header.Get("X-Attempt-Id")
			if r.Header.Get("X-Expect-Instance") != id {
				reply(c, attempt, http.StatusMisdirectedRequest, "")
				return
			}
			time.Sleep(bookingTime)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed-by-%s\r\nContent-Length: 6\r\n\r\nbooked", attempt, id)
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
	var bookings clients
	for i := range callers {
		wg.Go(func() { bookings.run(w, i, stop) })
	}
	version := 1
	for i := range storms {
		begin := time.Now()
		for range versions {
			version += 3
			if trouble {
				data, err := json.Marshal(grownConfig(version, "app", 2*manyRoutes))
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
	w.note("%d bookings served, %d cut off while they ran, %d found no host", bookings.served, bookings.cut, bookings.nobody)
	often := 0
	for _, p := range platforms {
		if p.ends >= enough {
			often++
		}
	}
	if often >= 2 {
		return fmt.Errorf("%w: the processes of %d hosts ended %d times or more, as their memory was over the limit; %d bookings were cut off", errBroken, often, enough, bookings.cut)
	}
	return nil
}
