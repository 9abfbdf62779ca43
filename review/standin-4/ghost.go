//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// leaverServes is for how long a replica serves on after its entry was removed.
	leaverServes = 6 * time.Second
	// ghostAfter is when the other writer writes under the id of the replica.
	ghostAfter = 500 * time.Millisecond
	bookWork   = 60 * time.Millisecond
)

// ghostCase takes a replica of a plain service away. Another writer writes an entry under its id
// that lacks fields, and so names no replica.
func ghostCase(w *world, trouble bool) (int, string, error) {
	const service = "refill-desk"
	zones := []string{"accra-a", "accra-b", "accra-c"}
	w.store.put("op/config", configuration(1, []any{route("r-book", "/book/", "unsafe", service, 800, 300, 1, false)}))
	var leaver *replica
	for i, zone := range zones {
		s, err := startReplica(w, fmt.Sprintf("i-%010x", 0xc0e1f00000+i*7919), service, "", zone)
		if err != nil {
			return 0, "", err
		}
		s.work, leaver = bookWork, s
	}
	if err := w.addHosts(zones...); err != nil {
		return 0, "", err
	}
	for _, h := range w.hosts {
		if err := h.start(w); err != nil {
			return 0, "", err
		}
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return 0, "", err
	}
	time.Sleep(3 * time.Second) // all are in touch
	stop := make(chan struct{})
	var clients sync.WaitGroup
	counts := newCounts()
	clients.Add(1)
	go func() {
		defer clients.Done()
		sendBookings(w, stop, &clients, counts)
	}()
	time.Sleep(3 * time.Second)
	leaver.leave(leaverServes)
	time.Sleep(ghostAfter)
	if trouble {
		w.store.put("servers/"+leaver.id, map[string]any{
			"service": service, "address": leaver.addr, "zone": leaver.zone, "slots": 6, "state": "ready",
		})
		w.record.printf("another writer writes servers/%s, without version, cold_remaining_ms and sequence", leaver.id)
	}
	time.Sleep(leaverServes + 3*time.Second)
	close(stop)
	clients.Wait()
	return judgeDrain(w, counts)
}

// sendBookings sends requests that may run once until stop is closed.
func sendBookings(w *world, stop <-chan struct{}, clients *sync.WaitGroup, counts *counts) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		h, id := w.hosts[n%len(w.hosts)], newID()
		clients.Add(1)
		go func() {
			defer clients.Done()
			w.record.printf("client sends %s to %s", id, h.name)
			a := send(h.front, "POST", "/book/1", id, 1500*time.Millisecond, map[string]string{"Authorization": "Bearer " + apiKey}, strings.Repeat("b", 600))
			counts.add(a)
			w.record.printf("client of %s gets %d, signed %v, error %v", id, a.status, a.signed, a.err)
		}()
	}
}
