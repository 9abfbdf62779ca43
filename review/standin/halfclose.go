//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	leaversPerTen = 3 // of ten clients, as many leave as a give_up of share 0.3 has
	requestsEach  = 40
)

func init() { cases["half-close"] = halfClose }

// halfClose lets three clients in ten leave before their deadline. They close their sending
// side and read on until the host closes the connection.
func halfClose(w *world, trouble bool) []string {
	ips := []string{"127.0.71.1", "127.0.72.1"}
	p := freePorts(ips)
	seeds := []string{at(ips[0], p.control), at(ips[1], p.control)}
	w.store.put("op/config", config(3))
	w.addBackend("i-app1", "counter-app", "teku", "", 6)
	w.addBackend("i-app2", "counter-app", "balaju", "", 6)
	w.addBackend("i-lm1", "inspect-lm", "teku", "prefill", 128)
	w.addBackend("i-lm2", "inspect-lm", "teku", "decode", 128)
	w.addBackend("i-lm3", "inspect-lm", "balaju", "decode", 128)
	w.addHost("front-teku-1", "teku", ips[0], p, seeds).start()
	w.addHost("front-balaju-1", "balaju", ips[1], p, seeds).start()
	for _, h := range w.hosts {
		h.waitReady()
	}
	time.Sleep(4 * time.Second) // both are in touch

	var wg sync.WaitGroup
	results := make(chan result, 2*requestsEach)
	for i := range requestsEach {
		leaves := trouble && i%10 < leaversPerTen
		post := call{id: fmt.Sprintf("%08x%08x", 0xa0000000+i, i), method: http.MethodPost, path: "/puxa403/2f", deadline: time.Second}
		verdict := call{id: fmt.Sprintf("%08x%08x", 0xb0000000+i, i), method: http.MethodPost, path: "/lohu930/2f", usage: verdictUsage, deadline: 14 * time.Second}
		if leaves {
			post.leaveAfter, verdict.leaveAfter = 75*time.Millisecond, 450*time.Millisecond
		}
		for _, c := range []call{post, verdict} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				results <- w.do(w.hosts[i%len(w.hosts)], c)
			}()
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	close(results)
	var broken []string
	for r := range results {
		switch {
		case r.status >= 200 && r.status < 300 && r.signature == "":
			broken = append(broken, fmt.Sprintf("MIXED: %s got %d without a signature, and %d bytes", r.id, r.status, len(r.body)))
		case r.usage != "" && r.status == http.StatusOK && r.complete && strings.Count(r.body, "\n\n") < events(r.usage):
			broken = append(broken, fmt.Sprintf("ORDER: %s ended as complete after %d of %d events", r.id, strings.Count(r.body, "\n\n"), events(r.usage)))
		case r.leaveAfter == 0 && (r.status != http.StatusOK || !r.complete):
			broken = append(broken, fmt.Sprintf("a client that stayed was not served: %s got %d, %v", r.id, r.status, r.err))
		}
	}
	return broken
}
