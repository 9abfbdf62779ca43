package outputlen_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/outputlen"
)

func TestOutputLen(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outputlen")
}

var _ = Describe("a predictor", func() {
	It("expects a fraction of the limit before any answer, then the mean of the answers", func() {
		p := outputlen.New()
		Expect(p.ExpectedOutput("r", 2000, 0)).To(Equal(1000.0))
		for range 200 {
			p.RecordAnswer("r", 2000, 800, 3200*time.Millisecond)
		}
		Expect(p.ExpectedOutput("r", 2000, 0)).To(BeNumerically("~", 800, 1))
		Expect(p.ExpectedOutput("other", 2000, 0)).To(Equal(1000.0))
		Expect(p.Duration(500)).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
	})

	It("never expects more than the limit", func() {
		p := outputlen.New()
		Expect(p.ExpectedOutput("r", 2000, 1<<40)).To(Equal(2000.0))
	})

	It("ignores answers without tokens", func() {
		p := outputlen.New()
		p.RecordAnswer("r", 2000, 0, time.Second)
		Expect(p.ExpectedOutput("r", 2000, 0)).To(Equal(1000.0))
	})

	It("has a smaller error with inaccurate estimates than trusting or ignoring them", func() {
		rnd := rand.New(rand.NewPCG(1, 5))
		p := outputlen.New()
		var mixed, trusted, ignored float64
		for i := range 5000 {
			tokens := math.Exp(math.Log(700) + 0.7*rnd.NormFloat64())
			hint := math.Max(1, tokens*math.Exp(0.7*rnd.NormFloat64()))
			off := func(guess float64) float64 { return math.Abs(math.Log(guess / tokens)) }
			if i > 500 {
				mixed += off(p.ExpectedOutput("r", 1<<30, int64(hint)))
				trusted += off(hint)
				ignored += off(p.ExpectedOutput("r", 1<<30, 0))
			}
			p.RecordAnswer("r", 2000, int64(tokens), time.Second)
		}
		Expect(mixed).To(BeNumerically("<", trusted))
		Expect(mixed).To(BeNumerically("<", ignored))
	})
})
