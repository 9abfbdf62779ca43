package origin

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a book that grows without bound or returns the origin of another stream.
var _ = Describe("book", func() {
	now := time.Unix(1000, 0)
	of := func(id string, began time.Time) record {
		return record{stream: Stream{RequestID: id}, version: "v1", began: began}
	}

	It("forgets the oldest record when it is full", func() {
		b := newBook(time.Minute, 3)
		for i := range 5 {
			b.put(now, of(fmt.Sprint(i), now))
		}
		Expect(b.get(now, Stream{RequestID: "1"})).To(BeNil())
		Expect(b.get(now, Stream{RequestID: "2"})).NotTo(BeNil())
		Expect(b.index).To(HaveLen(3))
	})

	It("forgets a record after its life", func() {
		b := newBook(10*time.Second, 3)
		b.put(now, of("1", now.Add(-4*time.Second)))
		Expect(b.get(now.Add(6*time.Second), Stream{RequestID: "1"})).NotTo(BeNil())
		Expect(b.get(now.Add(6*time.Second+1), Stream{RequestID: "1"})).To(BeNil())
		b.put(now, of("2", now.Add(-11*time.Second)))
		Expect(b.get(now, Stream{RequestID: "2"})).To(BeNil())
	})

	It("tells conflicting versions, and keeps the first record otherwise", func() {
		b := newBook(time.Minute, 3)
		s := Stream{RequestID: "1"}
		b.put(now, record{stream: s, version: "v1", basis: Relayed, began: now})
		b.put(now, record{stream: s, version: "v1", basis: Told, began: now})
		Expect(b.get(now, s).basis).To(Equal(Relayed))
		Expect(b.get(now, s).conflicting).To(BeFalse())
		b.put(now, record{stream: s, version: "v2", basis: Told, began: now})
		b.put(now, record{stream: s, version: "v1", basis: Told, began: now})
		Expect(b.get(now, s).conflicting).To(BeTrue())
	})

	It("agrees with a map under random use", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		b, all, order := newBook(5*time.Second, 200), map[Stream]time.Time{}, []Stream{}
		for i := range 20000 {
			now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			r := of(fmt.Sprint(rng.IntN(i+1)), now.Add(-time.Duration(rng.IntN(1000))*time.Millisecond))
			recorded := b.get(now, r.stream) != nil
			b.put(now, r)
			if !recorded {
				all[r.stream] = r.began
				order = append(order, r.stream)
			}
			Expect(b.count).To(BeNumerically("<=", 200))
			Expect(len(b.index)).To(BeNumerically("<=", b.count))
			s := order[max(0, len(order)-1-rng.IntN(150))]
			if now.Sub(all[s]) > b.life {
				Expect(b.get(now, s)).To(BeNil())
				continue
			}
			if k := b.get(now, s); k != nil {
				Expect(k.stream).To(Equal(s))
				Expect(k.began).To(Equal(all[s]))
			} else {
				Fail(fmt.Sprintf("%d: %s is missing", i, s.RequestID))
			}
		}
	})
})
