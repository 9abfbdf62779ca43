package sendonce_test

import (
	"context"
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// Guards against the use of what a process has said after it has ended.
var _ = Describe("the link of a call", func() {
	const response = okLine + "Content-Length: 2\r\n\r\nok"

	call := func(response string, keep bool) *sendonce.Link {
		GinkgoHelper()
		p := newPeer(func(_ int, c net.Conn) bool {
			_, err := io.WriteString(c, response)
			return err == nil && keep
		})
		link := &sendonce.Link{}
		c := sendonce.New(p.addr(), sendonce.Options{})
		Expect(c.Do(sendonce.WithLink(context.Background(), link), newCall(c, ""), &fasthttp.Response{})).To(Succeed())
		return link
	}

	It("ends when the peer closes the connection", func() {
		link := call(response, false)
		Eventually(link.Ended).Should(BeTrue())
	})

	It("does not end while the connection is open", func() {
		link := call(response, true)
		Consistently(link.Ended, "100ms").Should(BeFalse())
	})

	It("is not known if the connection is not kept", func() {
		Expect(call(okLine+"Connection: close\r\nContent-Length: 2\r\n\r\nok", false).Ended()).To(BeFalse())
	})
})
