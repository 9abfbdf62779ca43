package e2e_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/caller"
	"github.com/mulberrystream/mulberrystream/internal/content"
)

var _ = Describe("The whole path", func() {
	It("streams an answer through several hosts byte for byte", func() {
		f := startFleet(4, rulesText(ampleRate...))
		for i, h := range f.Hosts {
			prompt := caller.Words(string(h.ID), 300)
			r := caller.Request{Model: "inspect-lm", Prompt: prompt, MaxTokens: 20, Stream: i%2 == 0}
			a := caller.Ask(context.Background(), h.CallerAddr, keyEverest, r, nil)
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Status).To(Equal(200), "code %s", a.Code)
			Expect(a.Complete).To(BeTrue())
			Expect(a.Text).To(Equal(content.Answer(prompt, 20)))
		}
	})
})
