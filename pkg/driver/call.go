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

// Completion is a caller's completion request. The key has been verified; its
// secret is not part of the request.
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

// Header is an HTTP header field.
type Header = enginehttp.Header

// Response is the response of a plain service.
type Response struct {
	Status int
	Header []Header
	Body   []byte
}

// End is the result of a call. Exactly one of Complete, Response and Refusal is
// set.
type End struct {
	Complete bool
	Finish   string // finish reason reported by the engine: stop or length
	Response *Response
	Refusal  *node.Refuse
}

// Call is a request in progress, as seen by the front end.
type Call struct {
	id      ident.RequestID
	arrived time.Time
	done    chan struct{}
	tokens  chan []string
	driver  *Driver

	completion *Completion
	service    *ServiceRequest

	mu       sync.Mutex
	output   []string // delivered tokens, kept to resume the response on another engine
	finish   string
	response *Response
	end      *End
	cancels  map[ident.Attempt]context.CancelFunc
}

// ID returns the request id.
func (c *Call) ID() ident.RequestID { return c.id }

// Arrived returns when the request arrived.
func (c *Call) Arrived() time.Time { return c.arrived }

// Tokens returns a channel that yields the response's tokens in order. Tokens
// sent before the call ended remain readable after Done is closed.
func (c *Call) Tokens() <-chan []string { return c.tokens }

// Done returns a channel that is closed when the call has ended.
func (c *Call) Done() <-chan struct{} { return c.done }

// End returns the result of the call. It must only be called after Done is closed.
func (c *Call) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.end
}

// CallerDisconnected reports that the caller has disconnected and cancels all
// attempts of the call.
func (c *Call) CallerDisconnected() {
	c.driver.post(node.CallerGone{ID: c.id})
	c.driver.removeCall(c)
	c.cancelAll()
}

// delivered returns the number of tokens delivered to the caller.
func (c *Call) delivered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.output)
}

// outputUntil returns the text of the first n delivered tokens, which another
// engine needs to resume the response.
func (c *Call) outputUntil(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.output[:n], "")
}

var errCallerTimeout = errors.New("timed out waiting for the caller to read the response")

// deliver sends tokens that start at offset to the caller. Tokens that were already
// delivered are skipped; a gap is an error.
func (c *Call) deliver(ctx context.Context, offset int, tokens []string, timeout time.Duration) error {
	c.mu.Lock()
	have := len(c.output)
	if offset > have {
		c.mu.Unlock()
		return errGap{want: have, got: offset}
	}
	skip := min(have-offset, len(tokens))
	undelivered := tokens[skip:]
	c.output = append(c.output, undelivered...)
	c.mu.Unlock()
	if len(undelivered) == 0 {
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case c.tokens <- undelivered:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		c.CallerDisconnected()
		return errCallerTimeout
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

// setEnd ends the call with result e. Later calls are ignored, so that no request
// is answered twice.
func (c *Call) setEnd(e End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end != nil {
		return
	}
	e.Finish = c.finish
	c.end = &e
	close(c.done)
}

// attemptContext returns the context of one attempt. It is cancelled by the
// StopCall effect, by CallerDisconnected and when the call ends.
func (c *Call) attemptContext(parent context.Context, a ident.Attempt) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithCancel(parent)
	if old := c.cancels[a]; old != nil {
		// The steps of an attempt run sequentially, so the previous one has ended.
		old()
	}
	c.cancels[a] = cancel
	return ctx
}

func (c *Call) cancelAttempt(a ident.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[a]; cancel != nil {
		cancel()
	}
}

func (c *Call) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
}
