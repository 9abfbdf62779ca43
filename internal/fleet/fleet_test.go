package fleet_test

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/fleet"
)

// Guards against a run that fails because the port of a killed host is briefly in use
// by another process when the replacement starts.
func TestStartHostWaitsForItsPort(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := fleet.Binary("mulberrystream") // built before the port is taken
	g.Expect(err).NotTo(gomega.HaveOccurred())
	other, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const inUse = 500 * time.Millisecond
	time.AfterFunc(inUse, func() { _ = other.Close() })
	h, err := fleet.StartHost(fleet.HostOptions{
		ID: "h-0", Domain: "d", Platform: "127.0.0.1:1", Listen: other.Addr().String(),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer h.Kill()
	g.Expect(h.PeerAddr).To(gomega.Equal(other.Addr().String()))
}
