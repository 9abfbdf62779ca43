package relayhost

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/follow"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// Guards against a copy of the store that another host reads from bytes that are no response.
func TestReadsThroughAnotherHostCheckTheResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	m := follow.NewMirror(discardSink{}, mirrorBytes(0, 0), time.Now)
	m.Replace([]follow.Item{{Key: "k", Value: []byte("v"), Revision: 2}}, follow.Position{Revision: 2})
	m.Contact(time.Now(), follow.Position{Revision: 2})
	mirror := newMirrorServer(m, 0, newHostMetrics(), zap.NewNop())
	server := httptest.NewServer(mirror.handler())
	defer server.Close()
	var malform atomic.Pointer[func([]byte) []byte]
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = ln.Close() }()
	go relayMalformed(ln, server.Listener.Addr().String(), func(b []byte) []byte { return (*malform.Load())(b) })

	s := &sharedSource{http: newPeerHTTP(), readers: map[string]*readerClient{}}
	list := func(addr string) (*connect.Response[follow.Page], error) {
		return s.client(addr).list.CallUnary(context.Background(), connect.NewRequest(&listRequest{}))
	}
	for range 2 {
		resp, err := list(server.Listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.Msg.Items).To(gomega.HaveLen(1))
		g.Expect(resp.Msg.At).To(gomega.Equal(uint64(2)))
	}
	for place, change := range map[string][2]string{
		"version":         {"HTTP/1.1 ", "HTTP/2.0 "},
		"blank in a name": {"Content-Type", "Content Type"},
		"line feed alone": {"\r\nDate", "\nDate"},
	} {
		replace := func(b []byte) []byte { return []byte(strings.Replace(string(b), change[0], change[1], 1)) }
		malform.Store(&replace)
		_, err := list(ln.Addr().String())
		g.Expect(err).To(gomega.MatchError(sendonce.ErrMalformed), place)
	}
	unchanged := func(b []byte) []byte { return b }
	malform.Store(&unchanged)
	_, err = list(ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// relayMalformed passes one call a connection on and changes the response.
func relayMalformed(ln net.Listener, to string, malform func([]byte) []byte) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		request := make([]byte, 4096)
		n, _ := c.Read(request)
		_, _ = server.Write(request[:n])
		response := make([]byte, 4096)
		n, _ = server.Read(response)
		_, _ = c.Write(malform(response[:n]))
		_ = server.Close()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}

var _ connect.HTTPClient = (*peerHTTP)(nil)
