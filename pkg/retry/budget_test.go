package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var epoch = time.Unix(1_800_000_000, 0)

var _ = Describe("Budget", func() {
	It("allows at most two retries per request, so that one request cannot loop", func() {
		b := retry.New(retry.DefaultConfig(), epoch)
		Expect(b.Allow(epoch, 0)).To(BeTrue())
		Expect(b.Allow(epoch, 1)).To(BeTrue())
		Expect(b.Allow(epoch.Add(time.Minute), 2)).To(BeFalse())
	})

	It("keeps any ten seconds within the ratio plus the floor when everything fails", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		b := retry.New(retry.DefaultConfig(), epoch)
		var firsts, retries []time.Time
		now := epoch
		for range 20_000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond)))
			b.RecordFirst(now)
			firsts = append(firsts, now)
			for n := 0; b.Allow(now, n); n++ {
				retries = append(retries, now)
			}
		}
		Expect(len(retries)).To(BeNumerically(">", len(firsts)/20))
		// A bucket of the window may just have been dropped, hence 9 s of retries.
		for i := 0; i < len(retries); i += 40 {
			t := retries[i]
			f := within(firsts, t.Add(-10*time.Second), t)
			r := within(retries, t.Add(-9*time.Second), t)
			Expect(float64(r)).To(BeNumerically("<=", 0.1*float64(f)+2*9+2))
		}
		total := 0.1*float64(len(firsts)) + 2*now.Sub(epoch).Seconds() + 2
		Expect(float64(len(retries))).To(BeNumerically("<=", total))
	})

	It("drops first attempts after the window, so that old traffic allows no burst after idle time", func() {
		b := retry.New(retry.DefaultConfig(), epoch)
		for range 1000 {
			b.RecordFirst(epoch)
		}
		later := epoch.Add(30 * time.Second)
		Expect(b.Allow(later, 0)).To(BeTrue())
		Expect(b.Allow(later, 0)).To(BeTrue())
		Expect(b.Allow(later, 0)).To(BeFalse())
	})
})

func within(ts []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range ts {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}
