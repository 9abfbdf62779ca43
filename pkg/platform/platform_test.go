package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

var _ = Describe("Client", func() {
	ctx := context.Background()
	var p *fake.Platform
	var c *platform.Client

	BeforeEach(func() {
		var err error
		p, err = fake.NewPlatform(fake.PlatformConfig{ChunkSize: 8})
		Expect(err).NotTo(HaveOccurred())
		c = platform.New(p.Addr(), platform.Options{Timeout: 100 * time.Millisecond})
		DeferCleanup(func() { c.Close(); p.Close() })
	})

	It("reads a generation of several chunks as one text", func() {
		p.Publish(3, "one rule per line")
		g, notChanged, err := c.ReadConfig(ctx, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(notChanged).To(BeFalse())
		Expect(g.Revision).To(Equal(ident.Revision(3)))
		Expect(g.Text).To(Equal("one rule per line"))
	})

	It("never mixes two generations when chunks are replaced before the manifest", func() {
		p.Publish(1, "first generation")
		p.PublishChunks(2, "other generation")
		_, _, err := c.ReadConfig(ctx, 0, 0)
		Expect(err).To(MatchError(platform.ErrChunkMismatch))
		p.PublishManifest(2, "other generation")
		g, _, err := c.ReadConfig(ctx, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Text).To(Equal("other generation"))
	})

	It("watches for a newer manifest and reports when there is none", func() {
		p.Publish(1, "a")
		g, _, err := c.ReadConfig(ctx, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, notChanged, err := c.ReadConfig(ctx, g.Version, 20*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(notChanged).To(BeTrue())
		got := make(chan platform.Generation, 1)
		go func() {
			defer GinkgoRecover()
			g, _, err := c.ReadConfig(ctx, g.Version, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			got <- g
		}()
		Eventually(func() int { return p.Calls().Pending }).Should(Equal(1))
		p.Publish(2, "b")
		Expect((<-got).Text).To(Equal("b"))
	})

	It("returns ErrNoConfig when nothing is published", func() {
		_, _, err := c.ReadConfig(ctx, 0, 0)
		Expect(err).To(MatchError(platform.ErrNoConfig))
	})

	It("ends a call to an unresponsive platform after the timeout", func() {
		p.SetSilent(true)
		_, _, err := c.ReadConfig(ctx, 0, 0)
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})

	It("recovers after the platform was down", func() {
		p.Publish(1, "a")
		p.Down()
		_, _, err := c.ReadConfig(ctx, 0, 0)
		Expect(err).To(HaveOccurred())
		Expect(p.Up()).To(Succeed())
		_, _, err = c.ReadConfig(ctx, 0, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("reads the host list and waits for a newer one", func() {
		p.SetHosts([]platform.EntryHost{{ID: "teku-0", Slot: 2}}, []engine.Info{{ID: "e"}})
		l, _, err := c.Hosts(ctx, 0, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.EntryHosts).To(HaveLen(1))
		Expect(l.EntryHosts[0].Slot).To(Equal(ident.Slot(2)))
		_, notChanged, err := c.Hosts(ctx, l.Version, 10*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(notChanged).To(BeTrue())
	})

	DescribeTable("rejects a malformed answer", func(body, version string) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Version", version)
			if body == "truncated" {
				w.Header().Set("Content-Length", "100")
			}
			_, _ = w.Write([]byte(body))
		}))
		defer s.Close()
		c := platform.New(strings.TrimPrefix(s.URL, "http://"), platform.Options{})
		_, _, err := c.ReadConfig(ctx, 0, 0)
		Expect(err).To(HaveOccurred())
	},
		Entry("truncated body", "truncated", "1"),
		Entry("not JSON", "x", "1"),
		Entry("no version", `{"revision":1}`, ""),
		Entry("chunk over the limit", `{"chunks":[{"name":"a","bytes":2000000}]}`, "1"),
		Entry("negative chunk", `{"chunks":[{"name":"a","bytes":-1}]}`, "1"),
		Entry("too many chunks", `{"chunks":[`+strings.Repeat(`{"name":"a"},`, 64)+`{"name":"a"}]}`, "1"),
	)
})
