package follow_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/follow"
)

func TestFollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "follow")
}

// call records the arguments of a List or Wait call.
type call struct {
	list  bool
	after uint64
	era   uint64
	wait  time.Duration
}

// scriptedSource returns the given responses in order. Further calls block until their
// context ends.
type scriptedSource struct {
	mu    sync.Mutex
	reply []func() (follow.Page, error)
	calls []call
}

func (s *scriptedSource) next(ctx context.Context, c call) (follow.Page, error) {
	s.mu.Lock()
	s.calls = append(s.calls, c)
	var reply func() (follow.Page, error)
	if len(s.reply) > 0 {
		reply, s.reply = s.reply[0], s.reply[1:]
	}
	s.mu.Unlock()
	if reply == nil {
		<-ctx.Done()
		return follow.Page{}, ctx.Err()
	}
	return reply()
}

func (s *scriptedSource) List(ctx context.Context, _, _ string) (follow.Page, error) {
	return s.next(ctx, call{list: true})
}

func (s *scriptedSource) Wait(ctx context.Context, _ string, after follow.Position, wait time.Duration) (follow.Page, error) {
	return s.next(ctx, call{after: after.Revision, era: after.Era, wait: wait})
}

func (s *scriptedSource) recorded() []call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]call(nil), s.calls...)
}

// recordingSink records the calls of a follower.
type recordingSink struct {
	mu       sync.Mutex
	replaced [][]follow.Item
	changed  []follow.Item
	sent     []time.Time
	failed   []error
}

func (r *recordingSink) Replace(items []follow.Item, _ follow.Position) {
	r.lock(func() { r.replaced = append(r.replaced, items) })
}
func (r *recordingSink) Change(items []follow.Item) {
	r.lock(func() { r.changed = append(r.changed, items...) })
}
func (r *recordingSink) Contact(sent time.Time, _ follow.Position) {
	r.lock(func() { r.sent = append(r.sent, sent) })
}
func (r *recordingSink) Failed(err error) { r.lock(func() { r.failed = append(r.failed, err) }) }

func (r *recordingSink) lock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func page(at uint64, keys ...string) func() (follow.Page, error) {
	return func() (follow.Page, error) {
		p := follow.Page{At: at}
		for _, k := range keys {
			p.Items = append(p.Items, follow.Item{Key: k, Revision: at})
		}
		return p, nil
	}
}

func failWith(err error) func() (follow.Page, error) {
	return func() (follow.Page, error) { return follow.Page{}, err }
}

var _ = Describe("a follower", func() {
	var (
		src  *scriptedSource
		sink *recordingSink
		now  time.Time
	)

	cfg := follow.Config{Wait: time.Second, ResponseTimeout: 5 * time.Second, RetryDelay: time.Millisecond}

	run := func(reply ...func() (follow.Page, error)) {
		src, sink, now = &scriptedSource{reply: reply}, &recordingSink{}, time.Unix(1000, 0)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		f := follow.New(cfg, src, sink, "", func() time.Time { return now })
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		Eventually(src.recorded).Should(HaveLen(len(reply) + 1))
		cancel()
		Eventually(done).Should(BeClosed())
	}

	It("lists once and then waits from the revision of the list", func() {
		run(page(5, "a"), page(7, "b"))
		Expect(sink.replaced).To(HaveLen(1))
		Expect(sink.changed).To(HaveLen(1))
		calls := src.recorded()
		Expect(calls[1].after).To(Equal(uint64(5)))
		Expect(calls[2].after).To(Equal(uint64(7)))
		Expect(calls[1].wait).To(Equal(cfg.Wait))
	})

	It("reports contact as of the end of the wait if nothing changed during the wait", func() {
		held := func() (follow.Page, error) {
			now = now.Add(cfg.Wait + 30*time.Millisecond)
			return follow.Page{At: 5, Held: cfg.Wait}, nil
		}
		run(page(5), held)
		Expect(sink.sent[1]).To(Equal(time.Unix(1000, 0).Add(cfg.Wait)))
	})

	It("reports contact as of the sending of the call if the response came before the end of the wait", func() {
		early := func() (follow.Page, error) {
			now = now.Add(cfg.Wait / 2)
			return follow.Page{At: 5, Held: cfg.Wait}, nil
		}
		run(page(5), early)
		Expect(sink.sent[1]).To(Equal(time.Unix(1000, 0)))
	})

	It("reports contact as of the sending of the call, not its response, if there are changes", func() {
		late := func() (follow.Page, error) {
			p := follow.Page{At: 6, Items: []follow.Item{{Key: "a"}}}
			now = now.Add(3 * time.Second)
			return p, nil
		}
		run(page(5), late)
		Expect(sink.sent).To(Equal([]time.Time{time.Unix(1000, 0), time.Unix(1000, 0)}))
	})

	restored := func(era, at uint64, keys ...string) func() (follow.Page, error) {
		return func() (follow.Page, error) {
			p, err := page(at, keys...)()
			p.Era = era
			return p, err
		}
	}

	It("lists again when the store has come back from an older copy, and accepts its lower revisions", func() {
		run(page(50, "a"), restored(1, 44, "a"), restored(1, 44, "b"), restored(1, 45, "c"))
		Expect(sink.replaced).To(HaveLen(2))
		Expect(sink.changed).To(HaveLen(1), "the answer of the new era to a revision of the old one was used")
		Expect(sink.changed[0].Key).To(Equal("c"))
		last := src.recorded()[4]
		Expect([]uint64{last.era, last.after}).To(Equal([]uint64{1, 45}))
	})

	It("lists again when the restored store does not have the revision yet", func() {
		run(page(50, "a"), failWith(follow.ErrCompacted), restored(1, 44, "b"))
		Expect(sink.replaced).To(HaveLen(2))
		Expect(src.recorded()[3].after).To(Equal(uint64(44)))
	})

	It("does not use a late answer of an earlier era", func() {
		run(restored(2, 44, "a"), restored(1, 60, "b"), restored(2, 45, "c"))
		Expect(sink.changed).To(HaveLen(1))
		Expect(sink.changed[0].Key).To(Equal("c"))
		Expect(sink.failed).To(HaveLen(1))
	})

	It("does not combine pages of two eras into one list", func() {
		first := func() (follow.Page, error) {
			p, err := page(50, "a")()
			p.More = true
			return p, err
		}
		run(first, restored(1, 44, "b"), restored(1, 44, "a", "b"))
		Expect(sink.replaced).To(HaveLen(1))
		Expect(sink.replaced[0]).To(HaveLen(2))
	})

	It("reads without waiting after a failure, so that missed changes arrive at once", func() {
		run(page(5), failWith(errors.New("reset")))
		Expect(sink.failed).To(HaveLen(1))
		Expect(src.recorded()[2].wait).To(BeZero())
		Expect(src.recorded()[2].after).To(Equal(uint64(5)))
	})

	It("keeps the minimum interval between calls when there are many changes", func() {
		src, sink = &scriptedSource{reply: []func() (follow.Page, error){page(5), page(6, "a"), page(7, "b")}}, &recordingSink{}
		longInterval := cfg
		longInterval.MinInterval = time.Hour
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = follow.New(longInterval, src, sink, "", time.Now).Run(ctx)
		}()
		Eventually(src.recorded).Should(HaveLen(1))
		Consistently(src.recorded, 50*time.Millisecond).Should(HaveLen(1))
		cancel()
		Eventually(done).Should(BeClosed())
	})

	It("lists again when the history was compacted", func() {
		run(page(5, "a"), failWith(follow.ErrCompacted), page(9, "a", "b"))
		Expect(sink.replaced).To(HaveLen(2))
		Expect(src.recorded()[2].list).To(BeTrue())
		Expect(src.recorded()[3].after).To(Equal(uint64(9)))
	})

	It("rejects a list that is older than its copy", func() {
		run(page(9), failWith(follow.ErrCompacted), page(4, "old"))
		Expect(sink.replaced).To(HaveLen(1))
		Expect(sink.failed).To(HaveLen(2))
	})

	It("reads all pages and continues from the revision of the first", func() {
		first := func() (follow.Page, error) {
			return follow.Page{At: 5, More: true, Items: []follow.Item{{Key: "a"}}}, nil
		}
		run(first, page(8, "b"))
		Expect(sink.replaced[0]).To(HaveLen(2))
		Expect(src.recorded()[2].after).To(Equal(uint64(5)))
	})
})

// unavailableSource fails every call and counts them.
type unavailableSource struct{ calls int }

func (u *unavailableSource) List(context.Context, string, string) (follow.Page, error) {
	u.calls++
	return follow.Page{}, errors.New("store unavailable")
}

func (u *unavailableSource) Wait(context.Context, string, follow.Position, time.Duration) (follow.Page, error) {
	u.calls++
	return follow.Page{}, errors.New("store unavailable")
}

// Guards against a fleet that overloads an unavailable store with retries: once the
// back-off has grown, there is at most one call in half of MaxRetryDelay.
func TestBackoffGrowsWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		src := &unavailableSource{}
		cfg := follow.DefaultConfig()
		const outage = 9 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), outage)
		defer cancel()
		g.Expect(follow.New(cfg, src, &recordingSink{}, "", time.Now).Run(ctx)).To(Succeed())
		growing := 3 // calls while the back-off is still growing
		g.Expect(src.calls).To(BeNumerically("<=", growing+int(outage/(cfg.MaxRetryDelay/2))))
		g.Expect(src.calls).To(BeNumerically(">=", int(outage/(2*cfg.MaxRetryDelay))))
	})
}

// Guards against a host that waits for the end of its back-off although another host has
// reported that the store is available again.
func TestRetryNowEndsTheBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		src := &unavailableSource{}
		cfg := follow.DefaultConfig()
		cfg.RetryDelay, cfg.MaxRetryDelay = time.Hour, time.Hour
		ctx, cancel := context.WithCancel(t.Context())
		f := follow.New(cfg, src, &recordingSink{}, "", time.Now)
		go func() { _ = f.Run(ctx) }()
		synctest.Wait()
		g.Expect(src.calls).To(Equal(1))
		f.RetryNow()
		synctest.Wait()
		g.Expect(src.calls).To(Equal(2))
		cancel()
		synctest.Wait()
	})
}
