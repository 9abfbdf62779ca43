package follow_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/follow"
)

// pageBytes is the bound of the mirrors of these tests.
const pageBytes = 1 << 20

var _ = Describe("a mirror", func() {
	var (
		m    *follow.Mirror
		now  time.Time
		sink *recordingSink
	)

	ctx := context.Background()
	item := func(key string, revision uint64) follow.Item {
		return follow.Item{Key: key, Value: []byte(key), Revision: revision}
	}

	BeforeEach(func() {
		now, sink = time.Unix(1000, 0), &recordingSink{}
		m = follow.NewMirror(sink, pageBytes, func() time.Time { return now })
	})

	It("is not ready before it has a copy", func() {
		_, err := m.List(ctx, "", "")
		Expect(err).To(MatchError(follow.ErrNotReady))
		_, err = m.Wait(ctx, "", follow.Position{Revision: 1}, 0)
		Expect(err).To(MatchError(follow.ErrNotReady))
	})

	It("passes its copy with the position of the store, once it has one", func() {
		_, _, ok := m.Copy()
		Expect(ok).To(BeFalse())
		m.Replace([]follow.Item{item("a", 2), item("b", 3)}, follow.Position{Era: 1, Revision: 3})
		m.Change([]follow.Item{{Key: "a", Revision: 4, Removed: true}})
		m.Contact(now, follow.Position{Era: 1, Revision: 4})
		items, at, ok := m.Copy()
		Expect(ok).To(BeTrue())
		Expect(items).To(Equal([]follow.Item{item("b", 3)}))
		Expect(at).To(Equal(follow.Position{Era: 1, Revision: 4}))
	})

	It("keeps serving its copy, with its age, when a read fails, and is not ready once reads have failed for a second", func() {
		m.Replace(nil, follow.Position{Revision: 3})
		m.Contact(now, follow.Position{Revision: 3})
		now = now.Add(100 * time.Millisecond)
		m.Failed(errors.New("watch was cut"))
		now = now.Add(900 * time.Millisecond)
		p, err := m.Wait(ctx, "", follow.Position{Revision: 3}, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Age).To(Equal(time.Second))
		m.Failed(errors.New("reset"))
		now = now.Add(100 * time.Millisecond)
		_, err = m.Wait(ctx, "", follow.Position{Revision: 3}, time.Minute)
		Expect(err).To(MatchError(follow.ErrNotReady))
		_, err = m.List(ctx, "", "")
		Expect(err).To(MatchError(follow.ErrNotReady))
		m.Contact(now, follow.Position{Revision: 3})
		_, err = m.Wait(ctx, "", follow.Position{Revision: 3}, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a whole fleet that lists the store at once because its history was
	// dropped: the hosts' mirrors have to list it again, and they do so in milliseconds.
	It("serves its copy while it lists the store again, and then has its readers list the mirror", func() {
		m.Replace([]follow.Item{item("a", 3)}, follow.Position{Revision: 3})
		m.Contact(now, follow.Position{Revision: 3})
		for _, err := range []error{follow.ErrCompacted, follow.ErrRestored} {
			m.Failed(err)
			p, err := m.List(ctx, "", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Items).To(HaveLen(1))
			_, err = m.Wait(ctx, "", follow.Position{Revision: 3}, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		m.Replace([]follow.Item{item("a", 3), item("b", 9)}, follow.Position{Revision: 9})
		p, err := m.List(ctx, "", "")
		Expect(err).NotTo(HaveOccurred(), "there is a copy between the list and the report of contact")
		Expect(p.At).To(Equal(uint64(9)))
		m.Contact(now, follow.Position{Revision: 9})
		_, err = m.Wait(ctx, "", follow.Position{Revision: 3}, 0)
		Expect(err).To(MatchError(follow.ErrCompacted))
	})

	It("does not mix the revisions of two eras of the store", func() {
		m.Replace(nil, follow.Position{Revision: 50})
		m.Contact(now, follow.Position{Revision: 50})
		_, err := m.Wait(ctx, "", follow.Position{Era: 1, Revision: 40}, 0)
		Expect(err).To(MatchError(follow.ErrNotReady), "the caller has seen a later era than the mirror")
		m.Replace([]follow.Item{item("a", 44)}, follow.Position{Era: 1, Revision: 44})
		m.Contact(now, follow.Position{Era: 1, Revision: 44})
		_, err = m.Wait(ctx, "", follow.Position{Revision: 50}, 0)
		Expect(err).To(MatchError(follow.ErrCompacted), "the caller's revision is of the earlier era")
		p, err := m.List(ctx, "", "")
		Expect(err).NotTo(HaveOccurred())
		Expect([]uint64{p.Era, p.At}).To(Equal([]uint64{1, 44}))
		p, err = m.Wait(ctx, "", follow.Position{Era: 1, Revision: 44}, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Era).To(Equal(uint64(1)))
	})

	It("returns the copy in pages, with its age", func() {
		var items []follow.Item
		for i := range 450 {
			items = append(items, item(fmt.Sprintf("k%03d", i), 3))
		}
		m.Replace(items, follow.Position{Revision: 3})
		m.Contact(now, follow.Position{Revision: 3})
		now = now.Add(700 * time.Millisecond)
		got, after := 0, ""
		for {
			p, err := m.List(ctx, "k", after)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Age).To(Equal(700 * time.Millisecond))
			got += len(p.Items)
			if !p.More {
				break
			}
			after = p.Items[len(p.Items)-1].Key
		}
		Expect(got).To(Equal(450))
		Expect(sink.replaced).To(HaveLen(1), "the list is forwarded to the next sink")
	})

	It("wakes waiting callers when there are changes", func() {
		m.Replace(nil, follow.Position{Revision: 3})
		m.Contact(now, follow.Position{Revision: 3})
		got := make(chan follow.Page)
		go func() {
			defer GinkgoRecover()
			p, err := m.Wait(ctx, "", follow.Position{Revision: 3}, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			got <- p
		}()
		m.Change([]follow.Item{item("a", 4)})
		m.Contact(now, follow.Position{Revision: 4})
		var p follow.Page
		Eventually(got, 10*time.Second).Should(Receive(&p))
		Expect(p.Items).To(HaveLen(1))
		Expect(p.At).To(Equal(uint64(4)))
	})

	It("reports a compacted history after a new list, and for revisions before its history", func() {
		m.Replace(nil, follow.Position{Revision: 3})
		m.Contact(now, follow.Position{Revision: 3})
		for i := range uint64(1000) {
			m.Change([]follow.Item{item("a", 4+i)})
			m.Contact(now, follow.Position{Revision: 4 + i})
		}
		_, err := m.Wait(ctx, "", follow.Position{Revision: 3}, 0)
		Expect(err).To(MatchError(follow.ErrCompacted))
		p, err := m.Wait(ctx, "", follow.Position{Revision: 1000}, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Items).To(HaveLen(3))
		m.Replace(nil, follow.Position{Revision: 2000})
		m.Contact(now, follow.Position{Revision: 2000})
		_, err = m.Wait(ctx, "", follow.Position{Revision: 1003}, 0)
		Expect(err).To(MatchError(follow.ErrCompacted))
	})

	It("never makes a follower date its copy later than the mirror's", func() {
		for seed := range uint64(300) {
			rnd := rand.New(rand.NewPCG(seed, 6))
			now = time.Unix(1000, 0)
			m = follow.NewMirror(&recordingSink{}, pageBytes, func() time.Time { return now })
			m.Replace(nil, follow.Position{Revision: 3})
			asOf := now.Add(-time.Duration(rnd.IntN(1000)) * time.Millisecond)
			m.Contact(asOf, follow.Position{Revision: 3})
			now = now.Add(time.Duration(rnd.IntN(3000)) * time.Millisecond)
			sent := now
			// The clock advances with each use, as if the mirror's host were paused in between.
			m = follow.NewMirror(&recordingSink{}, pageBytes, func() time.Time {
				now = now.Add(time.Duration(rnd.IntN(50)) * time.Millisecond)
				return now
			})
			m.Replace(nil, follow.Position{Revision: 3})
			m.Contact(asOf, follow.Position{Revision: 3})
			p, err := m.Wait(ctx, "", follow.Position{Revision: 3}, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(sent.Add(p.Held-p.Age)).NotTo(BeTemporally(">", asOf), "seed %d", seed)
		}
	})
})
