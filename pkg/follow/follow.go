package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// ErrCompacted means that the changes after the requested revision are no longer
// available.
var ErrCompacted = errors.New("history compacted")

// ErrRestored means that the store has come back from an older copy of its data: the
// revisions known so far say nothing about the present ones.
var ErrRestored = errors.New("store restored from an older copy")

// ErrNotReady means that a mirror has no copy yet or that its last read failed.
var ErrNotReady = errors.New("no copy yet")

// Item is a key with its value, or a removed key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
	// Created is the revision at which the key was created; 0 if that is unknown. Mirrors
	// do not pass it on.
	Created uint64 `cbor:"-"`
}

// bytes returns the bytes of the key and the value.
func (it Item) bytes() int { return len(it.Key) + len(it.Value) }

// Position is a point in the history of the store. A store that is restored from an older
// copy starts a new era and assigns revisions again, so revisions are compared only within
// one era.
type Position struct {
	Era      uint64
	Revision uint64
}

// Before reports whether p is earlier than o.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || p.Era == o.Era && p.Revision < o.Revision
}

// Page is the response to a List or Wait call.
type Page struct {
	Items []Item
	At    uint64 // revision of the store
	Era   uint64 // of At and of the revisions of Items
	More  bool   // more keys follow the last one
	// Mirrored is set if the response comes from a Mirror. Age is then the age of the
	// mirror's copy when it responded.
	Mirrored bool
	Age      time.Duration
	// Held is how long the store was asked to hold the call if nothing changed, or how long
	// a Mirror has held it.
	Held time.Duration
}

// Bytes returns the bytes of the keys and values of a page.
func (p Page) Bytes() int64 {
	n := 0
	for _, it := range p.Items {
		n += it.bytes()
	}
	return int64(n)
}

// Source reads the store or a mirror of it.
type Source interface {
	// List returns a page of the keys under a prefix that sort after the key after; an
	// empty after starts with the first key.
	List(ctx context.Context, prefix, after string) (Page, error)
	// Wait returns the changes after a position as soon as there are any, or none once
	// wait has passed.
	Wait(ctx context.Context, prefix string, after Position, wait time.Duration) (Page, error)
}

// Sink receives the items and events of a Follower. All calls come from one goroutine.
type Sink interface {
	// Replace passes all items under the prefix and the position of the store.
	Replace(items []Item, at Position)
	// Change passes the changed items in the order of their revisions.
	Change(items []Item)
	// Contact reports a successful call and the position of the store. The copy is at
	// least as recent as sent.
	Contact(sent time.Time, at Position)
	// Failed reports a failed call.
	Failed(err error)
}

// Config holds the timing of a Follower.
type Config struct {
	// Wait is how long the store holds a call if nothing changes. A longer wait needs
	// fewer calls, but a dead connection is detected later.
	Wait time.Duration
	// ResponseTimeout is how long a call may take beyond Wait. A shorter timeout
	// detects dead connections sooner, but treats a slow store as unavailable.
	ResponseTimeout time.Duration
	// RetryDelay is the mean back-off after a failed call. It doubles with each further
	// failure up to MaxRetryDelay, so that the fleet does not overload a store that is
	// unavailable. The store's recovery is noticed later by up to this delay unless
	// RetryNow is called.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// MinInterval is the minimum time between two calls. Changes within it arrive in one
	// response. A longer interval needs fewer calls, but delays changes.
	MinInterval time.Duration
}

// DefaultConfig detects a dead connection within two seconds (Wait plus
// ResponseTimeout). The platform's shortest time limit requires that a drain takes effect
// within 2 s once there have been no faults for three seconds. A connection that died in
// a fault is detected a second before those three have passed.
func DefaultConfig() Config {
	return Config{
		Wait:            1200 * time.Millisecond,
		ResponseTimeout: 800 * time.Millisecond,
		RetryDelay:      150 * time.Millisecond,
		MaxRetryDelay:   900 * time.Millisecond,
		MinInterval:     120 * time.Millisecond,
	}
}

// Follower reads the items under a prefix, then their changes, and passes them to a Sink.
type Follower struct {
	cfg    Config
	source Source
	sink   Sink
	prefix string
	now    func() time.Time

	retryNow chan struct{}
	listed   bool
	at       Position
	failures int // consecutive
}

// New returns a follower. now is the clock for the times passed to Sink.Contact.
func New(cfg Config, src Source, sink Sink, prefix string, now func() time.Time) *Follower {
	return &Follower{cfg: cfg, source: src, sink: sink, prefix: prefix, now: now, retryNow: make(chan struct{}, 1)}
}

// RetryNow ends the back-off after a failed call. It may be called from any goroutine.
func (f *Follower) RetryNow() {
	select {
	case f.retryNow <- struct{}{}:
	default:
	}
}

// Run reads from the source until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		start := f.now()
		err := f.read(ctx)
		if err == nil || ctx.Err() != nil {
			f.failures = 0
			sleep(ctx, f.cfg.MinInterval-f.now().Sub(start), nil)
			continue
		}
		f.failures++
		f.sink.Failed(err)
		if needsList(err) {
			f.listed = false
			continue
		}
		sleep(ctx, f.backoff(), f.retryNow)
	}
	return nil
}

// needsList reports whether a read failed only because the store has to be listed again.
func needsList(err error) bool { return errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) }

// backoff returns the delay before the next call after a failure. It is randomised, so
// that hosts that lost the store at the same time do not retry at the same time.
func (f *Follower) backoff() time.Duration {
	mean := f.cfg.RetryDelay
	for n := 1; n < f.failures && mean < f.cfg.MaxRetryDelay; n++ {
		mean = min(2*mean, f.cfg.MaxRetryDelay)
	}
	return mean/2 + rand.N(mean)
}

// sleep returns after d, or earlier if ctx ends or wake receives a value.
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

func (f *Follower) read(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	return f.wait(ctx)
}

// list reads all pages. The pages together are not a consistent snapshot, so the
// follower continues from the revision of the first page: a change between two pages is
// then received twice rather than missed.
func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.ResponseTimeout)
	defer cancel()
	sent := f.now()
	var (
		items []Item
		after string
		first Position // of the first page
		age   time.Duration
	)
	for {
		p, err := f.source.List(ctx, f.prefix, after)
		if err != nil {
			return fmt.Errorf("follow: list %q: %w", f.prefix, err)
		}
		at := Position{p.Era, p.At}
		if first == (Position{}) {
			first = at
		}
		if at.Era != first.Era {
			return fmt.Errorf("follow: list %q: restored between two pages, era %d to %d", f.prefix, first.Era, at.Era)
		}
		age = max(age, p.Age)
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			break
		}
		after = p.Items[len(p.Items)-1].Key
	}
	if first.Before(f.at) {
		return fmt.Errorf("follow: list %q: %+v is older than %+v", f.prefix, first, f.at)
	}
	f.listed = true
	f.at = first
	f.sink.Replace(items, first)
	f.sink.Contact(sent.Add(-age), first)
	return nil
}

func (f *Follower) wait(ctx context.Context) error {
	wait := f.cfg.Wait
	if f.failures > 0 {
		// After a failure, the missed changes are fetched without waiting for new ones.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.ResponseTimeout)
	defer cancel()
	sent := f.now()
	p, err := f.source.Wait(ctx, f.prefix, f.at, wait)
	switch {
	case err != nil:
		return fmt.Errorf("follow: wait for %q: %w", f.prefix, err)
	case p.Era > f.at.Era:
		return fmt.Errorf("follow: wait for %q: era %d after %d: %w", f.prefix, p.Era, f.at.Era, ErrRestored)
	case p.Era < f.at.Era:
		return fmt.Errorf("follow: wait for %q: answer of era %d is older than era %d", f.prefix, p.Era, f.at.Era)
	}
	if len(p.Items) > 0 {
		f.sink.Change(p.Items)
	}
	f.at.Revision = max(f.at.Revision, p.At)
	if (p.Mirrored || len(p.Items) == 0) && f.now().Sub(sent) >= p.Held {
		// The store held the call for the whole wait and found no change at its end, so
		// the copy was current then. A mirror states the age of its copy as of the end of
		// the time for which it held the call.
		sent = sent.Add(p.Held)
	}
	f.sink.Contact(sent.Add(-p.Age), f.at)
	return nil
}
