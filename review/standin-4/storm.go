package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// slowLinkMbps is the bandwidth of the links of small machines.
const slowLinkMbps = 10

// stormCase writes configurations in quick succession for hosts with links of slowLinkMbps. The
// last one moves the route /open/ to another service. Without the disruption, only the last one is
// written.
func stormCase(w *world, trouble bool) (int, string, error) {
	w.linkMbps = slowLinkMbps
	w.store.put("op/config", largeConfiguration(1, oldService))
	if err := startDesk(w, "accra-a", "accra-b", "accra-c"); err != nil {
		return 0, "", err
	}
	b := newBalancer(w)
	defer b.stop()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	sent, keyed := &sentList{}, newCounts()
	clients.Add(2)
	go func() {
		defer clients.Done()
		sendOpen(w, b, stop, &clients, sent)
	}()
	go func() {
		defer clients.Done()
		sendKeyed(w, b, stop, &clients, keyed)
	}()
	time.Sleep(stableWindow)

	version := 2
	for begin := time.Now(); trouble && time.Since(begin) < stormTime; version++ {
		time.Sleep(time.Until(begin.Add(time.Duration(version-2) * stormGap)))
		w.store.put("op/config", largeConfiguration(version, oldService))
		w.record.printf("configuration %d acknowledged", version)
	}
	acked := w.store.put("op/config", largeConfiguration(version, newService))
	w.record.printf("configuration %d acknowledged, /open/ is served by %s", version, newService)
	time.Sleep(watchedTime)
	close(stop)
	clients.Wait()

	broken, judged, last := 0, 0, time.Duration(0)
	for _, s := range sent.list {
		if s.at.Before(acked.Add(configTime)) {
			continue
		}
		if judged++; !strings.Contains(s.body, " of "+oldService+" ") {
			continue
		}
		broken, last = broken+1, s.at.Sub(acked)
		w.record.printf("BROKEN (CONFIG): %s, sent to %s %d ms after the acknowledgement, was run by %s", s.id, s.host, last.Milliseconds(), oldService)
	}
	if judged < 100 {
		return 0, "", fmt.Errorf("only %d requests to judge", judged)
	}
	verdict := fmt.Sprintf("%d of %d requests without a key were run by the old service, the last one %v after the acknowledgement; requests with a key: %s",
		broken, judged, last.Round(time.Millisecond), keyed)
	if broken == 0 {
		return ruleHeld, verdict, nil
	}
	return ruleBroken, verdict, nil
}

// sendKeyed sends requests with a key until stop is closed.
func sendKeyed(w *world, b *balancer, stop <-chan struct{}, clients *sync.WaitGroup, counts *counts) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		h, id := b.pick("accra-a"), newID()
		clients.Add(1)
		go func() {
			defer clients.Done()
			a := send(h.front, "GET", "/branch0001/1", id, 1500*time.Millisecond, map[string]string{"Authorization": "Bearer " + apiKey}, "")
			counts.add(a)
			w.record.printf("client of %s with a key, sent to %s, gets %d, signed %v, error %v", id, h.name, a.status, a.signed, a.err)
		}()
	}
}
