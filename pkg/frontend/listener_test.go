package frontend

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

var _ = Describe("A caller's connection", func() {
	It("is given up by the kernel when its other end has gone silent, with and without data under way", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		client, err := net.Dial("tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = client.Close() }()
		cfg := DefaultConfig()
		conn, err := (&probingListener{Listener: ln, cfg: cfg}).Accept()
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

	It("counts as gone as soon as the caller has closed it, also with unread data before the end", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		client, err := net.Dial("tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		conn, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		gone, stop := watchCaller(conn, DefaultConfig().WatchInterval)
		defer stop()
		_, err = client.Write([]byte("pipelined"))
		Expect(err).NotTo(HaveOccurred())
		Expect(gone.Err()).NotTo(HaveOccurred())
		Expect(client.Close()).To(Succeed())
		Eventually(gone.Done(), "30s").Should(BeClosed())
	})
})
