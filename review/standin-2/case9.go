//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	streamsPerSecond = 4
	streamSeconds    = 10
	events           = 30
	eventGap         = 30 * time.Millisecond
	// preemptedFor is how long a run that was preempted waits until it is read in again.
	preemptedFor = 2600 * time.Millisecond
	preemptAt    = 5  // event before which it is preempted
	preemptEvery = 10 // of the streams that begin
	// tolerated is how long two replicas may work on one request.
	tolerated = 400 * time.Millisecond
)

// movedStream sends streams that may be resumed. Some runs are preempted in the middle of
// their stream. The replicas are of those that don't drop a request when its connection closes.
func movedStream(s *scene) (verdict, error) {
	var mu sync.Mutex
	began := 0
	handle := func(r *replica, c net.Conn, q *http.Request) {
		x := r.begin(q)
		defer r.end(x)
		n := 1
		if _, err := fmt.Sscanf(x.Resume, "%d", &n); err == nil {
			n++
		}
		mu.Lock()
		preempted := false
		if x.Resume == "" {
			began++
			preempted = s.trouble && began%preemptEvery == 0
		}
		mu.Unlock()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", signed(x.ID))
		for ; n <= events; n++ {
			if preempted && n == preemptAt {
				s.record.add("replica %s preempts %s before event %d", r.id, x.ID, n)
				time.Sleep(preemptedFor)
				s.record.add("replica %s goes on with %s", r.id, x.ID)
			}
			e := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, x.ID)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e) // a closed connection does not end the run
			time.Sleep(eventGap)
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
	var replicas []*replica
	for i := range 6 {
		stage := "decode"
		if i%3 == 0 {
			stage = "prefill"
		}
		r, err := newReplica(fmt.Sprint("lm-", i), "lm", stage, zoneOf(i), handle)
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
	var wg sync.WaitGroup
	served := 0
	tick := time.NewTicker(time.Second / streamsPerSecond)
	defer tick.Stop()
	for n := range streamsPerSecond * streamSeconds {
		<-tick.C
		wg.Go(func() {
			q := request{id: fmt.Sprintf("c%04d", n), path: "/summary/1", body: "report", tokens: "5000,360", deadline: 14 * time.Second}
			a := s.fronts[n%len(s.fronts)].send(q)
			s.record.add("client gets %d for %s (complete %v, %d bytes, error %v)", a.status, q.id, a.complete, len(a.body), a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.complete && a.status == http.StatusOK {
				served++
			}
		})
	}
	wg.Wait()
	time.Sleep(preemptedFor)
	v := verdict{}
	for n := range streamsPerSecond * streamSeconds {
		id := fmt.Sprintf("c%04d", n)
		var runs []run
		for _, r := range replicas {
			runs = append(runs, r.runsOf(id)...)
		}
		for _, a := range runs {
			for _, b := range runs {
				if both := a.Ended.Sub(b.Began); a.Began.Before(b.Began) && both > tolerated {
					v.breaks++
					s.record.add("TWICE: %s goes on at %s after event %s, and %s still works on it %d ms later", id, b.Replica, b.Resume, a.Replica, both.Milliseconds())
				}
			}
		}
	}
	if served < streamsPerSecond*streamSeconds/2 {
		return v, fmt.Errorf("only %d of %d streams were served", served, streamsPerSecond*streamSeconds)
	}
	v.summary = fmt.Sprintf("%d streams, %d served whole, %d went on at another replica while the one before still worked on them",
		streamsPerSecond*streamSeconds, served, v.breaks)
	return v, nil
}
