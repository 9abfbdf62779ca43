package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
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

	// Guards against a stream that is moved to another version because its engine leaves
	// between its reservation and the decode.
	It("go on at the version that began them when an engine redirects them", func() {
		h := versionedHost("v1", "v1", "v1", "v2", "v2", "v2")
		d := h.begin("r")
		h.lose(d)
		reserved := expect[relay.Reserve](h).To
		p := h.advanceToPrefill(d.ID)
		leave := func(t backends.Target) {
			h.step(relay.ServerNoticed{From: t, Notice: backends.Notice{Leaving: true}})
		}
		leave(reserved)
		h.step(relay.Prefilled{ID: d.ID, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv"})
		moved := expect[relay.Decode](h)
		Expect(moved.To.ID).NotTo(Equal(reserved.ID))
		Expect(moved.To.Version).To(Equal(d.To.Version))
		leave(moved.To)
		leave(d.To)
		h.step(relay.CallEnded{ID: moved.ID, Attempt: moved.Attempt.Attempt, Outcome: relay.Unsent, Started: true})
		expectNone[relay.Reserve](h)
		Expect(expect[relay.AbortAnswer](h).Reason).To(Equal(relay.VersionGone))
	})

	It("may be retried at any version while they have no event", func() {
		h := versionedHost("v1", "v2")
		d := h.advanceToDecode(h.stream("r", ""))
		h.step(relay.CallEnded{ID: d.ID, Attempt: d.Attempt.Attempt, Outcome: relay.Lost})
		Expect(expect[relay.Reserve](h).To.ID).NotTo(Equal(d.To.ID))
	})

	// Guards against a stream that is sent to a new process under the id of the one that
	// was picked.
	It("are not sent to a process of another version than the one that was picked", func() {
		h := versionedHost("v1", "v1")
		d := h.begin("r")
		h.lose(d)
		p := h.advanceToPrefill(d.ID)
		for _, id := range []ident.BackendID{"d1", "d2"} {
			e := engine(id, backends.Decode, "v2")
			e.StartedAt = 2
			h.step(relay.EntryChanged{Entry: e})
		}
		h.step(relay.Prefilled{ID: d.ID, Attempt: p.Attempt.Attempt, Outcome: relay.Succeeded, Handle: "kv"})
		expectNone[relay.Decode](h)
		Expect(expect[relay.AbortAnswer](h).Reason).To(Equal(relay.VersionGone))
	})

	// Guards against a first event that came from a new process of a server whose entry still
	// described the old one.
	It("end if the process that began them may have been of another version", func() {
		h := versionedHost("v1", "v1", "v1")
		d := h.begin("r")
		e := engine(d.To.ID, backends.Decode, "v2")
		e.StartedAt = 2
		h.step(relay.EntryChanged{Entry: e})
		h.lose(d)
		expectNone[relay.Reserve](h)
		Expect(expect[relay.AbortAnswer](h).Reason).To(Equal(relay.OriginUnknown))
		h.stream("again", "r")
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.OriginUnknown))
	})

	It("are refused at once if no server of their version is left", func() {
		h := versionedHost("v1", "v2")
		d := h.begin("r")
		h.step(relay.CallerLeft{ID: d.ID})
		h.step(relay.EntryRemoved{ID: d.To.ID})
		h.stream("again", "r")
		r := expect[relay.Refuse](h)
		Expect(r.Reason).To(Equal(relay.VersionGone))
		Expect(r.Status).To(Equal(503))
		Expect(r.RetryAfter).To(BeNumerically(">=", 2*time.Second), "entries that expired in an outage are back by then")
	})

	It("are refused at once if no host knows their version", func() {
		h := versionedHost("v1", "v2")
		h.stream("again", "never seen")
		r := expect[relay.Refuse](h)
		Expect(r.Reason).To(Equal(relay.OriginUnknown))
		Expect(r.Status).To(Equal(503))
		Expect(r.RetryAfter).To(BeZero())
		h.step(relay.Arrived{ID: 100, Spec: relay.RequestSpec{RequestID: "x", Host: "h", Path: "/summary/", Key: goodKey, Resumes: true}})
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.OriginUnknown), "the caller does not name the request")
	})

	It("go on at the only version that has served, whatever began them", func() {
		h := versionedHost("v1", "v1")
		h.wait(20 * time.Second)
		h.platformRead()
		h.stream("again", "never seen")
		Expect(expect[relay.Reserve](h).To.Version).To(Equal(ident.Version("v1")))
	})

	It("leave a line in the log that names the version, its source and its age", func() {
		h := versionedHost("v1", "v2")
		d := h.begin("r")
		h.step(relay.CallerLeft{ID: d.ID})
		h.now = h.now.Add(time.Second)
		h.stream("again", "r")
		var line relay.Decision
		for _, e := range h.out {
			if l, ok := e.(relay.Decision); ok && l.Step == "resume" {
				line = l
			}
		}
		Expect(line.Resumes).To(Equal("r"))
		Expect(line.ServerVersion).To(Equal(d.To.Version))
		Expect(line.Basis).To(Equal("relayed"))
		Expect(line.Backend).To(Equal(d.To.ID))
		Expect(line.Age).To(Equal(time.Second))
	})
})

var _ = Describe("the queue with several software versions", func() {
	load := func(h *host, ids ...ident.BackendID) {
		var notes []relay.BackendLoad
		for _, id := range ids {
			notes = append(notes, relay.BackendLoad{Backend: id, Requests: 1, Memory: memory})
		}
		h.last++
		h.step(relay.MessageReceived{Message: relay.Message{
			Heartbeat: roster.Heartbeat{From: roster.Host{ID: "peer", Incarnation: 1, Addr: "peer"}, Sequence: uint64(h.last)}, Load: notes,
		}})
	}
	started := func(h *host, id relay.ID) bool {
		for _, e := range h.out {
			if r, ok := e.(relay.Reserve); ok && r.ID == id {
				return true
			}
		}
		return false
	}
	begunAt := func(h *host, v ident.Version) string {
		for i := range 100 {
			name := fmt.Sprint("r", i)
			d := h.begin(name)
			h.step(relay.CallerLeft{ID: d.ID})
			if d.To.Version == v {
				return name
			}
		}
		Fail("no stream began at the version")
		return ""
	}

	// Guards against new streams that wait behind one that only a full version can take.
	It("does not block new streams behind one that waits for its version", func() {
		h := versionedHost("v1", "v2")
		r := begunAt(h, "v1")
		load(h, "d1")
		h.stream("again", r)
		expectNone[relay.Reserve](h)
		id := h.stream("new", "")
		Expect(started(h, id)).To(BeTrue())
	})

	// Guards against resumed streams that wait behind new ones at full other versions.
	It("does not block a resumed stream behind new ones, and starts it first", func() {
		h := versionedHost("v1", "v2")
		r := begunAt(h, "v1")
		load(h, "d1", "d2")
		h.stream("new", "")
		again := h.stream("again", r)
		expectNone[relay.Reserve](h)
		load(h, "d2")
		Expect(started(h, again)).To(BeTrue())
	})

	It("waits for its version no longer than a stream that is moved", func() {
		h := versionedHost("v1", "v2")
		r := begunAt(h, "v1")
		load(h, "d1")
		h.stream("again", r)
		for range 14 {
			expectNone[relay.Refuse](h)
			h.wait(100 * time.Millisecond)
			load(h, "d1")
		}
		h.wait(200 * time.Millisecond)
		Expect(expect[relay.Refuse](h).Reason).To(Equal(relay.Overloaded))
	})
})
