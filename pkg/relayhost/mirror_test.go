package relayhost

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/follow"
)

// pipeListener accepts connections without buffers, so that a writer waits for its reader.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

type discardSink struct{}

func (discardSink) Replace([]follow.Item, follow.Position) {}
func (discardSink) Change([]follow.Item)                   {}
func (discardSink) Contact(time.Time, follow.Position)     {}
func (discardSink) Failed(error)                           {}

// Guards against a host that outgrows its memory by the answers to many hosts that read a
// large configuration through it over slow links.
func TestReaderIsRefusedWithoutMemoryForItsAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		memoryLimit = 64 << 20
		value       = 1 << 20
		readers     = 40
		most        = memoryLimit / 8 / value
	)
	m := follow.NewMirror(discardSink{}, mirrorBytes(memoryLimit, value), time.Now)
	m.Replace([]follow.Item{{Key: "config", Value: make([]byte, value), Revision: 2}}, follow.Position{Revision: 2})
	m.Contact(time.Now(), follow.Position{Revision: 2})
	metrics := newHostMetrics()
	ln := newPipeListener()
	server := &http.Server{Handler: newMirrorServer(m, memoryLimit, metrics, zap.NewNop()).handler()}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(ln) }()
	client := &http.Client{Transport: &http.Transport{DialContext: ln.dial, DisableCompression: true}}
	body, err := cbor.Marshal(listRequest{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	list := func() *http.Response {
		resp, err := client.Post("http://mirror"+listProcedure, "application/cbor", bytes.NewReader(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return resp
	}
	var served []*http.Response
	refused := 0
	for range readers {
		resp := list()
		if resp.StatusCode == http.StatusOK {
			served = append(served, resp)
			continue
		}
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Body.Close()).To(gomega.Succeed())
		refused++
	}
	g.Expect(len(served)).To(gomega.BeNumerically("<=", most))
	g.Expect(len(served)).To(gomega.BeNumerically(">=", most-1), "the key and the value of each are counted")
	g.Expect(metrics.refusedReaders.Get()).To(gomega.Equal(uint64(refused)))
	for _, resp := range served {
		n, err := io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.BeNumerically(">", value))
		g.Expect(resp.Body.Close()).To(gomega.Succeed())
	}
	g.Eventually(func() int {
		resp := list()
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}, 10*time.Second).Should(gomega.Equal(http.StatusOK))
}

// Guards against a bound that no configuration fits into, or that no answer may have.
func TestMirrorHasRoomForTheLongestValue(t *testing.T) {
	g := gomega.NewWithT(t)
	for memoryLimit := int64(8 << 20); memoryLimit < 1<<32; memoryLimit *= 2 {
		n := mirrorBytes(memoryLimit, 1<<20)
		g.Expect(n).To(gomega.BeNumerically(">", 1<<20))
		g.Expect(n).To(gomega.BeNumerically("<", maxPageBytes))
	}
	g.Expect(mirrorBytes(0, 0)).To(gomega.BeNumerically("<", maxPageBytes))
}
