package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

var _ = Describe("Book at a single host", func() {
	It("books a prefill engine and a decode slot at once when both are idle", func() {
		self := host(teku, 0)
		p := placement.New(placement.DefaultConfig(self, teku), epoch)
		p.SetEngines(epoch, []engine.Info{
			backend(teku, engine.Prefill, 0, "v1"),
			backend(teku, engine.Decode, 0, "v1"),
		})
		out := p.Book(epoch, request(self, 1))
		Expect(out.Booked).To(HaveLen(1))
		Expect(out.Booked[0].Prefill.Role).To(Equal(engine.Prefill))
		Expect(out.Booked[0].Decode.Role).To(Equal(engine.Decode))
		Expect(p.Free()).To(ConsistOf(placement.PoolFree{Domain: teku, Model: model, Free: 19}))
		p.Release(epoch, out.Booked[0].Ref, 10)
		Expect(p.Free()[0].Free).To(Equal(20))
	})
})
