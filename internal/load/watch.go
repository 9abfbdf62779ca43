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

// Watch polls the status of hosts at their operator addresses and tracks their
// readiness.
type Watch struct {
	log      *record.Log
	client   *http.Client
	mu       sync.Mutex
	notReady map[ident.HostID]bool
}

// NewWatch returns a watch that records the configuration revisions of hosts in a log.
func NewWatch(log *record.Log) *Watch {
	return &Watch{
		log:      log,
		client:   &http.Client{Timeout: 2 * time.Second},
		notReady: map[ident.HostID]bool{},
	}
}

// Run polls each host at the given interval until ctx ends. A host that does not
// answer counts as not ready, and no revision is recorded for it.
func (x *Watch) Run(ctx context.Context, hosts []Host, every time.Duration) {
	defer x.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			for next := time.Now(); waitUntil(ctx, next); next = next.Add(every) {
				s, ok := x.fetchStatus(ctx, h)
				if ctx.Err() != nil {
					return // the poll was cancelled, which says nothing about the host
				}
				x.update(h, s, ok)
			}
		})
	}
	wg.Wait()
}

// Ready reports whether a host accepts new work, as the platform's load balancer
// would see it. A host that is not polled counts as ready.
func (x *Watch) Ready(id ident.HostID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.notReady[id]
}

func (x *Watch) update(h Host, s status.Status, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.notReady[h.ID] = !ok || !s.Ready
	if ok {
		x.log.Add(record.Record{Kind: record.InForce, Host: h.ID, Revision: s.Revision})
	}
}

func (x *Watch) fetchStatus(ctx context.Context, h Host) (s status.Status, ok bool) {
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
