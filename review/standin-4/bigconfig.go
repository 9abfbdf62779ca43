//go:build review

package main

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	configTime   = 2 * time.Second // config_apply_ms of the settings
	stableWindow = 3 * time.Second // stable_window_ms
	// awayTime is for how long the store turns some hosts away.
	awayTime = 5 * time.Second
	// stormTime and stormGap are those of the quick succession of configurations.
	stormTime, stormGap = 4 * time.Second, 330 * time.Millisecond
	// watchedTime is for how long requests are sent after that.
	watchedTime = 22 * time.Second
	// manyRoutes is the number of routes by which the configuration has grown, the largest that the
	// site files name for big_config.
	manyRoutes = 1768
)

// oldService and newService answer /open/ before and after the change.
const oldService, newService = "refill-desk", "refill-desk-2"

// startDesk starts two replicas of each of these services and hosts in the given zones.
func startDesk(w *world, zones ...string) error {
	for i, service := range []string{oldService, oldService, newService, newService} {
		if _, err := startReplica(w, fmt.Sprintf("i-%010x", 0xb0e1f00000+i*7919), service, "", zones[0]); err != nil {
			return err
		}
	}
	if err := w.addHosts(zones...); err != nil {
		return err
	}
	for _, h := range w.hosts {
		if err := h.start(w); err != nil {
			return err
		}
	}
	return w.waitReady(15 * time.Second)
}

// bigConfigCase writes large configurations in quick succession while the store turns two hosts
// away. Once these hosts are in touch again, they must handle requests as the newest version says.
func bigConfigCase(w *world, trouble bool) (int, string, error) {
	w.store.put("op/config", largeConfiguration(1, oldService))
	if err := startDesk(w, "accra-a", "accra-a", "accra-a", "accra-b", "accra-b", "accra-c"); err != nil {
		return 0, "", err
	}
	b := newBalancer(w)
	defer b.stop()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	sent := &sentList{}
	clients.Add(1)
	go func() {
		defer clients.Done()
		sendOpen(w, b, stop, &clients, sent)
	}()
	time.Sleep(stableWindow)

	away := w.hosts[:2]
	begin := time.Now()
	if trouble {
		for _, h := range away {
			h.door.setBusy(true)
			w.record.printf("the store turns %s away", h.name)
		}
	}
	var acked time.Time
	for version := 2; time.Since(begin) < stormTime; version++ {
		time.Sleep(time.Until(begin.Add(time.Duration(version-2) * stormGap)))
		at := w.store.put("op/config", largeConfiguration(version, newService))
		if version == 2 {
			acked = at
		}
		w.record.printf("configuration %d acknowledged, /open/ is served by %s", version, newService)
	}
	time.Sleep(time.Until(begin.Add(awayTime)))
	for _, h := range away {
		h.door.setBusy(false)
	}
	back := time.Now()
	w.record.printf("the store serves all hosts again")
	time.Sleep(watchedTime)
	close(stop)
	clients.Wait()

	inForce := acked.Add(configTime)
	inTouch := back.Add(stableWindow)
	if !trouble {
		inTouch = begin
	}
	broken, judged, first, last := 0, 0, time.Duration(0), time.Duration(0)
	for _, s := range sent.list {
		if s.at.Before(inForce) || s.at.Before(inTouch) {
			continue
		}
		judged++
		if !strings.Contains(s.body, " of "+oldService+" ") {
			continue
		}
		last = s.at.Sub(back)
		if broken++; broken == 1 {
			first = last
		}
		w.record.printf("BROKEN (CONFIG): %s, sent to %s %d ms after the first acknowledgement and %d ms after the store served it again, was run by %s",
			s.id, s.host, s.at.Sub(acked).Milliseconds(), s.at.Sub(back).Milliseconds(), oldService)
	}
	if judged < 100 {
		return 0, "", fmt.Errorf("only %d requests to judge", judged)
	}
	verdict := fmt.Sprintf("%d of %d requests to machines in touch were run by the old service", broken, judged)
	if broken == 0 {
		return ruleHeld, verdict, nil
	}
	return ruleBroken, verdict + fmt.Sprintf(", from %v to %v after the store served all again", first.Round(time.Millisecond), last.Round(time.Millisecond)), nil
}

// largeConfiguration returns a configuration with many routes, in which a service answers /open/.
func largeConfiguration(version int, service string) map[string]any {
	routes := []any{
		route("r-open", "/open/", "safe", service, 800, 300, 2, true),
		route("r-ledger", "/ledger/", "stream", "mulberry-lm", 14000, 900, 1, false),
	}
	for i := range manyRoutes {
		r := route(fmt.Sprintf("r-branch%04d", i), fmt.Sprintf("/branch%04d/", i), "safe", oldService, 800, 300, 2, false)
		r["sticky"], r["resumable"] = false, false
		r["traffic_split"] = []any{
			map[string]any{"service": oldService, "weight": 90}, map[string]any{"service": newService, "weight": 10},
		}
		routes = append(routes, r)
	}
	return configuration(version, routes)
}

// sentRequest is a request and its answer.
type sentRequest struct {
	at             time.Time
	id, host, body string
}

type sentList struct {
	mu   sync.Mutex
	list []sentRequest
}

// sendOpen sends requests without a key from clients in the first zone until stop is closed.
func sendOpen(w *world, b *balancer, stop <-chan struct{}, clients *sync.WaitGroup, sent *sentList) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		h, id := b.pick("accra-a"), newID()
		clients.Add(1)
		go func() {
			defer clients.Done()
			at := time.Now()
			a := send(h.front, "GET", "/open/1", id, 1500*time.Millisecond, nil, "")
			w.record.printf("client of %s, sent to %s, gets %d, signed %v: %q, error %v", id, h.name, a.status, a.signed, a.body, a.err)
			sent.mu.Lock()
			defer sent.mu.Unlock()
			sent.list = append(sent.list, sentRequest{at: at, id: id, host: h.name, body: a.body})
		}()
	}
}

// balancer picks a host for each new connection as the platform does, see PROTOCOL.md.
type balancer struct {
	mu     sync.Mutex
	hosts  []*entryHost
	misses map[*entryHost]int
	done   chan struct{}
	rng    *rand.Rand
}

func newBalancer(w *world) *balancer {
	b := &balancer{hosts: w.hosts, misses: map[*entryHost]int{}, done: make(chan struct{}), rng: rand.New(rand.NewSource(1))}
	for _, h := range w.hosts {
		go b.ask(w, h)
	}
	return b
}

func (b *balancer) stop() { close(b.done) }

// ask asks a host once a second whether it is ready. Two misses take it out of rotation.
func (b *balancer) ask(w *world, h *entryHost) {
	for {
		ready := h.isReady()
		b.mu.Lock()
		before := b.misses[h] >= 2
		b.misses[h]++
		if ready {
			b.misses[h] = 0
		}
		if after := b.misses[h] >= 2; after != before {
			w.record.printf("balancer: %s out of rotation: %v", h.name, after)
		}
		b.mu.Unlock()
		select {
		case <-b.done:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick picks a host for a client of a zone. If fewer than half of the zone's hosts are in
// rotation, all of them are used; if none is, those of the other zones.
func (b *balancer) pick(zone string) *entryHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := func(h *entryHost) bool { return b.misses[h] < 2 }
	var all, ready, others []*entryHost
	for _, h := range b.hosts {
		switch {
		case h.zone != zone && in(h):
			others = append(others, h)
		case h.zone == zone && in(h):
			all, ready = append(all, h), append(ready, h)
		case h.zone == zone:
			all = append(all, h)
		}
	}
	list := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		list = others
	case 2*len(ready) < len(all):
		list = all
	}
	list = slices.Clone(list)
	return list[b.rng.Intn(len(list))]
}
