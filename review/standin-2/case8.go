//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	postsPerSecond = 40
	postSeconds    = 11
	greyFrom       = 2 * time.Second
	greyFor        = 6500 * time.Millisecond
	greyShare      = 9 // of 20 requests that the grey replica runs it fails: 0.45
)

// failedAnswer sends unsafe requests while one of the plain replicas fails part of what it runs
// and answers 503 without X-Not-Executed.
func failedAnswer(s *scene) (verdict, error) {
	var grey atomic.Bool
	var count atomic.Int64
	var replicas []*replica
	handle := func(r *replica, c net.Conn, q *http.Request) {
		x := r.begin(q)
		time.Sleep(30 * time.Millisecond)
		r.end(x)
		if r.id == "app-0" && grey.Load() && count.Add(1)%20 < greyShare {
			s.record.add("replica %s has run %s and answers 503, without X-Not-Executed", r.id, x.ID)
			r.reply(c, http.StatusServiceUnavailable, "X-Attempt-Id: "+x.ID+"\r\n", "")
			return
		}
		r.reply(c, http.StatusOK, signed(x.ID), "booked "+x.ID)
	}
	for i := range 8 {
		r, err := newReplica(fmt.Sprint("app-", i), "app", "", zoneOf(i), handle)
		if err != nil {
			return verdict{}, err
		}
		replicas = append(replicas, r)
	}
	if err := s.publish(replicas); err != nil {
		return verdict{}, err
	}
	if err := s.startAll(); err != nil {
		return verdict{}, err
	}
	if s.trouble {
		time.AfterFunc(greyFrom, func() { grey.Store(true) })
		time.AfterFunc(greyFrom+greyFor, func() { grey.Store(false) })
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	attempts := map[string]answer{}
	bookings := map[int][]string{}
	tick := time.NewTicker(time.Second / postsPerSecond)
	defer tick.Stop()
	for n := range postsPerSecond * postSeconds {
		<-tick.C
		wg.Go(func() {
			left := time.Now().Add(time.Second)
			for try := range 2 { // the clients retry once
				q := request{id: fmt.Sprintf("b%d-%d", n, try), path: "/post/1", body: fmt.Sprint("refund ", n), deadline: time.Until(left)}
				a := s.fronts[(n+try)%len(s.fronts)].send(q)
				s.record.add("client gets %d for %s (signature %q, error %v)", a.status, q.id, a.header.Get("X-Response-Signature"), a.err)
				mu.Lock()
				attempts[q.id] = a
				bookings[n] = append(bookings[n], q.id)
				mu.Unlock()
				if !promises(a.status) || time.Until(left) < 2*a.retryAfter {
					return
				}
				time.Sleep(a.retryAfter)
			}
		})
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	runs := func(id string) (n int) {
		for _, r := range replicas {
			n += len(r.runsOf(id))
		}
		return n
	}
	v, doubled, served := verdict{}, 0, 0
	for id, a := range attempts {
		if a.status == http.StatusOK {
			served++
		}
		if promises(a.status) && runs(id) > 0 {
			v.breaks++
			s.record.add("REFUSED: %s was answered %d and has run %d time(s)", id, a.status, runs(id))
		}
	}
	for _, ids := range bookings {
		n := 0
		for _, id := range ids {
			n += runs(id)
		}
		if n > 1 {
			doubled++
		}
	}
	if served < postsPerSecond*postSeconds/2 {
		return v, fmt.Errorf("only %d of %d requests were served", served, postsPerSecond*postSeconds)
	}
	v.summary = fmt.Sprintf("%d attempts, %d answered with success, %d answered 503 although they had run, %d bookings run twice",
		len(attempts), served, v.breaks, doubled)
	return v, nil
}

// publish writes the configuration and the entries of replicas to the store.
func (s *scene) publish(replicas []*replica) error {
	for _, r := range replicas {
		if err := s.store.Put("servers/"+r.id, r.entry("ready")); err != nil {
			return err
		}
	}
	return s.store.Put("op/config", platformtest.Config(3, platformtest.Key))
}
