package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

// Watch knows what hosts say at their operator addresses.
type Watch struct {
	log      *record.Log
	client   *http.Client
	mu       sync.Mutex
	notReady map[ident.HostID]bool
}

// NewWatch returns a watch that records the revisions of hosts in a log.
func NewWatch(log *record.Log) *Watch {
	return &Watch{
		log:      log,
		client:   &http.Client{Timeout: 2 * time.Second},
		notReady: map[ident.HostID]bool{},
	}
}

// Run asks each host again and again until ctx ends. A host that does not answer
// is not recorded and not ready.
func (x *Watch) Run(ctx context.Context, hosts []Host, every time.Duration) {
	defer x.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			for next := time.Now(); waitUntil(ctx, next); next = next.Add(every) {
				s, ok := x.ask(ctx, h)
				if ctx.Err() != nil {
					return // the question was cut, which says nothing about the host
				}
				x.note(h, s, ok)
			}
		})
	}
	wg.Wait()
}

// Ready says whether a host takes new work, as the platform's load balancer knows
// it. A host that is not watched is ready.
func (x *Watch) Ready(id ident.HostID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.notReady[id]
}

func (x *Watch) note(h Host, s status.Status, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.notReady[h.ID] = !ok || !s.Ready
	if ok {
		x.log.Add(record.Record{Kind: record.InForce, Host: h.ID, Revision: s.Revision})
	}
}

func (x *Watch) ask(ctx context.Context, h Host) (s status.Status, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Addr+status.Path, nil)
	if err != nil {
		return s, false
	}
	resp, err := x.client.Do(req)
	if err != nil {
		return s, false
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s, err == nil
}
