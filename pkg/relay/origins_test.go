package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// engine returns the entry of an engine of the model service.
func engine(id ident.BackendID, stage backends.Stage, v ident.Version) backends.Entry {
	return backends.Entry{ID: id, Service: "lm", Stage: stage, Addr: string(id), Domain: "a", StartedAt: 1, Version: v}
}

// versionedHost returns a host with decode engines of the given versions: d1, d2 and so on.
func versionedHost(versions ...ident.Version) *host { return newHost().readyWith(versions...) }

// readyWith gives the host its configuration and decode engines of the given versions.
func (h *host) readyWith(versions ...ident.Version) *host {
	h.step(relay.ConfigRead{Snapshot: snapshot(1, goodKey)})
	entries := []backends.Entry{engine("p1", backends.Prefill, "v1")}
	for i, v := range versions {
		entries = append(entries, engine(ident.BackendID(fmt.Sprint("d", i+1)), backends.Decode, v))
	}
	h.step(relay.EntriesListed{Entries: entries})
	h.wait(10 * time.Second)
	h.platformRead()
	return h
}

// stream sends a request for a stream; resumes names the request that began it, if any.
func (h *host) stream(requestID, resumes string) relay.ID {
	h.last++
	h.step(relay.Arrived{ID: h.last, Spec: relay.RequestSpec{
		RequestID: requestID, Host: "h", Path: "/summary/", Key: goodKey, Deadline: 14 * time.Second,
		PromptTokens: 500, MaxOutputTokens: 100, TokensKnown: true, Resumes: resumes != "", ResumesRequest: resumes,
	}})
	return h.last
}

// begin sends a request for a stream, relays its first event and returns its decode.
func (h *host) begin(requestID string) relay.Decode {
	GinkgoHelper()
	d := h.advanceToDecode(h.stream(requestID, ""))
	h.firstEvent(d)
	return d
}

// firstEvent relays the first event of a stream.
func (h *host) firstEvent(d relay.Decode) {
	GinkgoHelper()
	h.step(relay.FirstEvent{ID: d.ID, Attempt: d.Attempt.Attempt})
	Expect(expect[relay.RelayStream](h).ID).To(Equal(d.ID))
	h.step(relay.StreamStarted{ID: d.ID, Attempt: d.Attempt.Attempt})
}

// lose ends a decode without a complete answer.
func (h *host) lose(d relay.Decode) {
	h.step(relay.CallEnded{ID: d.ID, Attempt: d.Attempt.Attempt, Outcome: relay.Lost, Started: true, Events: 1})
}

var _ = Describe("streams of several software versions", func() {
	// Guards against a text that is joined from two versions within one response.
	It("go on at the version that began them after the loss of an engine", func() {
		h := versionedHost("v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2")
		for i := range 20 {
			d := h.begin(fmt.Sprint("r", i))
			h.lose(d)
			Expect(expect[relay.Reserve](h).To.Version).To(Equal(d.To.Version))
			h.step(relay.CallerLeft{ID: d.ID})
			h.wait(3 * time.Second) // until the engine is no longer suspended
			h.platformRead()
		}
	})

	// Guards against a text that is joined from two versions over a caller's attempts.
	It("go on at the version that began them when the caller resumes them", func() {
		h := versionedHost("v1", "v1", "v2", "v2")
		for i := range 20 {
			first := fmt.Sprint("r", i)
			d := h.begin(first)
			h.step(relay.CallerLeft{ID: d.ID})
			h.stream(first+"-again", first)
			Expect(expect[relay.Reserve](h).To.Version).To(Equal(d.To.Version))
		}
	})
})
