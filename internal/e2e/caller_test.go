package e2e_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/caller"
	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/internal/record"
)

// held reports how many requests hold engine memory.
func held(f *fleet.Fleet) func() int { return f.Deployment.Held }

var _ = Describe("A caller that disconnects", func() {
	It("frees engine memory when it disconnects during the prefill", func() {
		f := startFleet(4, rulesText(ampleRate...))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		prompt := caller.Words("long", 4000)
		for _, e := range f.Deployment.Engines {
			e.SetFaults(fake.Faults{Slow: 200})
		}
		result := make(chan caller.Answer, 1)
		go func() {
			result <- caller.Ask(ctx, f.Hosts[0].CallerAddr, keyEverest, caller.Request{Model: "inspect-lm", Prompt: prompt, MaxTokens: 50, Stream: true}, nil)
		}()
		Eventually(held(f), fleet.WaitLimit).Should(BeNumerically(">", 0))
		left := time.Now()
		cancel()
		Expect((<-result).Err).To(HaveOccurred())
		Eventually(held(f), fleet.WaitLimit).Should(BeZero())
		AddReportEntry("time to free in prefill", time.Since(left).String())
		for _, r := range f.Deployment.Records() {
			Expect(r.Kind).NotTo(Equal(record.Token), "the decode must not have started")
		}
	})

	It("frees engine memory when it disconnects during the stream", func() {
		f := startFleet(4, rulesText(ampleRate...))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := caller.Request{Model: "inspect-lm", Prompt: caller.Words("short", 100), MaxTokens: 5000, Stream: true}
		var left time.Time
		a := caller.Ask(ctx, f.Hosts[0].CallerAddr, keyEverest, r, func(tokens int) {
			if tokens > 3 {
				left = time.Now()
				cancel()
			}
		})
		Expect(a.Complete).To(BeFalse())
		Eventually(held(f), fleet.WaitLimit).Should(BeZero())
		AddReportEntry("time to free in decode", time.Since(left).String())
	})

	DescribeTable("frees engine memory when the host that ran the request dies",
		func(hosts int) {
			f := startFleet(hosts, rulesText(ampleRate...))
			r := caller.Request{Model: "inspect-lm", Prompt: caller.Words("orphan", 100), MaxTokens: 20000, Stream: true}
			first := make(chan struct{})
			var once sync.Once
			go caller.Ask(context.Background(), f.Hosts[0].CallerAddr, keyEverest, r, func(int) { once.Do(func() { close(first) }) })
			Eventually(first, fleet.WaitLimit).Should(BeClosed())
			f.Hosts[0].Kill()
			Eventually(held(f), fleet.WaitLimit).Should(BeZero())
		},
		Entry("and another host of its domain lives", 8),
		Entry("and it was the last host of its domain", 4),
	)
})

var _ = Describe("A graceful stop", func() {
	DescribeTable("interrupts none of 50 streams", func(hosts int) {
		f := startFleet(hosts, rulesText(ampleRate...))
		const streams = 50
		var wg sync.WaitGroup
		var started sync.WaitGroup
		answers := make([]caller.Answer, streams)
		prompts := make([]string, streams)
		for i := range streams {
			prompts[i] = caller.Words("stop-"+string(rune('a'+i%26))+string(rune('a'+i/26)), 50)
			wg.Add(1)
			started.Add(1)
			go func() {
				defer wg.Done()
				var once sync.Once
				r := caller.Request{Model: "inspect-lm", Prompt: prompts[i], MaxTokens: 150, Stream: true}
				answers[i] = caller.Ask(context.Background(), f.Hosts[0].CallerAddr, keyEverest, r, func(int) { once.Do(started.Done) })
				once.Do(started.Done)
			}()
		}
		started.Wait()
		f.Hosts[0].Terminate()
		wg.Wait()
		for i, a := range answers {
			Expect(a.Complete).To(BeTrue(), "stream %d: status %d code %s error %v", i, a.Status, a.Code, a.Err)
			Expect(a.Text).To(Equal(content.Answer(prompts[i], 150)))
		}
		Eventually(f.Hosts[0].Done(), fleet.WaitLimit).Should(BeClosed())
		Expect(f.Hosts[0].Err()).NotTo(HaveOccurred())
	},
		Entry("of the only host of a domain", 4),
		Entry("while another host of the domain reclaims engine memory", 8),
	)
})

var _ = Describe("A decode engine that crashes", func() {
	It("loses and repeats no token of a stream", func() {
		f := startFleet(4, rulesText(ampleRate...))
		prompt := caller.Words("resume", 100)
		var once sync.Once
		r := caller.Request{Model: "inspect-lm", Prompt: prompt, MaxTokens: 300, Stream: true}
		a := caller.Ask(context.Background(), f.Hosts[0].CallerAddr, keyEverest, r, func(tokens int) {
			if tokens < 10 {
				return
			}
			once.Do(func() { crashDecodeEngine(f) })
		})
		Expect(a.Err).NotTo(HaveOccurred())
		Expect(a.Complete).To(BeTrue(), "code %s", a.Code)
		Expect(a.Text).To(Equal(content.Answer(prompt, 300)))
	})
})

// crashDecodeEngine crashes the engine that has delivered the latest token.
func crashDecodeEngine(f *fleet.Fleet) {
	records := f.Deployment.Records()
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Kind != record.Token {
			continue
		}
		b, err := f.Deployment.Backend(records[i].Server)
		Expect(err).NotTo(HaveOccurred())
		b.Crash()
		return
	}
}

var _ = Describe("Keys", func() {
	It("are not seen by any backend server", func() {
		f := startFleet(4, rulesText(ampleRate...))
		caller.Ask(context.Background(), f.Hosts[0].CallerAddr, keyEverest, caller.Request{Model: "inspect-lm", Prompt: "a b", MaxTokens: 5}, nil)
		caller.Call(f.Hosts[0].CallerAddr, "POST", "/counter/refunds", keyEverest, "body", nil)
		records := f.Deployment.Records()
		Expect(records).NotTo(BeEmpty())
		for _, r := range records {
			Expect(r.Headers).NotTo(ContainElement(ContainSubstring("demo-secret")))
		}
	})

	It("stop working when they are withdrawn, also for a running stream and an open connection", func() {
		f := startFleet(4, rulesText(ampleRate...))
		started := make(chan struct{})
		var once sync.Once
		result := make(chan caller.Answer, 1)
		go func() {
			r := caller.Request{Model: "inspect-lm", Prompt: caller.Words("w", 50), MaxTokens: 30000, Stream: true}
			result <- caller.Ask(context.Background(), f.Hosts[0].CallerAddr, keyEverest, r, func(int) { once.Do(func() { close(started) }) })
		}()
		Eventually(started, fleet.WaitLimit).Should(BeClosed())
		f.Deployment.Platform.Publish(2, fleet.WithoutKey(rulesText(ampleRate...), "everest-1"))
		var a caller.Answer
		Eventually(result, fleet.WaitLimit).Should(Receive(&a))
		Expect(a.Done).To(BeFalse())
		Expect(a.Code).To(Equal("key_withdrawn"))
		for _, h := range f.Hosts {
			Eventually(func() int {
				return caller.Ask(context.Background(), h.CallerAddr, keyEverest, caller.Request{Model: "inspect-lm", Prompt: "a b", MaxTokens: 1}, nil).Status
			}, fleet.WaitLimit).Should(Equal(401))
		}
		Eventually(held(f), fleet.WaitLimit).Should(BeZero())
	})
})
