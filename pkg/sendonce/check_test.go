package sendonce_test

import (
	"context"
	"errors"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// Guards against a request that is sent although it became invalid while the connection was
// made.
var _ = Describe("the check of a call", func() {
	errInvalid := errors.New("invalid")

	It("runs when the connection is there, and its failure leaves the request unsent", func() {
		p := newPeer(func(_ int, c net.Conn) bool {
			return reply(c)
		})
		c := sendonce.New(p.addr(), sendonce.Options{})
		open := -1
		fails := sendonce.WithCheck(context.Background(), func() error {
			open = c.Open()
			return errInvalid
		})
		request := func() *fasthttp.Request {
			req := fasthttp.AcquireRequest()
			req.Header.SetHost("peer")
			return req
		}
		var failed *sendonce.Error
		err := c.Do(fails, request(), &fasthttp.Response{})
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeFalse())
		Expect(err).To(MatchError(errInvalid))
		Expect(open).To(Equal(1))
		_, err = c.Stream(fails, request(), 0)
		Expect(err).To(MatchError(errInvalid))

		passes := sendonce.WithCheck(context.Background(), func() error { return nil })
		Expect(c.Do(passes, request(), &fasthttp.Response{})).To(Succeed())
		Expect(p.requests()).To(Equal(1))
		Expect(c.Open()).To(Equal(1), "the connection is used again")
	})
})
