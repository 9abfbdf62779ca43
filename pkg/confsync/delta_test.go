package confsync

import (
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a delta", func() {
	It("reproduces any new text from any old one, so that no change breaks a transfer", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		random := func() []byte {
			var lines []string
			for range rng.IntN(30) {
				lines = append(lines, strings.Repeat(string(rune('a'+rng.IntN(6))), rng.IntN(4)))
			}
			return []byte(strings.Join(lines, "\n"))
		}
		for range 2000 {
			old, text := random(), random()
			got, err := applyDelta(old, makeDelta(old, text), 1<<20)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(Equal(string(text)))
		}
	})

	It("never produces more than the size limit when it is damaged", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		for range 20000 {
			d := make([]byte, rng.IntN(20))
			for i := range d {
				d[i] = byte(rng.Uint32())
			}
			out, _ := applyDelta([]byte("some\nold\ntext\n"), d, 100)
			Expect(len(out)).To(BeNumerically("<=", 100))
		}
	})
})
