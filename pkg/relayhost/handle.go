package relayhost

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

var errHandleInvalid = errors.New("KV cache handle no longer valid")

// withHandleCheck returns a context whose calls are not sent if a KV cache handle of a prefill
// engine has become invalid when the connection is there. link is that over which the handle
// was given, nil if unknown: a process may end and another one take its address before the
// list shows it.
func (h *Host) withHandleCheck(ctx context.Context, source backends.Target, expiry time.Time, link *sendonce.Link) context.Context {
	return sendonce.WithCheck(ctx, func() error {
		if link.Ended() || !h.core.handleValid(source, expiry) {
			return errHandleInvalid
		}
		return nil
	})
}
