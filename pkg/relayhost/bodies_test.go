package relayhost

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// emptyDialect ignores the contents of requests.
type emptyDialect struct{ Dialect }

func (emptyDialect) ParseRequest(*http.Request) relay.RequestSpec { return relay.RequestSpec{} }

// bodyServer reads bodies like a host with this memory limit and holds each one until
// done is closed.
func bodyServer(t *testing.T, memory int64) (url string, reading chan int, done chan struct{}) {
	h := &Host{
		metrics: newHostMetrics(),
		guard:   ingress.New(ingress.Config{Settings: ingress.DefaultSettings(), MemoryBytes: memory, Log: zap.NewNop()}),
		core:    newCore(relay.New(relay.DefaultConfig(roster.Host{ID: "h"}, nil), time.Unix(1000, 0)), zap.NewNop(), newHostMetrics(), func(relay.Effect) {}),
		log:     zap.NewNop(),
		dialect: emptyDialect{},
	}
	reading, done = make(chan int, 100), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := h.guard.ReadBody(r, h.maxBodyBytes())
		if err != nil {
			h.refuseBody(w, r, relay.RequestSpec{}, err)
			return
		}
		defer body.Release()
		reading <- len(body.Bytes)
		<-done
	}))
	t.Cleanup(s.Close)
	return s.URL, reading, done
}

func post(g *gomega.WithT, url string, size int) *http.Response {
	resp, err := http.Post(url, "text/plain", bytes.NewReader(make([]byte, size)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.Body.Close()).To(gomega.Succeed())
	return resp
}

// Guards against a host being killed because request bodies use more memory than it
// has: twelve concurrent bodies of 1 MB against a budget for four.
func TestLargeBodiesShareABoundedMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	const callers, size, fitting = 12, 1 << 20, 4
	url, reading, done := bodyServer(t, fitting*size)
	status := make(chan int, callers)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			resp := post(g, url, size)
			if resp.StatusCode == http.StatusServiceUnavailable {
				g.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
			status <- resp.StatusCode
		})
	}
	for range callers - fitting {
		g.Expect(<-status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	for range fitting {
		g.Expect(<-reading).To(gomega.Equal(size))
	}
	small := make(chan int, 1)
	go func() { small <- post(g, url, ingress.SmallBody/2).StatusCode }()
	g.Expect(<-reading).To(gomega.Equal(ingress.SmallBody/2), "small bodies have memory of their own")
	close(done)
	wg.Wait()
	g.Expect(<-small).To(gomega.Equal(http.StatusOK))
	for range fitting {
		g.Expect(<-status).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(post(g, url, size).StatusCode).To(gomega.Equal(http.StatusOK), "the memory is available again")
}

// Guards against a size check that accepts bodies above the limit or rejects bodies of
// exactly the limit.
func TestBodiesUpToTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	url, reading, done := bodyServer(t, 0)
	close(done)
	g.Expect(post(g, url, defaultMaxBodyBytes).StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(<-reading).To(gomega.Equal(defaultMaxBodyBytes))
	g.Expect(post(g, url, ingress.SmallBody).StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(<-reading).To(gomega.Equal(ingress.SmallBody))
	resp, err := http.Post(url, "text/plain", bytes.NewReader(make([]byte, defaultMaxBodyBytes+1)))
	if err == nil { // the server may close the connection before it has read the whole body
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
		g.Expect(resp.Body.Close()).To(gomega.Succeed())
	}
	g.Expect(reading).NotTo(gomega.Receive())
}
