package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Host is an entry host.
type Host struct {
	ID   ident.HostID
	Addr string
}

// Config says where a load goes.
type Config struct {
	Hosts   []Host
	Scale   float64       // factor on the times of the workload; 1 if zero
	Timeout time.Duration // a caller goes away after it; 60 s if zero
	Silence time.Duration // longest silence of a stream, its start included; Timeout if zero
	Log     *record.Log   // of callers; a new one if nil
	Watch   *Watch        // readiness of hosts; all are ready if nil
}

func (c Config) withDefaults() Config {
	if c.Scale <= 0 {
		c.Scale = 1
	}
	if c.Timeout <= 0 {
		c.Timeout = time.Minute
	}
	if c.Silence <= 0 {
		c.Silence = c.Timeout
	}
	if c.Log == nil {
		c.Log = &record.Log{}
	}
	return c
}

// runner is one run of a workload.
type runner struct {
	cfg     Config
	work    Workload
	clients []*Client
	results []Result
}

// Run sends the requests of a workload at their times, whatever the answers, and
// returns what the callers saw, in order of arrival. It ends when all callers
// have an end or ctx ends.
func Run(ctx context.Context, w Workload, cfg Config) []Result {
	cfg = cfg.withDefaults()
	arrivals := w.Arrivals()
	x := &runner{cfg: cfg, work: w, results: make([]Result, len(arrivals))}
	for _, h := range cfg.Hosts {
		c := NewClient(h.Addr, cfg.Silence)
		defer c.Close()
		x.clients = append(x.clients, c)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for i, a := range arrivals {
		if !waitUntil(ctx, start.Add(x.scaled(a.At))) {
			return x.results[:i]
		}
		wg.Go(func() { x.results[i] = x.one(ctx, a) })
	}
	wg.Wait()
	return x.results
}

func (x *runner) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * x.cfg.Scale)
}

func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (x *runner) one(ctx context.Context, a Arrival) Result {
	ctx, cancel := context.WithTimeout(ctx, x.cfg.Timeout)
	defer cancel()
	if a.Call != nil {
		return x.call(ctx, a)
	}
	return x.complete(ctx, a)
}

// attempt sends a request to one ready host after another until one takes its
// bytes, as the platform's load balancer does with a host that does not accept.
func (x *runner) attempt(a Arrival, send func(h Host, c *Client) Result) Result {
	var r Result
	for _, n := range x.order(a.Host) {
		r = send(x.cfg.Hosts[n], x.clients[n])
		if !r.unsent() {
			return r
		}
	}
	return r
}

// order returns the hosts from a random one on, ready ones first.
func (x *runner) order(first int) []int {
	var ready, other []int
	for i := range x.cfg.Hosts {
		n := (first + i) % len(x.cfg.Hosts)
		if x.cfg.Watch == nil || x.cfg.Watch.Ready(x.cfg.Hosts[n].ID) {
			ready = append(ready, n)
		} else {
			other = append(other, n)
		}
	}
	return append(ready, other...)
}

func (x *runner) complete(ctx context.Context, a Arrival) Result {
	org := x.work.Organisations[a.Organisation]
	prompt := x.work.Prompt(a)
	body := completionBody{Model: string(x.work.Model), Prompt: prompt, MaxTokens: a.MaxTokens, Stream: !a.Whole}
	want := content.Answer(prompt, a.MaxTokens)
	base := record.Record{
		Organisation: org.Name,
		Key:          org.KeyID(),
		Content:      content.Of(prompt).String(),
		Path:         "/v1/completions",
		Prompt:       a.Prompt,
	}
	tries := 0
	return x.attempt(a, func(h Host, c *Client) Result {
		tries++
		b := base
		b.Call = fmt.Sprintf("%d-%d", a.Index, tries)
		b.Host = h.ID
		r := Result{Arrival: a, Want: want}
		x.noteSent(b, want)
		c.Complete(ctx, org.Key, body, &r, observer{
			first: func() { x.note(b, record.First) },
			text:  func(tokens int) bool { return a.CancelAfter == 0 || tokens < a.CancelAfter },
		})
		x.noteEnd(b, r)
		return r
	})
}

// call sends a call of a plain service. A caller that does not know whether a
// non-idempotent call ran repeats it once with the same idempotency key.
func (x *runner) call(ctx context.Context, a Arrival) Result {
	org := x.work.Organisations[a.Organisation]
	body := x.work.Body(a)
	hash := content.OfCall("POST", a.Call.Path, body)
	base := record.Record{
		Organisation: org.Name,
		Key:          org.KeyID(),
		Content:      hash.String(),
		Path:         a.Call.Path,
		NoRepeat:     a.Call.NoRepeat,
	}
	key := ""
	if a.Call.Open {
		base.Organisation, base.Key, org.Key = "", "", ""
	}
	if a.Call.NoRepeat && !a.Call.NoKey {
		key = idempotencyKey(x.work.Seed, a.Index)
	}
	tries := 0
	send := func(h Host, c *Client) Result {
		tries++
		b := base
		b.Call = fmt.Sprintf("%d-%d", a.Index, tries)
		b.Host = h.ID
		r := Result{Arrival: a, Want: content.CallAnswer(hash)}
		x.noteSent(b, r.Want)
		c.Call(ctx, org.Key, a.Call.Path, key, body, &r)
		x.noteEnd(b, r)
		return r
	}
	r := x.attempt(a, send)
	if doubtful := r.Outcome == record.Broken || r.Ran == "unknown"; doubtful && key != "" {
		a.Host++
		r = x.attempt(a, send)
	}
	return r
}

// idempotencyKey returns a UUIDv7 of the current time whose random part derives
// from the seed.
func idempotencyKey(seed uint64, index int) string {
	var src [32]byte
	for i := range 8 {
		src[i] = byte(seed >> (8 * i))
		src[8+i] = byte(uint64(index) >> (8 * i))
	}
	id, err := uuid.NewV7FromReader(rand.NewChaCha8(src))
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func (x *runner) note(b record.Record, kind record.Kind) {
	b.Kind = kind
	x.cfg.Log.Add(b)
}

func (x *runner) noteSent(b record.Record, want string) {
	b.Want = want
	x.note(b, record.Sent)
}

func (x *runner) noteEnd(b record.Record, r Result) {
	b.Text = r.Text
	b.Tokens = r.Tokens
	b.Reason = r.Code
	b.Ran = r.Ran
	if r.Err != nil && b.Reason == "" {
		b.Reason = r.Err.Error()
	}
	x.note(b, r.Outcome)
	for range r.Terminated - 1 {
		x.note(b, record.Answered)
	}
}
