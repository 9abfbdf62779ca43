package sendonce_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// A call that the peer runs must not appear refused because the peer sends the refusal of
// an earlier call with the same ID once more.
var _ = DescribeTable("a refusal that the peer sends once more is not taken for the answer to a second",
	func(call caller) {
		p := newEchoPeer(func(conn, n int, id string) string {
			switch {
			case conn == 1 && n == 1:
				return answerTo(503, id, "")
			case conn == 1:
				return answerTo(503, "same", "") + answerTo(200, id, "ok")
			}
			return answerTo(200, id, "ok")
		})
		c := p.client(sendonce.Options{})
		status, _, err := call(c, "same")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(503))
		status, _, err = call(c, "same")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		By("using the first connection for other calls")
		status, _, err = call(c, "other")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		Expect(len(p.conns())).To(BeNumerically("<=", 2))
	}, callers)
