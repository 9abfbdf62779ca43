package load

import (
	"context"

	"github.com/mulberrystream/mulberrystream/internal/content"
)

// SendCompletion sends one completion of a workload, reusing the client's open
// connections, and returns its result.
func (c *Client) SendCompletion(ctx context.Context, w Workload, a Arrival) Result {
	prompt := w.Prompt(a)
	r := Result{Arrival: a, Want: content.Answer(prompt, a.MaxTokens)}
	body := completionBody{Model: string(w.Model), Prompt: prompt, MaxTokens: a.MaxTokens, Stream: true}
	c.Complete(ctx, w.Organisations[a.Organisation].Key, body, &r, observer{onFirstToken: func() {}})
	return r
}
