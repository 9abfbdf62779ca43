package sendonce

import "context"

type checkKey struct{}

// WithCheck returns a context whose calls run check once they have a connection, before the
// first byte of the request is sent. If check fails, the call fails unsent with its error. It
// is for requests whose content may become invalid while a connection is made. A check that
// ctx already has is run first.
func WithCheck(ctx context.Context, check func() error) context.Context {
	if first, ok := ctx.Value(checkKey{}).(func() error); ok {
		next := check
		check = func() error {
			if err := first(); err != nil {
				return err
			}
			return next()
		}
	}
	return context.WithValue(ctx, checkKey{}, check)
}

// connect acquires a connection for a call and runs the call's check.
func (c *Client) connect(ctx context.Context, usable func(*conn) bool) (*conn, error) {
	cn, err := c.acquire(ctx, usable)
	if err != nil {
		return nil, err
	}
	if check, ok := ctx.Value(checkKey{}).(func() error); ok {
		if err := check(); err != nil {
			c.release(cn, false)
			return nil, err
		}
	}
	return cn, nil
}
