package soak

import (
	"net"
	"os"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a partition that lets connections through because the process that
// opened them was not found.
func TestSocketInodeIsOneOfTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	inode, err := socketInode(c.LocalAddr().(*net.TCPAddr), c.RemoteAddr().(*net.TCPAddr))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(inode).NotTo(gomega.BeZero())
	g.Expect(inodes(os.Getpid())).To(gomega.ContainElement(inode))
}

// Guards against a search through all sockets for each connection during a partition,
// which delayed new connections by minutes on a busy machine.
func TestLookupsThatWaitedShareOneSearch(t *testing.T) {
	g := gomega.NewWithT(t)
	var s sources
	before := s.searchesStarted.Load()
	for inode := range uint32(20) {
		g.Expect(s.owner(inode+1, before)).To(gomega.BeEmpty())
	}
	g.Expect(s.searchesStarted.Load()).To(gomega.Equal(before+1), "lookups that waited must share one search")

	g.Expect(s.owner(50, s.searchesStarted.Load())).To(gomega.BeEmpty())
	g.Expect(s.searchesStarted.Load()).To(gomega.Equal(before+2), "a newer socket must cause a new search")
}
