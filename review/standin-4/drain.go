//go:build review

package main

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second // drain_ms of the settings
	// exitAfter is when a leaving replica ends, a little longer than drainTime after its report.
	exitAfter = drainTime + time.Second
	// promptTokens and outputTokens are the size of the requests.
	promptTokens, outputTokens = 29_000, 80
	streamDeadline             = 14 * time.Second
	meanPause                  = 280 * time.Millisecond // between requests

	// slowFactor is how many times longer a slow replica works, and slowTime for how long.
	slowFactor = 5.0
	slowTime   = 6500 * time.Millisecond
	slowPause  = 500 * time.Millisecond

	// drains is the number of replicas that are replaced, one each releaseGap.
	drains, releaseGap = 90, time.Second
)

// drainCase replaces decode replicas one after the other while a prefill replica is slow. No request may reach a replica later than drainTime after the
// store has acknowledged that it drains.
func drainCase(w *world, trouble bool) (int, string, error) {
	zones := []string{"accra-a", "accra-b", "accra-c"}
	w.store.put("op/config", configuration(1, []any{
		route("r-ledger", "/ledger/", "stream", "mulberry-lm", 14000, 900, 1, false),
	}))
	var prefill, decode []*replica
	next := 0
	add := func(stage, zone string) (*replica, error) {
		next++
		return startReplica(w, fmt.Sprintf("i-%010x", 0xa0e1f00000+next*7919), "mulberry-lm", stage, zone)
	}
	for i := range 7 {
		stage := "decode"
		if i < 4 {
			stage = "prefill"
		}
		s, err := add(stage, zones[i%3])
		if err != nil {
			return 0, "", err
		}
		if stage == "prefill" {
			prefill = append(prefill, s)
		} else {
			decode = append(decode, s)
		}
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
	time.Sleep(3 * time.Second) // the hosts find each other
	stop := make(chan struct{})
	var clients sync.WaitGroup
	counts := newCounts()
	clients.Add(1)
	go func() {
		defer clients.Done()
		sendStreams(w, stop, &clients, counts)
	}()
	time.Sleep(4 * time.Second)
	for begin, n := time.Now(), 0; n < drains; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * releaseGap)))
		if every := int((slowTime + slowPause) / releaseGap); trouble && n%every == 0 {
			prefill[n/every%len(prefill)].slow(slowFactor, slowTime)
		}
		old := decode[0]
		s, err := add("decode", old.zone)
		if err != nil {
			return 0, "", err
		}
		decode = append(decode[1:], s)
		old.drain(exitAfter)
	}
	close(stop)
	clients.Wait()
	return judgeDrain(w, counts)
}

// sendStreams sends requests until stop is closed, to one host after the other.
func sendStreams(w *world, stop <-chan struct{}, clients *sync.WaitGroup, counts *counts) {
	rng := rand.New(rand.NewSource(1))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanPause))):
		}
		h, id := w.hosts[n%len(w.hosts)], newID()
		clients.Add(1)
		go func() {
			defer clients.Done()
			w.record.printf("client sends %s to %s", id, h.name)
			a := send(h.front, "POST", "/ledger/1", id, streamDeadline, map[string]string{
				"Authorization": "Bearer " + apiKey, "X-Model": "m",
				"X-Token-Usage": fmt.Sprintf("%d,%d", promptTokens, outputTokens),
				"X-Prefix-Hash": fmt.Sprintf("%s:%d", id, promptTokens),
			}, strings.Repeat("x", 2000))
			counts.add(a)
			w.record.printf("client of %s gets %d, signed %v, whole %v, %d pieces, error %v", id, a.status, a.signed, a.complete, strings.Count(a.body, "id: "), a.err)
		}()
	}
}

// judgeDrain looks for requests that reached a replica too late.
func judgeDrain(w *world, counts *counts) (int, string, error) {
	late := 0
	for _, s := range w.replicas {
		for _, a := range s.arrivals {
			if a.state != "ready" && a.since > drainTime {
				late++
				w.record.printf("BROKEN (DRAIN): %s reaches %s %d ms after the store acknowledged its leaving", a.id, s.id, a.since.Milliseconds())
			}
		}
	}
	summary := fmt.Sprintf("%d requests reached a replica later than drain_ms after its leaving was acknowledged; clients: %s", late, counts)
	if counts.of["200 whole"] < 20 {
		return 0, "", fmt.Errorf("too few requests were served: %s", counts)
	}
	if late > 0 {
		return ruleBroken, summary, nil
	}
	return ruleHeld, summary, nil
}

// counts counts the answers that clients got.
type counts struct {
	mu sync.Mutex
	of map[string]int
}

func newCounts() *counts { return &counts{of: map[string]int{}} }

func (c *counts) add(a answer) {
	key := fmt.Sprint(a.status)
	switch {
	case a.status == 0:
		key = "no answer"
	case a.complete:
		key += " whole"
	default:
		key += " cut"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of[key]++
}

func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.of)
}
