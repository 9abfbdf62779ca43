package driver

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// outboxIdle ends the goroutine of a peer that gets no messages any more, since
// hosts are replaced all the time.
const outboxIdle = 30 * time.Second

// maxBatch bounds the messages of one delivery.
const maxBatch = 256

// outbox is the queue of messages to one peer.
type outbox struct {
	queue   chan node.Send
	dropped atomic.Uint64
}

// enqueue puts a message into its peer's queue, or drops it when the queue is
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
		case <-time.After(outboxIdle):
			if d.closeOutbox(to, box) {
				return
			}
		}
	}
}

// closeOutbox removes an empty outbox.
func (d *Driver) closeOutbox(to ident.HostID, box *outbox) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(box.queue) > 0 {
		return false
	}
	delete(d.outboxes, to)
	return true
}

// deliver sends what waits for a peer in one batch.
func (d *Driver) deliver(to ident.HostID, box *outbox, first node.Send) {
	batch := node.Batch{From: d.cfg.Node.Self, To: to, Messages: []node.Message{first.Message}}
	addr := first.Addr
	for len(batch.Messages) < maxBatch && len(box.queue) > 0 {
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
