package node_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

var update = flag.Bool("update", false, "rewrite the golden sessions in testdata")

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

// rules is revision 1 of the rules. Later revisions add or omit single lines.
const rules = `domain d1 slots 1 # platform team
organisation acme rate 100000 burst 100000 weight 1 prefer refuse # sales
model lm versions v2,v1 # model team
allow acme lm # sales
allow acme desk # sales
key acme-1 organisation acme salt 0011223344556677 hash 0000000000000000000000000000000000000000000000000000000000000000 # desk
route /desk/book service desk once keyed cost 5 # desk team
route /desk/hours service desk idempotent open # desk team
`

var (
	self         = ident.Process{Host: "h0", Incarnation: 1}
	prefill      = engine.Info{ID: "p0", Addr: "p0:1", Domain: "d1", Role: engine.Prefill, Model: "lm", Version: "v2", Group: "a", Slots: 4}
	decode       = engine.Info{ID: "e0", Addr: "e0:1", Domain: "d1", Role: engine.Decode, Model: "lm", Version: "v2", Group: "a", Slots: 4}
	decode2      = engine.Info{ID: "e1", Addr: "e1:1", Domain: "d1", Role: engine.Decode, Model: "lm", Version: "v2", Group: "b", Slots: 4}
	olderPrefill = engine.Info{ID: "p1", Addr: "p1:1", Domain: "d1", Role: engine.Prefill, Model: "lm", Version: "v1", Group: "c", Slots: 4}
	olderDecode  = engine.Info{ID: "e2", Addr: "e2:1", Domain: "d1", Role: engine.Decode, Model: "lm", Version: "v1", Group: "c", Slots: 4}
	desk         = engine.Info{ID: "s0", Addr: "s0:1", Domain: "d1", Role: engine.Service, Model: "desk", Slots: 4}
)

// session drives one node and records its events and effects as text.
type session struct {
	node        *node.Node
	now         time.Time
	start       time.Time
	out         strings.Builder
	lastEffects []node.Effect
	quiet       bool
}

// newSession returns a session whose node is the only one in its domain, has rules and
// engines and mints rate-limit tokens. Its start-up is not recorded.
func newSession(backends ...engine.Info) *session {
	if len(backends) == 0 {
		backends = []engine.Info{prefill, decode, decode2, desk}
	}
	start := time.Unix(1_700_000_000, 0).UTC()
	s := &session{now: start, start: start, quiet: true}
	s.node = node.New(node.DefaultConfig(self, "h0:1", "d1", 0), start)
	s.step(node.Tick{})
	s.publish(1, rules)
	hosts := []membership.HostInfo{{ID: "h0", Addr: "h0:1", Domain: "d1"}}
	s.step(node.HostsRead{List: hostlist.List{Version: 1, EntryHosts: hosts, Backends: backends}})
	for range 20 {
		s.advance(400 * time.Millisecond)
	}
	s.quiet = false
	return s
}

// advance moves the time on and ticks once. The platform answers before the tick, which
// renews the node's leases.
func (s *session) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(node.HostsRead{NotChanged: true})
	s.step(node.Tick{})
}

func (s *session) publish(revision ident.Revision, text string) {
	s.step(node.Tick{}) // starts the next read
	g := confsync.NewGeneration(revision, []byte(text))
	s.step(node.ConfigRead{Outcome: confsync.ReadOutcome{Generation: g, PlatformVersion: uint64(revision)}})
}

// step applies an event and records it and its effects.
func (s *session) step(ev node.Event) []node.Effect {
	s.lastEffects = s.node.Step(s.now, ev)
	if s.quiet {
		return s.lastEffects
	}
	fmt.Fprintf(&s.out, "%s < %s\n", s.now.Sub(s.start), render(ev))
	for _, e := range s.lastEffects {
		fmt.Fprintf(&s.out, "%s > %s\n", s.now.Sub(s.start), render(e))
	}
	return s.lastEffects
}

// render returns an event or effect as text. A generation is shown by its revision,
// because its parsed form has no stable text.
func render(v any) string {
	switch e := v.(type) {
	case node.RulesInForce:
		return fmt.Sprintf("RulesInForce revision %d", e.Revision)
	case node.ConfigRead:
		return fmt.Sprintf("ConfigRead revision %d", e.Outcome.Generation.Revision)
	}
	text, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return reflect.TypeOf(v).Name() + " " + string(text)
}

// ref returns the attempt of the first call among the latest effects.
func (s *session) ref() ident.BackendRef {
	GinkgoHelper()
	for _, e := range s.lastEffects {
		switch e := e.(type) {
		case node.Prefill:
			return e.Ref
		case node.Import:
			return e.Ref
		case node.Decode:
			return e.Ref
		case node.CallService:
			return e.Ref
		}
	}
	Fail(fmt.Sprintf("no call among %d effects", len(s.lastEffects)))
	return ident.BackendRef{}
}

const request = ident.RequestID("h0@1#1")

func (s *session) arrive() {
	s.step(node.CompletionArrived{
		ID: request, Key: "acme-1", Organisation: "acme", Model: "lm", PromptTokens: 100, MaxTokens: 10,
	})
}

func (s *session) prefilled() {
	s.step(node.PrefillEnded{Ref: s.ref(), Result: engine.PrefillResult{Checksum: 7, Bytes: 1000, Lifetime: 800 * time.Millisecond}})
}

func (s *session) imported() {
	s.step(node.ImportEnded{Ref: s.ref(), Result: engine.ImportResult{Checksum: 7}})
}

// toDecode takes the request to the phase in which its answer is streamed.
func (s *session) toDecode() ident.BackendRef {
	s.arrive()
	s.prefilled()
	s.imported()
	ref := s.ref()
	s.step(node.DecodeStarted{Ref: ref})
	return ref
}

// golden compares the recorded session with a file in testdata, which -update rewrites.
func (s *session) golden(name string) {
	GinkgoHelper()
	file := filepath.Join("testdata", name+".golden")
	if *update {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(file, []byte(s.out.String()), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.out.String()).To(Equal(string(want)))
}

// effects returns the effects of type T of the latest step.
func effects[T node.Effect](s *session) []T {
	var out []T
	for _, e := range s.lastEffects {
		if t, ok := e.(T); ok {
			out = append(out, t)
		}
	}
	return out
}
