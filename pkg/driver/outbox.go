package driver

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// outboxIdleTimeout is how long the outbox of a peer is kept without messages.
// Hosts are replaced all the time, so unused outboxes have to be removed.
const outboxIdleTimeout = 30 * time.Second

// maxBatchMessages limits the number of messages per delivery.
const maxBatchMessages = 256

// outbox is the queue of messages to one peer.
type outbox struct {
	queue   chan node.Send
	dropped atomic.Uint64
}

// enqueue adds a message to the queue of its peer, or drops it if the queue is
// full.
func (d *Driver) enqueue(e node.Send) {
	d.mu.Lock()
	defer d.mu.Unlock()
	box := d.outboxes[e.To]
	if box == nil {
		box = &outbox{queue: make(chan node.Send, d.cfg.PeerQueue)}
		d.outboxes[e.To] = box
		d.spawn(func() { d.runOutbox(e.To, box) })
	}
	select {
	case box.queue <- e:
	default:
		box.dropped.Add(1)
	}
}

func (d *Driver) runOutbox(to ident.HostID, box *outbox) {
	for {
		select {
		case <-d.ctx.Done():
			return
		case first := <-box.queue:
			d.deliver(to, box, first)
		case <-time.After(outboxIdleTimeout):
			if d.closeOutbox(to, box) {
				return
			}
		}
	}
}

// closeOutbox removes the outbox if it is empty and reports whether it did.
func (d *Driver) closeOutbox(to ident.HostID, box *outbox) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(box.queue) > 0 {
		return false
	}
	delete(d.outboxes, to)
	return true
}

// deliver sends first and the queued messages for a peer, up to maxBatchMessages,
// as one batch.
func (d *Driver) deliver(to ident.HostID, box *outbox, first node.Send) {
	batch := node.Batch{From: d.cfg.Node.Self, To: to, Messages: []node.Message{first.Message}}
	addr := first.Addr
	for len(batch.Messages) < maxBatchMessages && len(box.queue) > 0 {
		next := <-box.queue
		addr = next.Addr
		batch.Messages = append(batch.Messages, next.Message)
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.cfg.PeerTimeout)
	defer cancel()
	if err := d.transport.Deliver(ctx, addr, batch); err != nil {
		d.log.Debug("peer: delivery failed", zap.String("peer", string(to)), zap.Error(err))
	}
}
