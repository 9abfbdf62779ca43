package relayhost

import (
	"context"
	"errors"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

var errEvacuated = errors.New("failure domain of the backend server is evacuated")

// withTargetCheck returns a context whose calls are not sent if the failure domain of their
// backend server has been evacuated when the connection is there.
func (h *Host) withTargetCheck(ctx context.Context, to backends.Target) context.Context {
	return sendonce.WithCheck(ctx, func() error {
		if h.core.evacuated(to) {
			return errEvacuated
		}
		return nil
	})
}
