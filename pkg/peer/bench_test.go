package peer_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/peer"
)

// discardReceiver discards batches.
type discardReceiver struct{}

func (discardReceiver) Receive(node.Batch) {}

// BenchmarkDeliver measures one delivery over loopback in plain text, client and
// server together, by the number of messages in the batch.
func BenchmarkDeliver(b *testing.B) {
	for _, messages := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("messages=%d", messages), func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := peer.NewServer(discardReceiver{}, nil)
			go func() { _ = s.Serve(ln) }()
			defer func() { _ = s.Close() }()
			c := peer.NewClient(nil)
			defer c.Close()
			batch := testBatch()
			one := batch.Messages[0]
			batch.Messages = batch.Messages[:0]
			for range messages {
				batch.Messages = append(batch.Messages, one)
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := c.Deliver(context.Background(), ln.Addr().String(), batch); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
