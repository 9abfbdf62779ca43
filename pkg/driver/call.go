package driver

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine/enginehttp"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// Completion is a caller's request for generated text. The key has been
// verified; its secret is not part of the request.
type Completion struct {
	Key          ident.KeyID
	Organisation ident.Organisation
	Model        ident.Model
	Adapter      ident.Version
	Prompt       string
	PromptTokens int
	MaxTokens    int
	Prefix       []uint64
}

// ServiceRequest is a caller's request to a plain service, without its key.
type ServiceRequest struct {
	Key            ident.KeyID
	Organisation   ident.Organisation
	Method         string
	Path           string
	URI            string
	Header         []Header
	Body           []byte
	IdempotencyKey string
	BodyDigest     uint64
}

// Header is one header line.
type Header = enginehttp.Header

// Response is the answer of a plain service.
type Response struct {
	Status int
	Header []Header
	Body   []byte
}

// End says how a call ended. Exactly one of Complete, Response and Refusal is
// set.
type End struct {
	Complete bool
	Finish   string // reason of the engine: stop or length
	Response *Response
	Refusal  *node.Refuse
}

// Call is one request in hand, as the front end sees it.
type Call struct {
	id      ident.RequestID
	arrived time.Time
	done    chan struct{}
	tokens  chan []string
	driver  *Driver

	completion *Completion
	service    *ServiceRequest

	mu       sync.Mutex
	output   []string // delivered tokens, needed to resume on another engine
	finish   string
	response *Response
	end      *End
	cancels  map[ident.Attempt]context.CancelFunc
}

// ID returns the request id.
func (c *Call) ID() ident.RequestID { return c.id }

// Arrived returns when the request arrived.
func (c *Call) Arrived() time.Time { return c.arrived }

// Tokens returns the channel of the answer's tokens in order. Tokens that were
// sent before the end remain readable after Done is closed.
func (c *Call) Tokens() <-chan []string { return c.tokens }

// Done is closed when the call has ended.
func (c *Call) Done() <-chan struct{} { return c.done }

// End returns how the call ended. It must be called after Done is closed.
func (c *Call) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.end
}

// Gone says that the caller is no longer there.
func (c *Call) Gone() {
	c.driver.post(node.CallerGone{ID: c.id})
	c.driver.forget(c)
	c.stopAll()
}

// delivered returns how many tokens the caller has been given.
func (c *Call) delivered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.output)
}

// outputUntil returns the first n delivered tokens, which another engine needs
// to resume the answer.
func (c *Call) outputUntil(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.output[:n], "")
}

var errCallerSlow = errors.New("the caller has stopped reading")

// give hands tokens that begin at offset to the caller. Tokens that the caller
// already has are skipped; a gap is an error.
func (c *Call) give(ctx context.Context, offset int, tokens []string, patience time.Duration) error {
	c.mu.Lock()
	have := len(c.output)
	if offset > have {
		c.mu.Unlock()
		return errGap{want: have, got: offset}
	}
	skip := min(have-offset, len(tokens))
	fresh := tokens[skip:]
	c.output = append(c.output, fresh...)
	c.mu.Unlock()
	if len(fresh) == 0 {
		return nil
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case c.tokens <- fresh:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		c.Gone()
		return errCallerSlow
	}
}

func (c *Call) setFinish(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish = reason
}

func (c *Call) setResponse(r *Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = r
}

// finishWith ends the call once; later ends are ignored, so that no request is
// answered twice.
func (c *Call) finishWith(e End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end != nil {
		return
	}
	e.Finish = c.finish
	c.end = &e
	close(c.done)
}

// attemptContext returns the context of one attempt. StopCall and Gone end it.
func (c *Call) attemptContext(parent context.Context, a ident.Attempt) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithCancel(parent)
	if old := c.cancels[a]; old != nil {
		// The steps of one attempt follow one another, so the former has ended.
		old()
	}
	c.cancels[a] = cancel
	return ctx
}

func (c *Call) stop(a ident.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[a]; cancel != nil {
		cancel()
	}
}

func (c *Call) stopAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
}
