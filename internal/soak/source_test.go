package soak

import (
	"net"
	"os"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a partition that lets connections through because their process
// was not found.
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
