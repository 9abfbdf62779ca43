package frontend

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

var _ = Describe("A caller's connection", func() {
	It("has the socket options by which the kernel closes it when its peer is unresponsive, with and without unacknowledged data", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		client, err := net.Dial("tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = client.Close() }()
		cfg := DefaultConfig()
		conn, err := (&keepAliveListener{Listener: ln, cfg: cfg}).Accept()
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()

		options := map[int]int{
			unix.TCP_KEEPIDLE:     int(cfg.ProbeIdle.Seconds()),
			unix.TCP_KEEPINTVL:    int(cfg.ProbeInterval.Seconds()),
			unix.TCP_KEEPCNT:      cfg.ProbeCount,
			unix.TCP_USER_TIMEOUT: int(cfg.UnackedTimeout.Milliseconds()),
		}
		for name, want := range options {
			Expect(rawConn(conn).Control(func(fd uintptr) {
				got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
				Expect(err).NotTo(HaveOccurred())
				Expect(got).To(Equal(want))
			})).To(Succeed())
		}
	})

	It("is detected as disconnected when the caller closes it, also with unread data before the end", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		client, err := net.Dial("tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		conn, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		disconnected, stop := watchDisconnect(conn, DefaultConfig().DisconnectPollInterval)
		defer stop()
		_, err = client.Write([]byte("pipelined"))
		Expect(err).NotTo(HaveOccurred())
		Expect(disconnected.Err()).NotTo(HaveOccurred())
		Expect(client.Close()).To(Succeed())
		Eventually(disconnected.Done(), "30s").Should(BeClosed())
	})
})
