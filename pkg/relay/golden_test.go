package relay_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session records the events that a host receives and the effects that it returns.
type session struct {
	*host
	text  strings.Builder
	start time.Time
}

// step handles an event and records it with its effects, except heartbeats to other
// hosts.
func (s *session) step(e relay.Event) []relay.Effect {
	fmt.Fprintf(&s.text, "%6d ms  <- %T %s\n", s.now.Sub(s.start).Milliseconds(), e, encode(e))
	out := s.host.step(e)
	for _, eff := range out {
		if _, heartbeat := eff.(relay.Send); !heartbeat {
			fmt.Fprintf(&s.text, "           -> %T %s\n", eff, encode(eff))
		}
	}
	return out
}

func encode(v any) []byte {
	GinkgoHelper()
	data, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return data
}

func (s *session) after(d time.Duration) { s.now = s.now.Add(d) }

func newSession() *session {
	h := newHost().ready()
	return &session{host: h, start: h.now}
}

func (s *session) arrive(id relay.ID, path string) {
	s.step(relay.Arrived{ID: id, Spec: relay.RequestSpec{
		RequestID: fmt.Sprint("request-", id), Host: "h", Path: path, Key: goodKey,
		Deadline: 14 * time.Second, PromptTokens: 5000, MaxOutputTokens: 1000, OutputHint: 400, TokensKnown: true,
	}})
}

// modelSession is a stream that is interrupted and resumed at another engine.
func modelSession(s *session) {
	s.arrive(1, "/summary/1")
	s.after(2 * time.Millisecond)
	s.step(relay.Reserved{ID: 1, Attempt: 1, Outcome: relay.Succeeded, Hold: "hold-1"})
	s.after(120 * time.Millisecond)
	s.step(relay.Prefilled{ID: 1, Attempt: 2, Outcome: relay.Succeeded, Handle: "kv-1", Took: 120 * time.Millisecond})
	s.after(30 * time.Millisecond)
	s.step(relay.StreamStarted{ID: 1, Attempt: 3})
	s.after(500 * time.Millisecond)
	s.step(relay.CallEnded{ID: 1, Attempt: 3, Outcome: relay.Lost, Started: true, Events: 10})
	s.after(2 * time.Millisecond)
	s.step(relay.Reserved{ID: 1, Attempt: 4, Outcome: relay.Succeeded, Hold: "hold-2"})
	s.after(120 * time.Millisecond)
	s.step(relay.Prefilled{ID: 1, Attempt: 5, Outcome: relay.Succeeded, Handle: "kv-2", Took: 120 * time.Millisecond})
	s.after(time.Second)
	s.step(relay.CallEnded{ID: 1, Attempt: 6, Outcome: relay.Succeeded, Status: 200, Started: true, Events: 20})
}

// plainSession has a call that is retried, one that must not be, and refusals.
func plainSession(s *session) {
	s.arrive(1, "/read/1")
	s.after(30 * time.Millisecond)
	s.step(relay.CallEnded{ID: 1, Attempt: 1, Outcome: relay.Failure, Status: 500})
	s.after(30 * time.Millisecond)
	s.step(relay.CallEnded{ID: 1, Attempt: 2, Outcome: relay.Succeeded, Status: 200})
	s.arrive(2, "/post/1")
	s.after(30 * time.Millisecond)
	s.step(relay.CallEnded{ID: 2, Attempt: 1, Outcome: relay.Lost})
	s.arrive(3, "/nothing/")
	s.after(4 * time.Second)
	s.arrive(4, "/read/1")
}

// resumedSession is a stream that its caller resumes while two versions serve, and again
// when its version has left.
func resumedSession(s *session) {
	s.step(relay.EntriesListed{Entries: []backends.Entry{
		engine("p1", backends.Prefill, "v1"), engine("d1", backends.Decode, "v1"), engine("d2", backends.Decode, "v2"),
	}})
	s.arrive(1, "/summary/1")
	s.after(2 * time.Millisecond)
	s.step(relay.Reserved{ID: 1, Attempt: 1, Outcome: relay.Succeeded, Hold: "hold-1"})
	s.after(120 * time.Millisecond)
	s.step(relay.Prefilled{ID: 1, Attempt: 2, Outcome: relay.Succeeded, Handle: "kv-1", Took: 120 * time.Millisecond})
	s.after(30 * time.Millisecond)
	s.step(relay.FirstEvent{ID: 1, Attempt: 3})
	s.step(relay.StreamStarted{ID: 1, Attempt: 3})
	s.after(500 * time.Millisecond)
	s.step(relay.CallerLeft{ID: 1})
	again := relay.RequestSpec{
		RequestID: "again", Host: "h", Path: "/summary/1", Key: goodKey, Deadline: 13 * time.Second,
		PromptTokens: 5000, MaxOutputTokens: 1000, TokensKnown: true, Resumes: true, ResumesRequest: "request-1",
	}
	s.after(200 * time.Millisecond)
	s.step(relay.Arrived{ID: 2, Spec: again})
	s.after(2 * time.Millisecond)
	s.step(relay.CallerLeft{ID: 2})
	s.step(relay.EntryRemoved{ID: "d1"})
	s.step(relay.EntryRemoved{ID: "d2"})
	s.step(relay.EntryChanged{Entry: engine("d3", backends.Decode, "v3")})
	s.step(relay.Arrived{ID: 3, Spec: again})
	again.ResumesRequest = "never seen"
	s.step(relay.Arrived{ID: 4, Spec: again})
}

var _ = Describe("golden sessions", func() {
	// Guards against unintended changes in the order or content of effects. After an
	// intended change run go test ./pkg/relay -update and review the diff.
	DescribeTable("match the recorded effects",
		func(name string, play func(*session)) {
			s := newSession()
			play(s)
			file := "testdata/" + name + ".golden"
			if *update {
				Expect(os.WriteFile(file, []byte(s.text.String()), 0o644)).To(Succeed())
			}
			want, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.text.String()).To(Equal(string(want)))
		},
		Entry("a stream that is resumed at another engine", "model", modelSession),
		Entry("plain requests", "plain", plainSession),
		Entry("a stream that its caller resumes", "resumed", resumedSession),
	)
})
