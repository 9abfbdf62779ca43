package e2e_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/caller"
	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
)

var _ = Describe("A KV cache that is corrupted without an error", func() {
	It("never leads to an answer that the caller takes for complete", func() {
		f := startFleet(4, rulesText(ampleRate...))
		corrupt := map[string]bool{}
		for i, e := range f.Deployment.Engines {
			if e.Info().Role == engine.Decode && i%2 == 0 {
				e.SetFaults(fake.Faults{CorruptKV: true})
				corrupt[string(e.Info().ID)] = true
			}
		}
		Expect(corrupt).NotTo(BeEmpty())
		complete := 0
		const requests = 40
		for i := range requests {
			prompt := caller.Words(fmt.Sprint("kv-", i), 50)
			r := caller.Request{Model: "inspect-lm", Prompt: prompt, MaxTokens: 5, Stream: i%2 == 0}
			a := caller.Ask(context.Background(), f.Hosts[i%4].CallerAddr, keyEverest, r, nil)
			if !a.Complete {
				Expect(a.Code).NotTo(BeEmpty())
				continue
			}
			complete++
			Expect(a.Text).To(Equal(content.Answer(prompt, 5)))
		}
		imports := len(f.Deployment.Log.Find(func(r record.Record) bool {
			return r.Kind == record.End && r.Step == "import" && corrupt[r.Server]
		}))
		Expect(imports).To(BeNumerically(">", 0), "no corrupted transfer took place")
		Expect(f.Deployment.Log.Find(func(r record.Record) bool {
			return r.Kind == record.Start && r.Step == "decode" && corrupt[r.Server]
		})).To(BeEmpty(), "no corrupted KV cache may be decoded from")
		AddReportEntry("corrupted transfers", fmt.Sprintf("%d corrupted transfers, all caught; %d of %d answers complete", imports, complete, requests))
	})
})

var _ = Describe("Transfers that stall", func() {
	It("cost no answer", func() {
		f := startFleet(4, rulesText(ampleRate...))
		for i, e := range f.Deployment.Engines {
			if e.Info().Role == engine.Decode && i%2 == 0 {
				e.SetFaults(fake.Faults{StallTransfer: true})
			}
		}
		const requests = 12
		for i := range requests {
			prompt := caller.Words(fmt.Sprint("stall-", i), 50)
			r := caller.Request{Model: "inspect-lm", Prompt: prompt, MaxTokens: 5, Stream: true}
			a := caller.Ask(context.Background(), f.Hosts[i%4].CallerAddr, keyEverest, r, nil)
			Expect(a.Complete).To(BeTrue(), "request %d: %s", i, a.Code)
			Expect(a.Text).To(Equal(content.Answer(prompt, 5)))
		}
		prefills := f.Deployment.Log.Find(func(r record.Record) bool {
			return r.Kind == record.Start && r.Step == "prefill"
		})
		AddReportEntry("prefills", fmt.Sprintf("%d prefills for %d requests", len(prefills), requests))
	})
})
