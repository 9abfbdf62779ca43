package fake_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/engine/enginehttp"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

func TestFake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fake")
}

func code(err error) string {
	var e *engine.Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.Code
}

var _ = Describe("Engine", func() {
	var (
		ctx     context.Context
		timing  fake.Timing
		pre     *fake.Engine
		dec     *fake.Engine
		p, d    *enginehttp.Client
		counter uint64
	)
	start := func(role engine.Role, slots int) (*fake.Engine, *enginehttp.Client) {
		info := engine.Info{ID: ident.BackendID(role), Role: role, Model: "m", Version: "v1", Slots: slots}
		e, err := fake.NewEngine(fake.EngineConfig{Info: info, Timing: timing, Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		c := enginehttp.New(e.Info().Addr, enginehttp.Options{ChunkTimeout: 50 * time.Millisecond})
		DeferCleanup(func() { c.Close(); e.Close() })
		return e, c
	}
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
		timing = fake.DefaultTiming()
		timing.Scale = 0.02
		timing.KVLifetime = time.Hour
		timing.BlockTokens = 10
		timing.EventLoss = 0
		pre, p = start(engine.Prefill, 3)
		dec, d = start(engine.Decode, 2)
	})
	newRef := func() ident.BackendRef {
		counter++
		return ident.BackendRef{Request: ident.NewRequestID(ident.Process{Host: "h", Incarnation: 1}, counter), Attempt: 1}
	}
	prefill := func(ref ident.BackendRef, prompt string) (engine.PrefillResult, error) {
		return p.Prefill(ctx, engine.PrefillRequest{Ref: ref, Model: "m", Version: "v1", Prompt: prompt})
	}
	load := func(ref ident.BackendRef, prompt string) (engine.PrefillResult, engine.ImportResult, error) {
		r, err := prefill(ref, prompt)
		Expect(err).NotTo(HaveOccurred())
		in := engine.ImportRequest{Ref: ref, Model: "m", Version: "v1", Source: pre.Info().Addr, Bytes: r.Bytes, Checksum: r.Checksum}
		out, err := d.Import(ctx, in)
		return r, out, err
	}
	decode := func(ref ident.BackendRef, offset, n int, emit func(string) error) error {
		r := engine.DecodeRequest{Ref: ref, Model: "m", Version: "v1", Offset: offset, MaxTokens: n}
		return d.Decode(ctx, r, func(c engine.Chunk) error { return emit(strings.Join(c.Tokens, "")) })
	}
	var got string
	collect := func(s string) error { got += s; return nil }
	BeforeEach(func() { got = "" })

	It("answers with the content derived from the prompt and then releases all memory", func() {
		ref := newRef()
		r, in, err := load(ref, "some words")
		Expect(err).NotTo(HaveOccurred())
		Expect(in.Checksum).To(Equal(r.Checksum))
		Expect(r.Tokens).To(Equal(2))
		Expect(decode(ref, 0, 5, collect)).To(Succeed())
		Expect(got).To(Equal(content.Answer("some words", 5)))
		Eventually(dec.Held).Should(BeZero())
		Eventually(pre.Held).Should(BeZero())
	})

	It("ends the answer at the stop word of the prompt", func() {
		ref, prompt := newRef(), "a "+content.StopWord(3)+" b"
		_, _, err := load(ref, prompt)
		Expect(err).NotTo(HaveOccurred())
		Expect(decode(ref, 0, 5, collect)).To(Succeed())
		Expect(got).To(Equal(content.Answer(prompt, 5)))
		Expect(strings.Fields(got)).To(HaveLen(3))
	})

	It("keeps memory after the caller disconnects until it is cancelled, and resumes meanwhile", func() {
		ref, left := newRef(), errors.New("left")
		_, _, err := load(ref, "p")
		Expect(err).NotTo(HaveOccurred())
		Expect(decode(ref, 0, 50, func(s string) error { got += s; return left })).To(MatchError(left))
		Consistently(dec.Held, 20*time.Millisecond).Should(Equal(1))
		n := len(strings.Fields(got))
		Expect(decode(ref, n, 50, func(s string) error { got += s; return left })).To(MatchError(left))
		Expect(content.Answer("p", 50)).To(HavePrefix(got))
		Expect(d.Cancel(ctx, ref)).To(Succeed())
		Expect(dec.Held()).To(BeZero())
		Expect(code(decode(ref, 0, 50, collect))).To(Equal(engine.CodeUnknownAttempt))
	})

	DescribeTable("resumes on another engine, correctly only if given the correct output so far",
		func(output string, same bool) {
			ref := newRef()
			r, err := p.Prefill(ctx, engine.PrefillRequest{Ref: ref, Model: "m", Version: "v1", Prompt: "p", Output: output})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Tokens).To(Equal(1 + content.CountTokens(output)))
			_, err = d.Import(ctx, engine.ImportRequest{Ref: ref, Model: "m", Version: "v1", Source: pre.Info().Addr})
			Expect(err).NotTo(HaveOccurred())
			Expect(decode(ref, 3, 6, collect)).To(Succeed())
			Expect(content.Answer("p", 3)+got == content.Answer("p", 6)).To(Equal(same))
		},
		Entry("right output", content.Answer("p", 3), true),
		Entry("no output, which the engine generates again", "", true),
		Entry("output of another request", content.Answer("q", 3), false),
	)

	It("rejects work when it is full", func() {
		for range 2 {
			_, _, err := load(newRef(), "p")
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := load(newRef(), "p")
		Expect(code(err)).To(Equal(engine.CodeFull))
	})

	It("rejects new work while leaving and finishes existing work", func() {
		ref := newRef()
		_, _, err := load(ref, "p")
		Expect(err).NotTo(HaveOccurred())
		pre.SetLeaving(true)
		dec.SetLeaving(true)
		_, err = prefill(newRef(), "p")
		Expect(code(err)).To(Equal(engine.CodeLeaving))
		Expect(decode(ref, 0, 3, collect)).To(Succeed())
	})

	It("drops a KV cache after its lifetime", func() {
		timing.KVLifetime = 50 * time.Millisecond
		pre, p = start(engine.Prefill, 3)
		ref := newRef()
		_, err := prefill(ref, "p")
		Expect(err).NotTo(HaveOccurred())
		Eventually(pre.Held).Should(BeZero())
		_, err = d.Import(ctx, engine.ImportRequest{Ref: ref, Model: "m", Version: "v1", Source: pre.Info().Addr})
		Expect(code(err)).To(Equal(engine.CodeUnknownAttempt))
		Expect(dec.Held()).To(BeZero())
	})

	It("reuses cached prefixes in limited memory and reports them after a delay", func() {
		timing.CacheBlocks = 2
		pre, p = start(engine.Prefill, 9)
		prefix := strings.Repeat("w ", 20)
		for i, cached := range []int{0, 20} {
			r, err := prefill(newRef(), prefix+strings.Repeat("x", i+1))
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Cached).To(Equal(cached))
		}
		_, err := prefill(newRef(), strings.Repeat("z ", 10))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() ([]engine.CacheEvent, error) { return p.Events(ctx, 2) }).Should(HaveLen(2))
	})

	It("runs waiting prefills by priority", func() {
		// The first prefill takes long enough for the others to arrive.
		pre.SetFaults(fake.Faults{Slow: 250})
		refs := []ident.BackendRef{newRef(), newRef(), newRef()}
		for i, words := range []int{4000, 1, 1} {
			go func() {
				r := engine.PrefillRequest{Ref: refs[i], Model: "m", Version: "v1", Prompt: strings.Repeat("w ", words), Priority: i}
				_, _ = p.Prefill(ctx, r)
			}()
			Eventually(pre.Held).Should(Equal(i + 1))
		}
		starts := func() []record.Record {
			return pre.Log().Find(func(r record.Record) bool { return r.Kind == record.Start })
		}
		Eventually(starts).Should(HaveLen(3))
		Expect(*starts()[1].Ref).To(Equal(refs[2]))
	})

	DescribeTable("checks the fencing token of an order unless configured to ignore it",
		func(ignore bool, want string) {
			e, err := fake.NewEngine(fake.EngineConfig{Timing: timing, IgnoreFence: ignore})
			Expect(err).NotTo(HaveOccurred())
			defer e.Close()
			c := enginehttp.New(e.Info().Addr, enginehttp.Options{})
			Expect(c.Order(ctx, engine.Order{Fence: 5, Kind: engine.OrderChangeRole, Role: engine.Decode})).To(Succeed())
			Expect(e.Info().Role).To(Equal(engine.Decode))
			err = c.Order(ctx, engine.Order{Fence: 4, Kind: engine.OrderLoadVersion, Model: "m", Version: "v2"})
			Expect(code(err)).To(Equal(want))
			if ignore {
				Eventually(func() ident.Version { return e.Info().Version }).Should(Equal(ident.Version("v2")))
			}
		},
		Entry("checked", false, engine.CodeStaleFence),
		Entry("ignored", true, ""),
	)

	It("reports the requests that it holds", func() {
		_, _, err := load(newRef(), "p")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			r, err := d.Report(ctx)
			Expect(err).NotTo(HaveOccurred())
			return len(r.Held)
		}).Should(Equal(1))
	})

	Describe("faults", func() {
		It("corrupts a KV cache so that only the checksum shows it", func() {
			dec.SetFaults(fake.Faults{CorruptKV: true})
			r, in, err := load(newRef(), "p")
			Expect(err).NotTo(HaveOccurred())
			Expect(in.Checksum).NotTo(Equal(r.Checksum))
		})

		It("stalls a transfer until the fault ends", func() {
			dec.SetFaults(fake.Faults{StallTransfer: true})
			done := make(chan error, 1)
			go func() {
				defer GinkgoRecover()
				_, _, err := load(newRef(), "p")
				done <- err
			}()
			Eventually(dec.Held).Should(Equal(1))
			Consistently(done, 30*time.Millisecond).ShouldNot(Receive())
			dec.SetFaults(fake.Faults{})
			Eventually(done).Should(Receive(BeNil()))
		})

		It("keeps a stream open without output", func() {
			ref := newRef()
			_, _, err := load(ref, "p")
			Expect(err).NotTo(HaveOccurred())
			dec.SetFaults(fake.Faults{SilentStream: true})
			Expect(code(decode(ref, 0, 5, collect))).To(Equal(engine.CodeTimeout))
		})

		// Guards against a request that arrives while the engine is crashing and then
		// holds memory forever.
		It("accepts no request while it is crashing", func() {
			for range 20 {
				var calls sync.WaitGroup
				for range 8 {
					ref := newRef()
					calls.Go(func() { _, _ = prefill(ref, "p") })
				}
				pre.Crash()
				calls.Wait()
				Expect(pre.Held()).To(BeZero())
				Expect(pre.Restart()).To(Succeed())
			}
		})

		It("loses all state in a crash and restarts at the same address", func() {
			ref := newRef()
			_, _, err := load(ref, "p")
			Expect(err).NotTo(HaveOccurred())
			err = decode(ref, 0, 1000, func(string) error { dec.Crash(); return nil })
			Expect(err).To(HaveOccurred())
			Expect(dec.Held()).To(BeZero())
			Expect(dec.Restart()).To(Succeed())
			_, _, err = load(newRef(), "q")
			Expect(err).NotTo(HaveOccurred())
		})
	})
})

var _ = Describe("Service", func() {
	It("runs and records a call whose answer it drops", func() {
		s, err := fake.NewService(fake.ServiceConfig{})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		c := enginehttp.NewService(s.Info().Addr, sendonce.Options{})
		_, _, body, err := c.Forward(context.Background(), "POST", "/refund", nil, []byte("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(content.CallAnswer(content.CallHash("POST", "/refund", []byte("1")))))
		s.SetFaults(fake.Faults{DropAnswer: true})
		_, _, _, err = c.Forward(context.Background(), "POST", "/refund", nil, []byte("2"))
		Expect(err).To(HaveOccurred())
		Expect(s.Log().Find(func(r record.Record) bool { return r.Kind == record.Start })).To(HaveLen(2))
	})
})

var _ = Describe("Platform", func() {
	It("hides a host list until the lag has passed and rolls back configurations", func() {
		p, err := fake.NewPlatform(fake.PlatformConfig{HostListLag: 100 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		defer p.Close()
		c := platform.New(p.Addr(), platform.Options{})
		p.SetHosts(nil, []engine.Info{{ID: "e"}})
		l, _, err := c.Hosts(context.Background(), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Backends).To(BeEmpty())
		l, _, err = c.Hosts(context.Background(), 0, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Backends).To(HaveLen(1))

		p.Publish(1, "a")
		p.Publish(2, "b")
		p.RollBack(1)
		g, _, err := c.ReadConfig(context.Background(), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Text).To(Equal("a"))
		p.Unfreeze()
		g, _, err = c.ReadConfig(context.Background(), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Text).To(Equal("b"))
		Expect(p.Calls().Total).To(BeNumerically(">=", 6))
	})
})

var _ = Describe("Plan", func() {
	It("has the capacity of its bottleneck role", func() {
		t := fake.DefaultTiming()
		p := fake.BagmatiPlan()
		// 4 prefill engines at 50,000 tokens/s, 8 decode engines at 800 tokens/s.
		Expect(p.Capacity(t, 4000, 1)).To(BeNumerically("~", 50, 1e-6))
		Expect(p.Capacity(t, 1, 100)).To(BeNumerically("~", 64, 1e-6))
		t.Scale = 0.5
		Expect(p.Capacity(t, 4000, 1)).To(BeNumerically("~", 100, 1e-6))
	})
})

var _ = Describe("Deployment", func() {
	DescribeTable("has the required number of servers and domains", func(start func(fake.Options) (*fake.Deployment, error), engines, services, domains int) {
		d, err := start(fake.Options{Rules: "rules"})
		Expect(err).NotTo(HaveOccurred())
		defer d.Close()
		Expect(d.Engines).To(HaveLen(engines))
		Expect(d.Services).To(HaveLen(services))
		Expect(d.Plan.Domains).To(HaveLen(domains))
		Expect(d.Platform.Hosts().Backends).To(HaveLen(engines + services))
	},
		Entry("Bagmati", fake.Bagmati, 12, 4, 4),
		Entry("Adwenpa", fake.Adwenpa, 12, 3, 3),
	)
})
