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

// Config configures where and how a load is sent.
type Config struct {
	Hosts       []Host
	TimeScale   float64       // factor on the times of the workload; default 1
	Timeout     time.Duration // after which a caller disconnects; default 60 s
	IdleTimeout time.Duration // longest time without data on a stream, its start included; default Timeout
	Log         *record.Log   // records of callers; default a new log
	Watch       *Watch        // readiness of hosts; all count as ready if nil
}

func (c Config) withDefaults() Config {
	if c.TimeScale <= 0 {
		c.TimeScale = 1
	}
	if c.Timeout <= 0 {
		c.Timeout = time.Minute
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = c.Timeout
	}
	if c.Log == nil {
		c.Log = &record.Log{}
	}
	return c
}

// runner executes one run of a workload.
type runner struct {
	cfg     Config
	work    Workload
	clients []*Client
	results []Result
}

// Run sends the requests of a workload at their arrival times, independent of the
// answers, and returns the results in order of arrival. It returns when all
// requests have ended. When ctx ends, it sends no more and returns the results of
// the requests sent so far.
func Run(ctx context.Context, w Workload, cfg Config) []Result {
	cfg = cfg.withDefaults()
	arrivals := w.Arrivals()
	x := &runner{cfg: cfg, work: w, results: make([]Result, len(arrivals))}
	for _, h := range cfg.Hosts {
		c := NewClient(h.Addr, cfg.IdleTimeout)
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
		wg.Go(func() { x.results[i] = x.send(ctx, a) })
	}
	wg.Wait()
	return x.results
}

func (x *runner) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * x.cfg.TimeScale)
}

// waitUntil waits until t and reports false if ctx ended first.
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

func (x *runner) send(ctx context.Context, a Arrival) Result {
	ctx, cancel := context.WithTimeout(ctx, x.cfg.Timeout)
	defer cancel()
	if a.Call != nil {
		return x.sendCall(ctx, a)
	}
	return x.sendCompletion(ctx, a)
}

// sendWithFailover tries hosts in turn, ready ones first, until one accepts the
// request's bytes, as the platform's load balancer does when a host refuses
// connections.
func (x *runner) sendWithFailover(a Arrival, send func(h Host, c *Client) Result) Result {
	var r Result
	for _, n := range x.hostOrder(a.Host) {
		r = send(x.cfg.Hosts[n], x.clients[n])
		if !r.unsent() {
			return r
		}
	}
	return r
}

// hostOrder returns the indexes of the hosts in the order to try them: ready hosts
// first, each group in rotation from first.
func (x *runner) hostOrder(first int) []int {
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

func (x *runner) sendCompletion(ctx context.Context, a Arrival) Result {
	org := x.work.Organisations[a.Organisation]
	prompt := x.work.Prompt(a)
	body := completionBody{Model: string(x.work.Model), Prompt: prompt, MaxTokens: a.MaxTokens, Stream: !a.Unstreamed}
	want := content.Answer(prompt, a.MaxTokens)
	base := record.Record{
		Organisation: org.Name,
		Key:          org.KeyID(),
		Content:      content.PromptHash(prompt).String(),
		Path:         "/v1/completions",
		Prompt:       a.Prompt,
	}
	tries := 0
	return x.sendWithFailover(a, func(h Host, c *Client) Result {
		tries++
		b := base
		b.Call = fmt.Sprintf("%d-%d", a.Index, tries)
		b.Host = h.ID
		r := Result{Arrival: a, Want: want}
		x.recordSent(b, want)
		c.Complete(ctx, org.Key, body, &r, observer{
			onFirstToken: func() { x.addRecord(b, record.First) },
			onText:       func(tokens int) bool { return a.CancelAfter == 0 || tokens < a.CancelAfter },
		})
		x.recordEnd(b, r)
		return r
	})
}

// sendCall sends a call to a plain service. If it is unknown whether a call with an
// idempotency key was executed, the caller retries it once with the same key.
func (x *runner) sendCall(ctx context.Context, a Arrival) Result {
	org := x.work.Organisations[a.Organisation]
	body := x.work.Body(a)
	hash := content.CallHash("POST", a.Call.Path, body)
	base := record.Record{
		Organisation: org.Name,
		Key:          org.KeyID(),
		Content:      hash.String(),
		Path:         a.Call.Path,
		NoRepeat:     a.Call.NonIdempotent,
	}
	key := ""
	if a.Call.Open {
		base.Organisation, base.Key, org.Key = "", "", ""
	}
	if a.Call.NonIdempotent && !a.Call.NoIdempotencyKey {
		key = idempotencyKey(x.work.Seed, a.Index)
	}
	tries := 0
	send := func(h Host, c *Client) Result {
		tries++
		b := base
		b.Call = fmt.Sprintf("%d-%d", a.Index, tries)
		b.Host = h.ID
		r := Result{Arrival: a, Want: content.CallAnswer(hash)}
		x.recordSent(b, r.Want)
		c.Call(ctx, org.Key, a.Call.Path, key, body, &r)
		x.recordEnd(b, r)
		return r
	}
	r := x.sendWithFailover(a, send)
	if doubtful := r.Outcome == record.Broken || r.Ran == "unknown"; doubtful && key != "" {
		a.Host++
		r = x.sendWithFailover(a, send)
	}
	return r
}

// idempotencyKey returns a UUIDv7 of the current time whose random part is derived
// from the seed and the request index.
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

func (x *runner) addRecord(b record.Record, kind record.Kind) {
	b.Kind = kind
	x.cfg.Log.Add(b)
}

func (x *runner) recordSent(b record.Record, want string) {
	b.Want = want
	x.addRecord(b, record.Sent)
}

// recordEnd records the outcome of a request, and one more Answered record for each
// extra terminator, so that the checkers see a duplicate end.
func (x *runner) recordEnd(b record.Record, r Result) {
	b.Text = r.Text
	b.Tokens = r.Tokens
	b.Reason = r.Code
	b.Ran = r.Ran
	if r.Err != nil && b.Reason == "" {
		b.Reason = r.Err.Error()
	}
	x.addRecord(b, r.Outcome)
	for range r.Terminators - 1 {
		x.addRecord(b, record.Answered)
	}
}
