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
// engine has become invalid when the connection is there.
func (h *Host) withHandleCheck(ctx context.Context, source backends.Target, expiry time.Time) context.Context {
	return sendonce.WithCheck(ctx, func() error {
		if !h.core.handleValid(source, expiry) {
			return errHandleInvalid
		}
		return nil
	})
}
