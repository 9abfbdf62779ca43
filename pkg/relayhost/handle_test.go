package relayhost

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/boottime"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// Guards against a KV cache handle that is sent after it has expired, or after the list has
// shown that the process that gave it is gone.
func TestInvalidHandleIsNotSent(t *testing.T) {
	entry := backends.Entry{ID: "p1", Service: "lm", Addr: "p1", Stage: backends.Prefill, StartedAt: 1}
	source := backends.Target{ID: "p1", Addr: "p1", StartedAt: 1}
	reborn := entry
	reborn.StartedAt = 2
	for _, c := range []struct {
		name   string
		entry  backends.Entry
		expiry time.Duration
		sent   bool
	}{
		{"valid", entry, time.Minute, true},
		{"expired", entry, -time.Millisecond, false},
		{"of a process that is gone", reborn, time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var requests atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
			defer s.Close()
			h := &Host{core: newCore(relay.New(relay.DefaultConfig(roster.Host{ID: "h"}, nil), boottime.Now()), zap.NewNop(), newHostMetrics(), func(relay.Effect) {})}
			h.core.step(relay.EntriesListed{Entries: []backends.Entry{c.entry}})
			req := fasthttp.AcquireRequest()
			req.Header.SetHost("p1")
			ctx := h.withHandleCheck(context.Background(), source, boottime.Now().Add(c.expiry), nil)
			err := sendonce.New(s.Listener.Addr().String(), sendonce.Options{}).Do(ctx, req, &fasthttp.Response{})
			if c.sent {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(requests.Load()).To(gomega.Equal(int32(1)))
				return
			}
			g.Expect(err).To(gomega.MatchError(errHandleInvalid))
			g.Expect(requests.Load()).To(gomega.BeZero())
		})
	}
}
