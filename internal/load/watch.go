package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

// WatchRevisions asks hosts at their operator addresses for the revision that they
// apply, and records it, until ctx ends. A host that does not answer is not
// recorded.
func WatchRevisions(ctx context.Context, log *record.Log, hosts []Host, every time.Duration) {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			for next := time.Now(); waitUntil(ctx, next); next = next.Add(every) {
				noteRevision(ctx, client, log, h)
			}
		})
	}
	wg.Wait()
}

func noteRevision(ctx context.Context, client *http.Client, log *record.Log, h Host) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Addr+status.Path, nil)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var s status.Status
	if json.NewDecoder(resp.Body).Decode(&s) == nil {
		log.Add(record.Record{Kind: record.InForce, Host: h.ID, Revision: s.Revision})
	}
}
