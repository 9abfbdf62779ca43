//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	handleTrials  = 8
	prefillTime   = 90 * time.Millisecond // 5,000 tokens at 55 tokens in a ms
	restartTime   = 100 * time.Millisecond
	roundTrip     = time.Millisecond     // between zones
	transferSetup = 5 * time.Millisecond // of a transfer of KV cache
	handleTTL     = 500 * time.Millisecond
	othersAtOnce  = 16 // streams that begin once the prefill replica is back
	beat          = 1200 * time.Millisecond
)

// cache is the KV cache of a request at a prefill replica.
type cache struct {
	owner string
	until time.Time
}

// prefills is what the prefill replicas hold, by address.
type prefills struct {
	mu     sync.Mutex
	count  map[*replica]int // handles given by the process
	caches map[string]cache // by address and handle
	victim *replica         // has answered the first stream and crashed
	back   bool             // the victim has started again
	healed chan struct{}    // closed when the cut ends
	armed  bool
}

func (p *prefills) give(r *replica, owner string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[r]++
	h := fmt.Sprintf("h%d", p.count[r])
	p.caches[r.ln.Addr().String()+"/"+h] = cache{owner, time.Now().Add(handleTTL)}
	return h
}

// take takes a KV cache once.
func (p *prefills) take(source string) (owner string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.caches[source]
	delete(p.caches, source)
	return c.owner, ok && time.Now().Before(c.until)
}

// crash drops what a process knows: the next one counts anew.
func (p *prefills) crash(r *replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[r] = 0
	for s := range p.caches {
		if strings.HasPrefix(s, r.ln.Addr().String()+"/") {
			delete(p.caches, s)
		}
	}
}

// lateHandle cuts a prefill replica off from one entry host when it has answered a prefill; the
// replica crashes behind the cut and starts again. Other entry hosts send it their prompts.
func lateHandle(s *scene) (verdict, error) {
	p := &prefills{count: map[*replica]int{}, caches: map[string]cache{}}
	v, served, streams := verdict{}, 0, 0
	var mu sync.Mutex
	decode := func(r *replica, c net.Conn, q *http.Request) {
		id, source := q.Header.Get("X-Attempt-Id"), q.Header.Get("X-Kv-Source")
		owner := id
		if source != "" {
			time.Sleep(transferSetup)
			var ok bool
			if owner, ok = p.take(source); !ok {
				s.record.add("replica %s can't fetch %s for %s", r.id, source, id)
				r.reply(c, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\nX-Attempt-Id: "+id+"\r\n", "")
				return
			}
			s.record.add("replica %s goes on with %s from %s, the KV cache of %s", r.id, id, source, owner)
		}
		if owner != id {
			mu.Lock()
			v.breaks++
			mu.Unlock()
			s.record.add("MIXED: %s goes on from the handle of %s", id, owner)
		}
		x := r.begin(q)
		defer r.end(x)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", signed(id))
		for n := 1; n <= 5; n++ {
			e := fmt.Sprintf("id: %d\ndata: verdict on the report of %s\n\n", n, owner)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
	var decoders []*replica
	for i := range 4 {
		r, err := newReplica(fmt.Sprint("decode-", i), "lm", "decode", zoneOf(i), decode)
		if err != nil {
			return v, err
		}
		decoders = append(decoders, r)
	}
	if err := s.publish(decoders); err != nil {
		return v, err
	}
	if err := s.startAll(); err != nil {
		return v, err
	}
	send := func(f *front, id string) {
		q := request{id: id, path: "/verdict/1", body: "report", tokens: "5000,360", deadline: 5 * time.Second}
		a := f.send(q)
		text := "its own"
		if a.status == http.StatusOK && !strings.Contains(string(a.body), "report of "+id+"\n") {
			text = "another's"
		}
		s.record.add("client gets %d for %s: %s, complete %v", a.status, id, text, a.complete)
		mu.Lock()
		defer mu.Unlock()
		streams++
		if a.status == http.StatusOK && a.complete {
			served++
		}
	}
	var old []*replica
	for trial := range handleTrials {
		var fresh []*replica
		for i := range 4 {
			r, err := newReplica(fmt.Sprintf("prefill-%d-%d", trial, i), "lm", "prefill", zoneOf(i), nil)
			if err != nil {
				return v, err
			}
			r.prefill = func(r *replica, c net.Conn, id string, q *http.Request) { s.prefillOnce(p, r, c, id, q) }
			fresh = append(fresh, r)
		}
		if err := s.publish(fresh); err != nil {
			return v, err
		}
		time.Sleep(beat) // the last one that has started again has written its entry
		for _, r := range old {
			s.store.Delete("servers/" + r.id)
		}
		old = fresh
		time.Sleep(1500 * time.Millisecond)
		p.mu.Lock()
		p.victim, p.back, p.healed, p.armed = nil, false, make(chan struct{}), s.trouble
		p.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() { send(s.fronts[0], fmt.Sprintf("a%03d", trial)) })
		time.Sleep(prefillTime + restartTime + 20*time.Millisecond)
		for i := range othersAtOnce {
			wg.Go(func() { send(s.fronts[1+i%3], fmt.Sprintf("b%03d%02d", trial, i)) })
		}
		wg.Wait()
	}
	if served < streams/2 {
		return v, fmt.Errorf("only %d of %d streams were served", served, streams)
	}
	v.summary = fmt.Sprintf("%d streams, %d served whole, %d went on from the handle of another one", streams, served, v.breaks)
	return v, nil
}

// prefillOnce reads a prompt. If trouble is due, the answer to the first entry host's stream is
// held up by a cut, behind which the process ends and another one starts.
func (s *scene) prefillOnce(p *prefills, r *replica, c net.Conn, id string, q *http.Request) {
	time.Sleep(prefillTime)
	h := p.give(r, id)
	body := fmt.Sprintf(`{"handle":"%s","tokens":%s,"version":1}`, h, promptOf(q))
	header := "X-Attempt-Id: " + id + "\r\n"
	p.mu.Lock()
	cut, healed := p.armed && strings.HasPrefix(id, "a"), p.healed
	p.armed = p.armed && !cut
	heals := p.victim == r && p.back
	if heals {
		p.back = false
	}
	p.mu.Unlock()
	s.record.add("replica %s has read the prompt of %s: handle %s", r.id, id, h)
	if !cut {
		if heals {
			close(healed)
			s.record.add("the cut of %s heals", r.id)
		}
		time.Sleep(roundTrip / 2)
		r.reply(c, http.StatusOK, header, body)
		return
	}
	p.mu.Lock()
	p.victim = r
	p.mu.Unlock()
	s.record.add("replica %s loses the path to an entry host, and crashes behind the cut", r.id)
	p.crash(r)
	r.down(restartTime)
	p.mu.Lock()
	p.back = true
	p.mu.Unlock()
	s.record.add("replica %s has started again", r.id)
	time.AfterFunc(beat, func() {
		r.restarted()
		_ = s.store.Put("servers/"+r.id, r.entry("ready"))
	})
	select {
	case <-healed:
	case <-time.After(2 * time.Second):
	}
	// What the cut held up: the answer, and a round trip later the end of the connection.
	r.reply(c, http.StatusOK, header, body)
	time.Sleep(roundTrip)
	_ = c.Close()
}
