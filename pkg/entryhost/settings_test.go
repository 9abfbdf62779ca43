package entryhost

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/node"
	"github.com/mulberrystream/mulberrystream/pkg/peer"
)

func TestEntryHost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entryhost")
}

// parse reads flags as the daemon does.
func parse(flags ...string) Settings {
	GinkgoHelper()
	var s Settings
	p, err := arg.NewParser(arg.Config{}, &s)
	Expect(err).NotTo(HaveOccurred())
	all := append([]string{"--host", "h", "--domain", "d", "--platform", "127.0.0.1:1", "--plaintext"}, flags...)
	Expect(p.Parse(all)).To(Succeed())
	return s
}

var _ = Describe("Settings", func() {
	It("accepts the defaults", func() {
		Expect(parse().Check()).To(Succeed())
	})

	DescribeTable("names the setting, the value and what is allowed",
		func(name, value string) {
			err := parse("--"+name, value).Check()
			Expect(err).To(MatchError(ContainSubstring("--" + name)))
			Expect(err).To(MatchError(ContainSubstring(value)))
			Expect(err).To(MatchError(MatchRegexp("want|go together|add up")))
		},
		Entry("slot", "slot", "-1"),
		Entry("slot beyond what heartbeats can name", "slot", "256"),
		Entry("caller address by name", "listen", "localhost:80"),
		Entry("peer address without port", "peer-listen", "127.0.0.1"),
		Entry("admin port", "admin-listen", "127.0.0.1:70000"),
		Entry("platform", "platform", "nowhere"),
		Entry("peer address for others", "peer-addr", "x"),
		Entry("half a key pair", "caller-cert", "c.pem"),
		Entry("peer certificate without authority", "peer-cert", "c.pem"),
		Entry("no time for the first token", "first-token-target", "0s"),
		Entry("quarantine shorter than a predecessor's lease", "slot-quarantine", "2s"),
		Entry("negative linger", "drain-linger", "-1s"),
		Entry("limit shorter than linger", "drain-limit", "500ms"),
		Entry("log level", "log-level", "loud"),
	)

	It("reports all faults at once", func() {
		err := parse("--slot", "-1", "--log-level", "loud").Check()
		Expect(err).To(MatchError(And(ContainSubstring("--slot"), ContainSubstring("--log-level"))))
	})

	It("does not serve plain text unless told to", func() {
		s := parse()
		s.Plaintext = false
		Expect(s.Check()).To(MatchError(And(ContainSubstring("caller-cert"), ContainSubstring("peer-cert"))))
	})
})

// receiver takes the batches of a peer server.
type receiver chan node.Batch

func (r receiver) Receive(b node.Batch) { r <- b }

// authority signs certificates for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(dir, name string) authority {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	a := authority{cert: cert, key: key, file: filepath.Join(dir, name+".pem")}
	writePEM(a.file, "CERTIFICATE", der)
	return a
}

// issue writes a key pair with the given serial number.
func (a authority) issue(dir string, serial int64) (certFile, keyFile string) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	certFile, keyFile = filepath.Join(dir, "host.pem"), filepath.Join(dir, "host.key")
	writePEM(certFile, "CERTIFICATE", der)
	writePEM(keyFile, "EC PRIVATE KEY", keyDER)
	return certFile, keyFile
}

func writePEM(file, kind string, der []byte) {
	GinkgoHelper()
	Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

var _ = Describe("Certificates", func() {
	// handshake connects a client with its settings to a server with the other's.
	handshake := func(server, client Settings) error {
		GinkgoHelper()
		serverTLS, _, err := server.peerTLS()
		Expect(err).NotTo(HaveOccurred())
		_, clientTLS, err := client.peerTLS()
		Expect(err).NotTo(HaveOccurred())
		ln, err := tls.Listen("tcp", "127.0.0.1:0", serverTLS)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		result := make(chan error, 1)
		go func() { result <- acceptOne(ln) }()
		c, err := tls.Dial("tcp", ln.Addr().String(), clientTLS)
		if err == nil {
			_, err = c.Read(make([]byte, 1))
			_ = c.Close()
		}
		return errors.Join(err, <-result)
	}

	settings := func(ca authority, dir string) Settings {
		cert, key := ca.issue(dir, 1)
		return Settings{PeerCert: cert, PeerKey: key, PeerCA: ca.file}
	}

	It("let two hosts of the fleet talk", func() {
		dir := GinkgoT().TempDir()
		s := settings(newAuthority(dir, "fleet"), dir)
		Expect(handshake(s, s)).To(Succeed())
	})

	It("carry batches between hosts over HTTP/2", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		s := settings(newAuthority(dir, "fleet"), dir)
		serverTLS, clientTLS, err := s.peerTLS()
		Expect(err).NotTo(HaveOccurred())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		got := make(receiver, 1)
		server := peer.NewServer(got, serverTLS)
		go func() { _ = servePeers(server, ln, true) }()
		DeferCleanup(server.Close)
		client := peer.NewClient(clientTLS)
		defer client.Close()
		b := node.Batch{To: "h", Messages: []node.Message{{HostList: &hostlist.Message{Ask: &hostlist.Ask{Version: 1}}}}}
		Expect(client.Deliver(ctx, ln.Addr().String(), b)).To(Succeed())
		Expect(<-got).To(Equal(b))
		plain := peer.NewClient(nil)
		defer plain.Close()
		Expect(plain.Deliver(ctx, ln.Addr().String(), b)).NotTo(Succeed())
	})

	It("refuse a process without the fleet's certificate, as client and as server", func() {
		dir, other := GinkgoT().TempDir(), GinkgoT().TempDir()
		fleet := settings(newAuthority(dir, "fleet"), dir)
		stranger := settings(newAuthority(other, "other"), other)
		trusting := stranger
		trusting.PeerCA = fleet.PeerCA
		Expect(handshake(fleet, trusting)).NotTo(Succeed())
		Expect(handshake(trusting, fleet)).NotTo(Succeed())
	})

	It("are reloaded without a restart, and a half-written pair keeps the old one", func() {
		dir := GinkgoT().TempDir()
		ca := newAuthority(dir, "fleet")
		certFile, keyFile := ca.issue(dir, 1)
		c, err := loadCertificate(certFile, keyFile)
		Expect(err).NotTo(HaveOccurred())
		ca.issue(dir, 2)
		later := time.Now().Add(time.Minute)
		Expect(os.Chtimes(certFile, later, later)).To(Succeed())
		c.checked = time.Time{}
		Expect(serial(c)).To(Equal(int64(2)))
		Expect(os.WriteFile(certFile, []byte("partial"), 0o600)).To(Succeed())
		c.checked = time.Time{}
		Expect(serial(c)).To(Equal(int64(2)))
	})
})

// acceptOne sends one byte to the next client.
func acceptOne(ln net.Listener) error {
	c, err := ln.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte{1})
	return err
}

func serial(c *certificate) int64 {
	GinkgoHelper()
	cert, err := x509.ParseCertificate(c.get().Certificate[0])
	Expect(err).NotTo(HaveOccurred())
	return cert.SerialNumber.Int64()
}
