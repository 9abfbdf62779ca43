package follow_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/follow"
)

var _ = Describe("the changes that a mirror keeps", func() {
	const (
		prefix = ""
		value  = pageBytes * 3 / 4
	)
	ctx := context.Background()
	now := time.Unix(1000, 0)

	newMirror := func() *follow.Mirror {
		m := follow.NewMirror(&recordingSink{}, pageBytes, func() time.Time { return now })
		m.Replace(nil, follow.Position{Revision: 1})
		m.Contact(now, follow.Position{Revision: 1})
		return m
	}
	write := func(m *follow.Mirror, it follow.Item) {
		m.Change([]follow.Item{it})
		m.Contact(now, follow.Position{Revision: it.Revision})
	}

	// Guards against a host that outgrows its memory by the values of a configuration that is
	// replaced many times.
	It("stay within a bound in bytes when a large value is replaced", func() {
		m := newMirror()
		for i := range uint64(600) {
			write(m, follow.Item{Key: "config", Value: bytes.Repeat([]byte{byte(i)}, value), Revision: 2 + i})
			changes, kept := m.Kept()
			Expect(kept).To(BeNumerically("<=", pageBytes), "revision %d, %d changes", 2+i, changes)
		}
	})

	// Guards against the same by the values of many keys, of which none is replaced.
	It("stay within a bound in bytes when many keys get large values", func() {
		m := newMirror()
		for i := range uint64(600) {
			write(m, follow.Item{Key: fmt.Sprint("k", i), Value: make([]byte, 64<<10), Revision: 2 + i})
			_, kept := m.Kept()
			Expect(kept).To(BeNumerically("<=", pageBytes))
		}
		p, err := m.Wait(ctx, prefix, follow.Position{Revision: 595}, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Items).To(HaveLen(6))
	})

	// Guards against a host that misses the newest configuration, or that a server was
	// removed, because the values in between are no longer kept.
	It("still hold the present state for a host that has missed replaced values", func() {
		m := newMirror()
		write(m, follow.Item{Key: "server", Value: []byte("ready"), Revision: 2})
		for i := range uint64(100) {
			write(m, follow.Item{Key: "config", Value: bytes.Repeat([]byte{byte(i)}, value), Revision: 3 + i})
		}
		write(m, follow.Item{Key: "server", Revision: 103, Removed: true})
		for after := uint64(1); after < 102; after++ {
			p, err := m.Wait(ctx, prefix, follow.Position{Revision: after}, 0)
			Expect(err).NotTo(HaveOccurred(), "after revision %d", after)
			Expect(p.At).To(Equal(uint64(103)))
			last := map[string]follow.Item{}
			for _, it := range p.Items {
				last[it.Key] = it
			}
			Expect(last["config"].Value).To(Equal(bytes.Repeat([]byte{99}, value)))
			Expect(last["server"].Removed).To(BeTrue())
		}
	})

	It("send a host to the list when a value is longer than the bound", func() {
		m := newMirror()
		write(m, follow.Item{Key: "config", Value: make([]byte, 2*pageBytes), Revision: 2})
		_, err := m.Wait(ctx, prefix, follow.Position{Revision: 1}, 0)
		Expect(err).To(MatchError(follow.ErrCompacted))
		p, err := m.List(ctx, prefix, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Items).To(HaveLen(1))
		Expect(p.Items[0].Value).To(HaveLen(2 * pageBytes))
	})

	It("leave a list whose pages stay within the bound", func() {
		m := newMirror()
		for i := range uint64(40) {
			write(m, follow.Item{Key: fmt.Sprintf("k%02d", i), Value: make([]byte, 64<<10), Revision: 2 + i})
		}
		keys, after := 0, ""
		for {
			p, err := m.List(ctx, prefix, after)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(p.Items) << 16).To(BeNumerically("<=", pageBytes))
			keys += len(p.Items)
			if !p.More {
				break
			}
			after = p.Items[len(p.Items)-1].Key
		}
		Expect(keys).To(Equal(40))
	})

	// Guards against a host that reads through a mirror and diverges from the store, whatever
	// was replaced, removed or dropped between its reads.
	It("bring every follower to the state of the store", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 46))
			m, store := newMirror(), map[string]string{}
			follower, at := map[string]string{}, uint64(1)
			for revision := uint64(2); revision < 200; revision++ {
				it := follow.Item{Key: fmt.Sprint("k", rng.IntN(6)), Revision: revision}
				if rng.IntN(4) == 0 {
					it.Removed = true
					delete(store, it.Key)
				} else {
					it.Value = bytes.Repeat([]byte{byte(revision)}, 1+rng.IntN(1<<(4+rng.IntN(17))))
					store[it.Key] = string(it.Value)
				}
				write(m, it)
				if rng.IntN(20) > 0 {
					continue
				}
				p, err := m.Wait(ctx, prefix, follow.Position{Revision: at}, 0)
				if err != nil {
					Expect(err).To(MatchError(follow.ErrCompacted))
					follower = map[string]string{}
					p = follow.Page{More: true}
					for p.More {
						after := ""
						if len(p.Items) > 0 {
							after = p.Items[len(p.Items)-1].Key
						}
						p, err = m.List(ctx, prefix, after)
						Expect(err).NotTo(HaveOccurred())
						for _, it := range p.Items {
							follower[it.Key] = string(it.Value)
						}
					}
				}
				for _, it := range p.Items {
					if it.Removed {
						delete(follower, it.Key)
					} else {
						follower[it.Key] = string(it.Value)
					}
				}
				at = p.At
				Expect(follower).To(Equal(store), "seed %d, revision %d", seed, revision)
			}
		}
	})
})
