package e2e_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/content"
)

var _ = Describe("The whole path", func() {
	It("streams an answer through several hosts byte for byte", func() {
		f := startFleet(4, rulesText(ampleRate...))
		for i, h := range f.Hosts {
			prompt := words(string(h.ID), 300)
			r := completionRequest{Model: "inspect-lm", Prompt: prompt, MaxTokens: 20, Stream: i%2 == 0}
			a := ask(context.Background(), h.Caller, keyEverest, r, nil)
			Expect(a.readErr).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(200), "code %s", a.code)
			Expect(a.complete).To(BeTrue())
			Expect(a.text).To(Equal(content.Answer(prompt, 20)))
		}
	})
})
