package sendonce_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

var _ = Describe("a connection to a peer that repeats IDs", func() {
	echoes := func(_, _ int, id string) string { return answerTo(200, id, "") }

	// Guards against a new connection for each call: servers accept only a limited number.
	DescribeTable("is reused by calls with an ID, also after one without, by a",
		func(call caller) {
			p := newEchoPeer(echoes)
			c := p.client(sendonce.Options{})
			for i := range 6 {
				id := ""
				if i != 0 {
					id = fmt.Sprint(i)
				}
				_, _, err := call(c, id)
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(p.conns()).To(Equal([][]string{{"", "1", "2", "3", "4", "5"}}))
		}, callers)

	// Guards against memory that grows with the age of a connection.
	It("is retired after a fixed number of calls", func() {
		p := newEchoPeer(echoes)
		c := p.client(sendonce.Options{})
		for i := range 600 {
			_, _, err := do(c, fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(p.conns()).To(HaveLen(3))
		Expect(c.Open()).To(Equal(1))
	})

	// Guards against calls that fail because idle connections, which they cannot use, take up
	// the limit.
	It("makes room for a new one when there are too many", func() {
		p := newEchoPeer(echoes)
		c := p.client(sendonce.Options{MaxConns: 1})
		for range 3 {
			_, _, err := do(c, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Open()).To(Equal(1))
		}
		Expect(p.conns()).To(HaveLen(3))
		Eventually(func() int {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.closed
		}).Should(Equal(2))
	})

	// Guards against bodies that are read where none follows, and the other way round.
	It("is neither used nor kept for HEAD, whose response has no body", func() {
		p := newEchoPeer(func(_, n int, id string) string {
			head, _, _ := strings.Cut(answerTo(200, id, "body"), "body")
			if id == "head" {
				return head
			}
			return answerTo(200, id, "body")
		})
		c := p.client(sendonce.Options{})
		_, _, err := do(c, "first")
		Expect(err).NotTo(HaveOccurred())
		req := newCall(c, "head")
		req.Header.SetMethod("HEAD")
		Expect(c.Do(GinkgoT().Context(), req, fasthttp.AcquireResponse())).To(Succeed())
		_, body, err := do(c, "last")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("body"))
		Expect(p.conns()).To(Equal([][]string{{"first", "last"}, {"head"}}))
	})

	// Guards against calls that hold their connection as long as a peer repeats itself.
	DescribeTable("fails when late answers do not end, in a",
		func(call caller) {
			p := newEchoPeer(func(_, n int, id string) string {
				if n == 1 {
					return answerTo(200, id, "")
				}
				return strings.Repeat(answerTo(200, "first", strings.Repeat("x", 1000)), 1000)
			})
			c := p.client(sendonce.Options{MaxBody: 64 << 10})
			_, _, err := call(c, "first")
			Expect(err).NotTo(HaveOccurred())
			begin := time.Now()
			_, _, err = call(c, "second")
			Expect(err).To(MatchError(sendonce.ErrTooLong))
			Expect(time.Since(begin)).To(BeNumerically("<", callTimeout))
			Expect(sent(err)).To(BeTrue())
			Expect(c.Open()).To(BeZero())
		}, callers)

	DescribeTable("fails when the right answer does not follow a late one, in a",
		func(call caller) {
			p := newEchoPeer(func(_, n int, id string) string { return answerTo(200, "first", "") })
			c := p.client(sendonce.Options{})
			_, _, err := call(c, "first")
			Expect(err).NotTo(HaveOccurred())
			_, _, err = call(c, "second")
			Expect(err).To(HaveOccurred())
			Expect(sent(err)).To(BeTrue())
			Expect(c.Open()).To(BeZero())
		}, callers)
})
