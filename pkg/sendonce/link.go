package sendonce

import (
	"context"
	"syscall"
)

// Link is the connection over which the response to a call has come. What a process says
// holds at most as long as the process lives, and its connections end with it.
type Link struct{ cn *conn }

type linkKey struct{}

// WithLink returns a context whose calls with Do record their connection in l, unless it is
// closed after the response.
func WithLink(ctx context.Context, l *Link) context.Context {
	return context.WithValue(ctx, linkKey{}, l)
}

func recordLink(ctx context.Context, cn *conn) {
	if l, ok := ctx.Value(linkKey{}).(*Link); ok {
		l.cn = cn
	}
}

// Ended reports whether the connection is known to have ended since the response. It does
// not if the client closed the connection after the response.
func (l *Link) Ended() bool {
	if l == nil || l.cn == nil {
		return false
	}
	n, err := l.cn.peek()
	return err != nil && err != syscall.EAGAIN || err == nil && n == 0
}
