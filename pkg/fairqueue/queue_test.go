package fairqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

func TestFairqueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairqueue")
}

type (
	queue = fairqueue.Queue[int, string]
	item  = fairqueue.Item[int, string]
)

// push adds n items of an organisation with keys from first.
func push(q *queue, o ident.Organisation, weight, cost float64, first, n int) {
	for i := range n {
		q.Push(item{Key: first + i, Organisation: o, Weight: weight, Cost: cost, Value: string(o)})
	}
}

// take serves n items and returns them in order.
func take(q *queue, n int) []item {
	var out []item
	q.Scan(func(it item) fairqueue.Decision {
		if len(out) == n {
			return fairqueue.Stop
		}
		out = append(out, it)
		return fairqueue.Take
	})
	return out
}

func served(its []item) map[ident.Organisation]float64 {
	sum := map[ident.Organisation]float64{}
	for _, it := range its {
		sum[it.Organisation] += it.Cost
	}
	return sum
}

var _ = Describe("Queue", func() {
	It("serves a small organisation that arrives late next, although another has a long backlog", func() {
		q := fairqueue.New[int, string](0)
		push(q, "overloading", 1, 1000, 0, 500)
		take(q, 100)
		push(q, "small", 1, 1000, 1000, 1)
		Expect(take(q, 2)).To(ContainElement(HaveField("Organisation", ident.Organisation("small"))))
	})

	It("shares tokens by weight, whatever the sizes of the requests", func() {
		q := fairqueue.New[int, string](0)
		push(q, "a", 3, 100, 0, 3000)
		push(q, "b", 1, 1000, 10_000, 300)
		s := served(take(q, 1000))
		Expect(s["a"] / s["b"]).To(BeNumerically("~", 3, 0.1))
	})

	It("bounds the credit for idle time by the organisation's share of the burst", func() {
		q := fairqueue.New[int, string](10_000)
		push(q, "busy", 1, 100, 0, 1000)
		push(q, "idle", 1, 100, 5000, 1)
		take(q, 500)
		push(q, "idle", 1, 100, 10_000, 400)
		s := served(take(q, 100))
		Expect(s["idle"] - s["busy"]).To(BeNumerically("~", 5000, 200))
		s = served(take(q, 100))
		Expect(s["idle"]).To(BeNumerically("~", s["busy"], 200))
	})

	It("gives no credit for idle time without a burst, which would let an organisation starve the others", func() {
		q := fairqueue.New[int, string](0)
		push(q, "busy", 1, 100, 0, 1000)
		take(q, 500)
		push(q, "idle", 1, 100, 10_000, 200)
		s := served(take(q, 100))
		Expect(s["idle"]).To(BeNumerically("~", s["busy"], 100))
	})

	It("charges the actual cost, so that a high estimate reduces no organisation's share", func() {
		q := fairqueue.New[int, string](0)
		push(q, "a", 1, 1000, 0, 400)
		push(q, "b", 1, 500, 10_000, 400)
		s := map[ident.Organisation]float64{}
		for range 400 {
			it := take(q, 1)[0]
			s[it.Organisation] += 500
			q.Charge(it.Organisation, 500-it.Cost)
		}
		Expect(s["a"]).To(BeNumerically("~", s["b"], 1000))
	})

	It("continues with other organisations when the first item of one has to wait", func() {
		q := fairqueue.New[int, string](0)
		push(q, "a", 1, 1, 0, 1)
		push(q, "b", 1, 1, 1, 1)
		var got []int
		q.Scan(func(it item) fairqueue.Decision {
			if it.Organisation == "a" {
				return fairqueue.Skip
			}
			got = append(got, it.Key)
			return fairqueue.Take
		})
		Expect(got).To(Equal([]int{1}))
		Expect(q.Len()).To(Equal(1))
	})

	It("serves higher priority first, within the organisation only", func() {
		q := fairqueue.New[int, string](0)
		q.Push(item{Key: 1, Organisation: "a", Cost: 1})
		q.Push(item{Key: 2, Organisation: "a", Cost: 1, Priority: 5})
		q.Push(item{Key: 3, Organisation: "b", Cost: 1})
		var keys []int
		for _, it := range take(q, 3) {
			keys = append(keys, it.Key)
		}
		Expect(keys).To(Equal([]int{2, 3, 1}))
	})

	It("estimates a short wait for an organisation within its share behind an overloading one", func() {
		q := fairqueue.New[int, string](0)
		push(q, "overloading", 1, 1000, 0, 500)
		Expect(q.Ahead("overloading", 1, 1000).Cost).To(BeNumerically("==", 500_000))
		Expect(q.Ahead("small", 1, 1000).Cost).To(BeNumerically("<=", 1000))
		last, ok := q.DropCandidate()
		Expect(ok).To(BeTrue())
		Expect(last.Key).To(Equal(499))
	})

	It("evicts idle organisations, so that its memory stays bounded", func() {
		q := fairqueue.New[int, string](0)
		for i := range 5000 {
			push(q, ident.Organisation(fmt.Sprint("o", i)), 1, 10, i, 1)
			take(q, 1)
		}
		Expect(q.Organisations()).To(BeNumerically("<=", 1100))
	})

	It("keeps its index consistent over random operations", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		q := fairqueue.New[int, string](0)
		want := map[int]bool{}
		for i := range 3000 {
			switch rng.IntN(4) {
			case 0, 1:
				o := ident.Organisation(fmt.Sprint("o", rng.IntN(100)))
				push(q, o, 1+float64(rng.IntN(3)), float64(1+rng.IntN(5000)), i, 1)
				want[i] = true
			case 2:
				for _, it := range take(q, 1) {
					Expect(want).To(HaveKey(it.Key))
					delete(want, it.Key)
				}
			case 3:
				key := rng.IntN(i + 1)
				_, ok := q.Remove(key)
				Expect(ok).To(Equal(want[key]))
				delete(want, key)
			}
			Expect(q.Len()).To(Equal(len(want)))
		}
		Expect(take(q, len(want))).To(HaveLen(len(want)))
	})
})
