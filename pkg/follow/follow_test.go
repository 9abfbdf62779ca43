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

// call is one read and its answer.
type call struct {
	list  bool
	after uint64
	wait  time.Duration
}

// script is a source that answers as the test says and then waits.
type script struct {
	mu    sync.Mutex
	reply []func() (follow.Page, error)
	calls []call
}

func (s *script) next(ctx context.Context, c call) (follow.Page, error) {
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

func (s *script) List(ctx context.Context, _, _ string) (follow.Page, error) {
	return s.next(ctx, call{list: true})
}

func (s *script) Wait(ctx context.Context, _ string, after uint64, wait time.Duration) (follow.Page, error) {
	return s.next(ctx, call{after: after, wait: wait})
}

func (s *script) seen() []call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]call(nil), s.calls...)
}

// notes records what a follower says.
type notes struct {
	mu       sync.Mutex
	replaced [][]follow.Item
	changed  []follow.Item
	sent     []time.Time
	failed   []error
}

func (n *notes) Replace(items []follow.Item) {
	n.lock(func() { n.replaced = append(n.replaced, items) })
}
func (n *notes) Change(items []follow.Item) {
	n.lock(func() { n.changed = append(n.changed, items...) })
}
func (n *notes) Contact(sent time.Time, _ uint64) {
	n.lock(func() { n.sent = append(n.sent, sent) })
}
func (n *notes) Failed(err error) { n.lock(func() { n.failed = append(n.failed, err) }) }

func (n *notes) lock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
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

func failing(err error) func() (follow.Page, error) {
	return func() (follow.Page, error) { return follow.Page{}, err }
}

var _ = Describe("a follower", func() {
	var (
		src  *script
		sink *notes
		now  time.Time
	)

	cfg := follow.Config{Wait: time.Second, Slack: 5 * time.Second, Retry: time.Millisecond}

	run := func(reply ...func() (follow.Page, error)) {
		src, sink, now = &script{reply: reply}, &notes{}, time.Unix(1000, 0)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		f := follow.New(cfg, src, sink, "", func() time.Time { return now })
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		Eventually(src.seen).Should(HaveLen(len(reply) + 1))
		cancel()
		Eventually(done).Should(BeClosed())
	}

	It("lists once and then waits from the revision of the list", func() {
		run(page(5, "a"), page(7, "b"))
		Expect(sink.replaced).To(HaveLen(1))
		Expect(sink.changed).To(HaveLen(1))
		calls := src.seen()
		Expect(calls[1].after).To(Equal(uint64(5)))
		Expect(calls[2].after).To(Equal(uint64(7)))
		Expect(calls[1].wait).To(Equal(cfg.Wait))
	})

	It("reports contact as of the end of the wait if nothing changed until then", func() {
		held := func() (follow.Page, error) {
			now = now.Add(cfg.Wait + 30*time.Millisecond)
			return follow.Page{At: 5, Held: cfg.Wait}, nil
		}
		run(page(5), held)
		Expect(sink.sent[1]).To(Equal(time.Unix(1000, 0).Add(cfg.Wait)))
	})

	It("reports contact as of when the call was sent if it was answered before the end of the wait", func() {
		early := func() (follow.Page, error) {
			now = now.Add(cfg.Wait / 2)
			return follow.Page{At: 5, Held: cfg.Wait}, nil
		}
		run(page(5), early)
		Expect(sink.sent[1]).To(Equal(time.Unix(1000, 0)))
	})

	It("reports contact as of the time at which the call was sent, not answered, if there are changes", func() {
		late := func() (follow.Page, error) {
			p := follow.Page{At: 6, Items: []follow.Item{{Key: "a"}}}
			now = now.Add(3 * time.Second)
			return p, nil
		}
		run(page(5), late)
		Expect(sink.sent).To(Equal([]time.Time{time.Unix(1000, 0), time.Unix(1000, 0)}))
	})

	It("asks without waiting after a failure, so that missed changes come at once", func() {
		run(page(5), failing(errors.New("reset")))
		Expect(sink.failed).To(HaveLen(1))
		Expect(src.seen()[2].wait).To(BeZero())
		Expect(src.seen()[2].after).To(Equal(uint64(5)))
	})

	It("does not call again at once for each of many changes", func() {
		src, sink = &script{reply: []func() (follow.Page, error){page(5), page(6, "a"), page(7, "b")}}, &notes{}
		batched := cfg
		batched.Batch = time.Hour
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = follow.New(batched, src, sink, "", time.Now).Run(ctx)
		}()
		Eventually(src.seen).Should(HaveLen(1))
		Consistently(src.seen, 50*time.Millisecond).Should(HaveLen(1))
		cancel()
		Eventually(done).Should(BeClosed())
	})

	It("lists again when the history is gone", func() {
		run(page(5, "a"), failing(follow.ErrCompacted), page(9, "a", "b"))
		Expect(sink.replaced).To(HaveLen(2))
		Expect(src.seen()[2].list).To(BeTrue())
		Expect(src.seen()[3].after).To(Equal(uint64(9)))
	})

	It("does not take a list that is older than what it knows", func() {
		run(page(9), failing(follow.ErrCompacted), page(4, "old"))
		Expect(sink.replaced).To(HaveLen(1))
		Expect(sink.failed).To(HaveLen(2))
	})

	It("reads all pages and goes on from the revision of the first", func() {
		first := func() (follow.Page, error) {
			return follow.Page{At: 5, More: true, Items: []follow.Item{{Key: "a"}}}, nil
		}
		run(first, page(8, "b"))
		Expect(sink.replaced[0]).To(HaveLen(2))
		Expect(src.seen()[2].after).To(Equal(uint64(5)))
	})
})

// away is a source that never answers, and counts the calls.
type away struct{ calls int }

func (a *away) List(context.Context, string, string) (follow.Page, error) {
	a.calls++
	return follow.Page{}, errors.New("away")
}

func (a *away) Wait(context.Context, string, uint64, time.Duration) (follow.Page, error) {
	a.calls++
	return follow.Page{}, errors.New("away")
}

// Guards against a fleet that calls a store without pause while it is away: at most one
// call in half of the longest pause once the pauses have grown.
func TestPausesGrowWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		src := &away{}
		cfg := follow.DefaultConfig()
		const outage = 9 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), outage)
		defer cancel()
		g.Expect(follow.New(cfg, src, &notes{}, "", time.Now).Run(ctx)).To(Succeed())
		growing := 3 // calls with shorter pauses
		g.Expect(src.calls).To(BeNumerically("<=", growing+int(outage/(cfg.RetryMost/2))))
		g.Expect(src.calls).To(BeNumerically(">=", int(outage/(2*cfg.RetryMost))))
	})
}

// Guards against a host that stays without the store although another one has told it
// that the store is back.
func TestHurryEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		src := &away{}
		cfg := follow.DefaultConfig()
		cfg.Retry, cfg.RetryMost = time.Hour, time.Hour
		ctx, cancel := context.WithCancel(t.Context())
		f := follow.New(cfg, src, &notes{}, "", time.Now)
		go func() { _ = f.Run(ctx) }()
		synctest.Wait()
		g.Expect(src.calls).To(Equal(1))
		f.Hurry()
		synctest.Wait()
		g.Expect(src.calls).To(Equal(2))
		cancel()
		synctest.Wait()
	})
}
