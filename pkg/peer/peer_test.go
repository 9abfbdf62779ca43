package peer_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/faultproxy"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// deliverTimeout is the timeout of one delivery, as the driver sets it.
const deliverTimeout = time.Second

// inbox collects received batches.
type inbox chan node.Batch

func (i inbox) Receive(b node.Batch) { i <- b }

// serve starts a plain-text server and returns its address.
func serve(i inbox) string {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := peer.NewServer(i, nil)
	go func() { _ = s.Serve(ln) }()
	DeferCleanup(s.Close)
	return ln.Addr().String()
}

// testBatch returns a batch with messages of two kinds, nested pointers and an
// integer above 2^53, all of which the codec must preserve.
func testBatch() node.Batch {
	return node.Batch{
		From: ident.Process{Host: "a", Incarnation: 1 << 60},
		To:   "b",
		Messages: []node.Message{
			{HostList: &hostlist.Message{Ask: &hostlist.Ask{Version: 7}}},
			{Membership: &membership.Message{Heartbeat: &membership.Heartbeat{Incarnation: 3, Slot: 2, Addr: "x"}}},
		},
	}
}

var _ = Describe("A delivery", func() {
	It("arrives as it was sent", func(ctx SpecContext) {
		i := make(inbox, 1)
		c := peer.NewClient(nil)
		defer c.Close()
		Expect(c.Deliver(ctx, serve(i), testBatch())).To(Succeed())
		Expect(<-i).To(Equal(testBatch()))
	})

	It("fails with step and peer when no server listens", func(ctx SpecContext) {
		c := peer.NewClient(nil)
		defer c.Close()
		err := c.Deliver(ctx, "127.0.0.1:1", testBatch())
		Expect(err).To(MatchError(And(ContainSubstring("deliver to b"), ContainSubstring("127.0.0.1:1"))))
	})

	It("uses a new connection after the old one has stalled", func(ctx SpecContext) {
		i := make(inbox, 16)
		proxy, err := faultproxy.New(serve(i), 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		c := peer.NewClient(nil)
		defer c.Close()
		Expect(c.Deliver(ctx, proxy.Addr(), testBatch())).To(Succeed())
		proxy.Silence()
		// A delivery that exceeds its deadline closes the stalled connection.
		Eventually(func() error {
			short, cancel := context.WithTimeout(ctx, deliverTimeout)
			defer cancel()
			return c.Deliver(short, proxy.Addr(), testBatch())
		}, "30s").Should(Succeed())
	})

	It("that does not follow the protocol is rejected", func() {
		addr := serve(make(inbox, 1))
		resp, err := http.Post("http://"+addr+"/mulberrystream.peer.v1.Peer/Deliver", "application/cbor", strings.NewReader("\xff"))
		if err == nil {
			_ = resp.Body.Close()
			Expect(resp.StatusCode).NotTo(Equal(http.StatusOK))
		}
	})
})
