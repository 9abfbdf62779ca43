package drills_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/caller"
	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	model          = "inspect-lm"
	loadCallers    = 4
	callerInterval = 40 * time.Millisecond // of a caller between two requests
	loadPrompt     = 40                    // words
	loadOutput     = 20                    // tokens
)

// prompts counts the prompts of the test process. Each prompt contains its number, so that
// its answer is unique.
var prompts atomic.Int64

func freshPrompt(words int) string {
	return caller.Words(fmt.Sprintf("drill-%d", prompts.Add(1)), words)
}

// sent is one request of the load.
type sent struct {
	host   ident.HostID
	at     time.Time
	prompt string
	answer caller.Answer
}

// want returns the expected answer.
func (s sent) want() string { return content.Answer(s.prompt, loadOutput) }

// correct reports whether the answer is complete and belongs to its request.
func (s sent) correct() bool {
	return s.answer.Err == nil && s.answer.Complete && s.answer.Text == s.want()
}

// load sends a small steady load of one organisation to some hosts in turn.
type load struct {
	key  string
	stop chan struct{}
	once sync.Once
	wg   sync.WaitGroup

	mu      sync.Mutex
	targets []*fleet.Host
	next    int
	done    []sent
}

// startLoad starts a load, which ends with the drill at the latest.
func startLoad(key string, targets []*fleet.Host) *load {
	l := &load{key: key, stop: make(chan struct{}), targets: append([]*fleet.Host(nil), targets...)}
	for range loadCallers {
		l.wg.Go(l.call)
	}
	DeferCleanup(l.stopAndCollect)
	return l
}

func (l *load) call() {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(callerInterval):
		}
		if h := l.target(); h != nil {
			l.ask(h)
		}
	}
}

func (l *load) target() *fleet.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.targets) == 0 {
		return nil
	}
	l.next++
	return l.targets[l.next%len(l.targets)]
}

func (l *load) ask(h *fleet.Host) {
	s := sent{host: h.ID, at: time.Now(), prompt: freshPrompt(loadPrompt)}
	ctx, cancel := context.WithTimeout(context.Background(), fleet.WaitLimit)
	defer cancel()
	r := caller.Request{Model: model, Prompt: s.prompt, MaxTokens: loadOutput, Stream: true}
	s.answer = caller.Ask(ctx, h.CallerAddr, l.key, r, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, s)
}

// setTargets replaces the hosts that get the load.
func (l *load) setTargets(targets ...*fleet.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = targets
}

// without returns the hosts except one.
func without(hosts []*fleet.Host, h *fleet.Host) []*fleet.Host {
	var out []*fleet.Host
	for _, o := range hosts {
		if o != h {
			out = append(out, o)
		}
	}
	return out
}

// stopAndCollect stops the load, waits for outstanding answers and returns all.
func (l *load) stopAndCollect() []sent {
	l.once.Do(func() { close(l.stop) })
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}

// waitAnswers waits for n more answers.
func (l *load) waitAnswers(n int) {
	GinkgoHelper()
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.done)
	}
	first := count()
	Eventually(count, fleet.WaitLimit).Should(BeNumerically(">=", first+n))
}

// expectAllCorrect ends the load and checks that no answer is missing or wrong.
func (l *load) expectAllCorrect() {
	GinkgoHelper()
	l.expectCorrect(func(sent) bool { return true })
}

// expectCorrect ends the load and checks the answers to some requests. There must be
// such requests.
func (l *load) expectCorrect(counts func(sent) bool) {
	GinkgoHelper()
	n := 0
	for _, s := range l.stopAndCollect() {
		if !counts(s) {
			continue
		}
		n++
		a := s.answer
		Expect(s.correct()).To(BeTrue(), "request to %s at %s: status %d code %s ran %s error %v, %d tokens",
			s.host, s.at.Format(time.TimeOnly), a.Status, a.Code, a.Ran, a.Err, a.Tokens)
	}
	Expect(n).To(BeNumerically(">", 0), "the drill must have had load")
}
