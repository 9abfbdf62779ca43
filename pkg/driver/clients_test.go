package driver

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type fakeClient struct {
	addr   string
	closed *[]string
}

func (c fakeClient) Close() { *c.closed = append(*c.closed, c.addr) }

var _ = Describe("Clients of backend servers", func() {
	It("are closed when idle, so that they do not accumulate as backend servers are replaced", func() {
		now := time.Unix(0, 0)
		var closed []string
		c := newClients(func(addr string) fakeClient { return fakeClient{addr: addr, closed: &closed} }, func() time.Time { return now })
		c.get("old")
		c.get("kept")
		now = now.Add(clientIdleTimeout - time.Second)
		c.get("kept")
		now = now.Add(2 * time.Second)
		c.get("new")
		Expect(closed).To(Equal([]string{"old"}))
		Expect(c.byAddr).To(HaveLen(2))
	})
})
