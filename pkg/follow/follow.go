package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// ErrCompacted says that the history after the wanted revision is gone.
var ErrCompacted = errors.New("history compacted")

// ErrNotReady says that a mirror has no copy yet.
var ErrNotReady = errors.New("no copy yet")

// Item is a key with its value, or a removed key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Page is the answer to a list or a wait.
type Page struct {
	Items []Item
	At    uint64 // revision of the store
	More  bool   // the list goes on after the last key
	// Mirrored says that the answer is that of a Mirror, and Age how old its copy was
	// when it answered.
	Mirrored bool
	Age      time.Duration
	// Held is how long the store was asked to hold the call while nothing changes.
	Held time.Duration
}

// Source reads the store.
type Source interface {
	// List returns the keys under a prefix that follow the key after.
	List(ctx context.Context, prefix, after string) (Page, error)
	// Wait returns the changes after a revision, at the latest when wait is over.
	Wait(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
}

// Sink takes what a Follower learns. Calls come from one goroutine.
type Sink interface {
	// Replace gives all items under the prefix.
	Replace(items []Item)
	// Change gives the changed items in the order of their revisions.
	Change(items []Item)
	// Contact reports a successful call that was sent at this time, and the
	// store's revision.
	Contact(sent time.Time, revision uint64)
	// Failed reports a failed call.
	Failed(err error)
}

// Config holds the timing of a Follower.
type Config struct {
	// Wait is how long the store holds a call while nothing changes. A longer one
	// costs fewer calls and leaves a silent connection unnoticed for longer.
	Wait time.Duration
	// Slack is how long a call may take beyond Wait. A shorter one finds silent
	// connections sooner and takes a slow store for an absent one.
	Slack time.Duration
	// Retry is the mean pause after a failed call. It doubles with each further failure
	// up to RetryMost: a store that is away is not called by the whole fleet all the
	// time, and its return is noticed later by as much unless Hurry is called.
	Retry     time.Duration
	RetryMost time.Duration
	// Batch is the least time between two calls, so that changes that follow each other
	// closely come together. A longer one costs fewer calls and delays changes.
	Batch time.Duration
}

// DefaultConfig finds a silent connection within two seconds, which leaves a
// second of the shortest bound of the platform (drain, 2 s after three calm
// seconds).
func DefaultConfig() Config {
	return Config{
		Wait:      1200 * time.Millisecond,
		Slack:     800 * time.Millisecond,
		Retry:     150 * time.Millisecond,
		RetryMost: 900 * time.Millisecond,
		Batch:     120 * time.Millisecond,
	}
}

// Follower keeps a copy of a prefix.
type Follower struct {
	cfg    Config
	src    Source
	sink   Sink
	prefix string
	now    func() time.Time

	hurry    chan struct{}
	listed   bool
	revision uint64
	failures int // in a row
}

// New returns a follower. now is the clock of Contact.
func New(cfg Config, src Source, sink Sink, prefix string, now func() time.Time) *Follower {
	return &Follower{cfg: cfg, src: src, sink: sink, prefix: prefix, now: now, hurry: make(chan struct{}, 1)}
}

// Hurry ends the pause after a failed call. It may be called from any goroutine.
func (f *Follower) Hurry() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		begun := f.now()
		err := f.step(ctx)
		if err == nil || ctx.Err() != nil {
			f.failures = 0
			sleep(ctx, f.cfg.Batch-f.now().Sub(begun), nil)
			continue
		}
		f.failures++
		f.sink.Failed(err)
		if errors.Is(err, ErrCompacted) {
			f.listed = false
			continue
		}
		sleep(ctx, f.pause(), f.hurry)
	}
	return nil
}

// pause returns the time until the next call after failures. It is spread, so that
// hosts that lost the store together do not return together.
func (f *Follower) pause() time.Duration {
	mean := f.cfg.Retry
	for n := 1; n < f.failures && mean < f.cfg.RetryMost; n++ {
		mean = min(2*mean, f.cfg.RetryMost)
	}
	return mean/2 + rand.N(mean)
}

// sleep returns after a time, or when ctx ends or something arrives at wake.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-wake:
	case <-time.After(d):
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	return f.wait(ctx)
}

// list reads all pages. Pages are no snapshot, so the copy continues from the
// revision of the first page: a change between the pages is then seen twice rather
// than never.
func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.Slack)
	defer cancel()
	sent := f.now()
	var (
		items []Item
		after string
		first uint64
		age   time.Duration
	)
	for {
		p, err := f.src.List(ctx, f.prefix, after)
		if err != nil {
			return fmt.Errorf("follow: list %q: %w", f.prefix, err)
		}
		if first == 0 {
			first = p.At
		}
		age = max(age, p.Age)
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			break
		}
		after = p.Items[len(p.Items)-1].Key
	}
	if first < f.revision {
		return fmt.Errorf("follow: list %q: revision %d is older than %d", f.prefix, first, f.revision)
	}
	f.listed = true
	f.revision = first
	f.sink.Replace(items)
	f.sink.Contact(sent.Add(-age), first)
	return nil
}

func (f *Follower) wait(ctx context.Context) error {
	wait := f.cfg.Wait
	if f.failures > 0 {
		// The first call after a failure only asks for what was missed.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.Slack)
	defer cancel()
	sent := f.now()
	p, err := f.src.Wait(ctx, f.prefix, f.revision, wait)
	if err != nil {
		return fmt.Errorf("follow: wait for %q: %w", f.prefix, err)
	}
	if len(p.Items) > 0 {
		f.sink.Change(p.Items)
	}
	f.revision = max(f.revision, p.At)
	if !p.Mirrored && len(p.Items) == 0 && f.now().Sub(sent) >= p.Held {
		// The store has held the call for all of the wait and then found no change.
		sent = sent.Add(p.Held)
	}
	f.sink.Contact(sent.Add(-p.Age), f.revision)
	return nil
}
