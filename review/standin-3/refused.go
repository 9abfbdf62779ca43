package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	greyServers = 7    // of which one is grey
	greyShare   = 0.45 // of its requests
	greyFor     = 6500 * time.Millisecond
	bookings    = 1000
)

// refused lets one server fail a part of its requests with its own 503 after it has run them.
func refused(w *world, trouble bool) error {
	if err := w.store.Put("op/config", platformtest.Config(1, platformtest.Key)); err != nil {
		return err
	}
	var mu sync.Mutex
	ran := map[string]int{}
	rnd := rand.New(rand.NewPCG(1, 1))
	begin := time.Now().Add(time.Hour)
	for i := range greyServers {
		id := fmt.Sprintf("i-app-%d", i+1)
		s, err := platformtest.NewRawServer(id, "app", "", func(c net.Conn, r *http.Request) {
			attempt := r.Header.Get("X-Attempt-Id")
			if r.Header.Get("X-Expect-Instance") != id {
				reply(c, attempt, http.StatusMisdirectedRequest, "")
				return
			}
			mu.Lock()
			ran[attempt]++
			failed := trouble && i == 0 && time.Since(begin) > 0 && time.Since(begin) < greyFor && rnd.Float64() < greyShare
			mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			if failed {
				w.note("server %s has run %s and fails it with its own 503", id, attempt)
				body := "booked, but the receipt could not be printed"
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed-by-%s\r\nContent-Length: %d\r\n\r\n%s", attempt, id, len(body), body)
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed-by-%s\r\nContent-Length: 6\r\n\r\nbooked", attempt, id)
		})
		if err != nil {
			return err
		}
		if err := w.store.Put("servers/"+id, s.Entry("teku", "ready")); err != nil {
			return err
		}
	}
	if err := w.startHosts("teku"); err != nil {
		return err
	}
	mu.Lock()
	begin = time.Now()
	mu.Unlock()
	broken, doubled, served := 0, 0, 0
	var wg sync.WaitGroup
	for i := range bookings {
		wg.Go(func() {
			runs := 0
			for try := 1; try <= 2; try++ {
				attempt := fmt.Sprintf("booking-%d-try-%d", i+1, try)
				status, _, _, err := w.post("/post/2f", attempt)
				mu.Lock()
				n := ran[attempt]
				runs += n
				if status != http.StatusOK {
					w.note("the client gets %d for %s, which has run %d times (%v)", status, attempt, n, err)
				} else {
					served++
				}
				promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
				if promised && n > 0 {
					broken++
				}
				mu.Unlock()
				if !promised {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			if runs > 1 {
				mu.Lock()
				doubled++
				mu.Unlock()
				w.note("booking-%d was run %d times: the client came back after 503", i+1, runs)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	w.note("%d of %d bookings served, %d requests answered 429 or 503 had run, %d bookings were run twice", served, bookings, broken, doubled)
	if broken > 0 {
		return fmt.Errorf("%w: %d requests that may run at most once were answered 503 and had run, %d bookings were run twice", errBroken, broken, doubled)
	}
	if served < bookings*9/10 {
		return fmt.Errorf("only %d of %d bookings served", served, bookings)
	}
	return nil
}
