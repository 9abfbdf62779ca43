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

// inbox collects what arrives.
type inbox chan node.Batch

func (i inbox) Receive(b node.Batch) { i <- b }

// serve starts a plain server and returns its address.
func serve(i inbox) string {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := peer.NewServer(i, nil)
	go func() { _ = s.Serve(ln) }()
	DeferCleanup(s.Close)
	return ln.Addr().String()
}

// batch holds a message of two parts, with fields that need the codec's care.
func batch() node.Batch {
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
		Expect(c.Deliver(ctx, serve(i), batch())).To(Succeed())
		Expect(<-i).To(Equal(batch()))
	})

	It("fails with step and peer when nobody listens", func(ctx SpecContext) {
		c := peer.NewClient(nil)
		defer c.Close()
		err := c.Deliver(ctx, "127.0.0.1:1", batch())
		Expect(err).To(MatchError(And(ContainSubstring("deliver to b"), ContainSubstring("127.0.0.1:1"))))
	})

	It("uses a new connection after the old one has gone silent", func(ctx SpecContext) {
		i := make(inbox, 16)
		proxy, err := faultproxy.New(serve(i), 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		c := peer.NewClient(nil)
		defer c.Close()
		Expect(c.Deliver(ctx, proxy.Addr(), batch())).To(Succeed())
		proxy.Silence()
		// The silent connection is found by its pings and dropped.
		Eventually(func() error {
			short, cancel := context.WithTimeout(ctx, deliverTimeout)
			defer cancel()
			return c.Deliver(short, proxy.Addr(), batch())
		}, "30s").Should(Succeed())
	})

	It("that is not of this protocol is refused", func() {
		addr := serve(make(inbox, 1))
		resp, err := http.Post("http://"+addr+"/mulberrystream.peer.v1.Peer/Deliver", "application/cbor", strings.NewReader("\xff"))
		if err == nil {
			_ = resp.Body.Close()
			Expect(resp.StatusCode).NotTo(Equal(http.StatusOK))
		}
	})
})
