//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	drainTime = 2 * time.Second        // drain_ms
	servesOn  = 6 * time.Second        // of the leaving server: drain_ms "and a little longer (at times many seconds)"
	strayAt   = 500 * time.Millisecond // after the removal, when the other writer's entry appears
	workTime  = 150 * time.Millisecond
)

// ghost removes the entry of a server that leaves, and lets another writer put one under its id
// that lacks fields, and so names no server to use.
func ghost(w *world, trouble bool) error {
	if err := w.store.Put("op/config", platformtest.Config(1, platformtest.Key)); err != nil {
		return err
	}
	var mu sync.Mutex
	gone := time.Time{} // acknowledgement of the removal
	late := 0
	var leaving *platformtest.RawServer
	for i := range 3 {
		id := fmt.Sprintf("i-app-%d", i+1)
		s, err := platformtest.NewRawServer(id, "app", "", func(c net.Conn, r *http.Request) {
			attempt := r.Header.Get("X-Attempt-Id")
			if r.Header.Get("X-Expect-Instance") != id {
				reply(c, attempt, http.StatusMisdirectedRequest, "")
				return
			}
			mu.Lock()
			after := time.Since(gone)
			if i == 1 && !gone.IsZero() && after > drainTime {
				late++
				w.note("server %s, which left the list %.3f s ago, runs %s", id, after.Seconds(), attempt)
			}
			mu.Unlock()
			time.Sleep(workTime)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed-by-%s\r\nContent-Length: 6\r\n\r\nbooked", attempt, id)
		})
		if err != nil {
			return err
		}
		if err := w.store.Put("servers/"+id, fullEntry(s.Entry("teku", "ready"))); err != nil {
			return err
		}
		if i == 1 {
			leaving = s
		}
	}
	if err := w.startHosts("teku"); err != nil {
		return err
	}
	time.AfterFunc(time.Second, func() {
		w.store.Delete("servers/" + leaving.ID)
		mu.Lock()
		gone = time.Now()
		mu.Unlock()
		w.note("the entry of %s is removed; it serves for %s more", leaving.ID, servesOn)
		time.AfterFunc(servesOn, func() {
			w.note("the process of %s ends", leaving.ID)
			leaving.Close()
		})
		if !trouble {
			return
		}
		time.AfterFunc(strayAt, func() {
			stray := fullEntry(leaving.Entry("teku", "ready"))
			for _, field := range []string{"version", "sequence", "cold_remaining_ms", "born"} {
				delete(stray, field)
			}
			w.note("another writer puts an entry under %s without the fields version, sequence and cold_remaining_ms: %v", leaving.ID, w.store.Put("servers/"+leaving.ID, stray))
		})
	})
	served, failed := 0, 0
	var wg sync.WaitGroup
	for i := range 450 {
		wg.Go(func() {
			attempt := fmt.Sprintf("booking-%d", i+1)
			status, _, _, err := w.post("/post/2f", attempt)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				served++
				return
			}
			failed++
			w.note("the client gets %d for %s (%v)", status, attempt, err)
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	w.note("%d bookings served, %d failed; %d reached the leaving server later than %s after its removal", served, failed, late, drainTime)
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached a server later than %s after it had left the list, %d bookings failed", errBroken, late, drainTime, failed)
	}
	if served < 440 {
		return fmt.Errorf("only %d of 450 bookings served", served)
	}
	return nil
}

// fullEntry adds the field that the fake leaves out, so that an entry has all that the pages name.
func fullEntry(e map[string]any) map[string]any {
	e["cold_remaining_ms"] = 0
	return e
}
