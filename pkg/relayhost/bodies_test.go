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

	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// askOnly is a dialect that reads nothing from requests.
type askOnly struct{ Dialect }

func (askOnly) Ask(*http.Request) relay.Ask { return relay.Ask{} }

// bodyServer reads bodies as a host with this memory does and keeps each until told.
func bodyServer(t *testing.T, memory int64) (url string, reading chan int, done chan struct{}) {
	h := &Host{
		bodies:  newBodyRoom(memory),
		core:    newCore(relay.New(relay.DefaultConfig(roster.Host{ID: "h"}, nil), time.Unix(1000, 0)), zap.NewNop(), newMeters(), func(relay.Effect) {}),
		log:     zap.NewNop(),
		dialect: askOnly{},
	}
	reading, done = make(chan int, 100), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, err := h.readBody(w, r)
		if err != nil {
			h.refuseBody(w, r, err)
			return
		}
		defer release()
		reading <- len(body)
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

// Guards against a host that is ended because callers' bodies take more memory than it
// has: twelve bodies of 1 MB, room for four.
func TestLargeBodiesShareABoundedMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	const callers, size, room = 12, 1 << 20, 4
	url, reading, done := bodyServer(t, bodyRoomLeast)
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
	for range callers - room {
		g.Expect(<-status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	for range room {
		g.Expect(<-reading).To(gomega.Equal(size))
	}
	small := make(chan int, 1)
	go func() { small <- post(g, url, smallBody/2).StatusCode }()
	g.Expect(<-reading).To(gomega.Equal(smallBody/2), "small bodies need no room")
	close(done)
	wg.Wait()
	g.Expect(<-small).To(gomega.Equal(http.StatusOK))
	for range room {
		g.Expect(<-status).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(post(g, url, size).StatusCode).To(gomega.Equal(http.StatusOK), "the room is free again")
}

// Guards against a bound that lets bodies above the operators' limit through, or that
// refuses those at it.
func TestBodiesUpToTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	url, reading, done := bodyServer(t, 0)
	close(done)
	g.Expect(post(g, url, defaultBodyBytes).StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(<-reading).To(gomega.Equal(defaultBodyBytes))
	g.Expect(post(g, url, smallBody).StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(<-reading).To(gomega.Equal(smallBody))
	resp, err := http.Post(url, "text/plain", bytes.NewReader(make([]byte, defaultBodyBytes+1)))
	if err == nil { // the server may close the connection before it has read all
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
		g.Expect(resp.Body.Close()).To(gomega.Succeed())
	}
	g.Expect(reading).NotTo(gomega.Receive())
}
