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

// parse parses flags as the daemon does.
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
		Expect(parse().Validate()).To(Succeed())
	})

	DescribeTable("names the setting, the value and what is allowed",
		func(name, value string) {
			err := parse("--"+name, value).Validate()
			Expect(err).To(MatchError(ContainSubstring("--" + name)))
			Expect(err).To(MatchError(ContainSubstring(value)))
			Expect(err).To(MatchError(MatchRegexp("want|must be set together|add up")))
		},
		Entry("slot", "slot", "-1"),
		Entry("slot beyond the range that heartbeats can encode", "slot", "256"),
		Entry("caller address by name", "listen", "localhost:80"),
		Entry("peer address without port", "peer-listen", "127.0.0.1"),
		Entry("admin port", "admin-listen", "127.0.0.1:70000"),
		Entry("platform", "platform", "nowhere"),
		Entry("advertised peer address", "peer-addr", "x"),
		Entry("certificate without key", "caller-cert", "c.pem"),
		Entry("peer certificate without key and CA", "peer-cert", "c.pem"),
		Entry("zero first-token target", "first-token-target", "0s"),
		Entry("quarantine shorter than a predecessor's lease", "slot-quarantine", "2s"),
		Entry("negative linger", "drain-linger", "-1s"),
		Entry("limit shorter than linger", "drain-limit", "500ms"),
		Entry("log level", "log-level", "loud"),
	)

	It("reports all errors at once", func() {
		err := parse("--slot", "-1", "--log-level", "loud").Validate()
		Expect(err).To(MatchError(And(ContainSubstring("--slot"), ContainSubstring("--log-level"))))
	})

	It("requires certificates unless --plaintext is set", func() {
		s := parse()
		s.Plaintext = false
		Expect(s.Validate()).To(MatchError(And(ContainSubstring("caller-cert"), ContainSubstring("peer-cert"))))
	})
})

// batchReceiver receives the batches of a peer server.
type batchReceiver chan node.Batch

func (r batchReceiver) Receive(b node.Batch) { r <- b }

// testCA is a CA that signs certificates for a test.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newTestCA(dir, name string) testCA {
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
	a := testCA{cert: cert, key: key, file: filepath.Join(dir, name+".pem")}
	writePEM(a.file, "CERTIFICATE", der)
	return a
}

// issue writes a key pair with the given serial number.
func (a testCA) issue(dir string, serial int64) (certFile, keyFile string) {
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
	// handshake connects a client to a server, each with its own settings.
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

	settings := func(ca testCA, dir string) Settings {
		cert, key := ca.issue(dir, 1)
		return Settings{PeerCert: cert, PeerKey: key, PeerCA: ca.file}
	}

	It("let two hosts of the fleet connect", func() {
		dir := GinkgoT().TempDir()
		s := settings(newTestCA(dir, "fleet"), dir)
		Expect(handshake(s, s)).To(Succeed())
	})

	It("secure the delivery of batches between hosts", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		s := settings(newTestCA(dir, "fleet"), dir)
		serverTLS, clientTLS, err := s.peerTLS()
		Expect(err).NotTo(HaveOccurred())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		got := make(batchReceiver, 1)
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

	It("reject a client or server without a certificate of the fleet's CA", func() {
		dir, other := GinkgoT().TempDir(), GinkgoT().TempDir()
		fleet := settings(newTestCA(dir, "fleet"), dir)
		foreign := settings(newTestCA(other, "other"), other)
		foreignCert := foreign
		foreignCert.PeerCA = fleet.PeerCA
		Expect(handshake(fleet, foreignCert)).NotTo(Succeed())
		Expect(handshake(foreignCert, fleet)).NotTo(Succeed())
	})

	It("are reloaded without a restart, and the old pair stays in use while the files are incomplete", func() {
		dir := GinkgoT().TempDir()
		ca := newTestCA(dir, "fleet")
		certFile, keyFile := ca.issue(dir, 1)
		c, err := loadCertificate(certFile, keyFile)
		Expect(err).NotTo(HaveOccurred())
		ca.issue(dir, 2)
		later := time.Now().Add(time.Minute)
		Expect(os.Chtimes(certFile, later, later)).To(Succeed())
		c.lastChecked = time.Time{}
		Expect(serial(c)).To(Equal(int64(2)))
		Expect(os.WriteFile(certFile, []byte("partial"), 0o600)).To(Succeed())
		c.lastChecked = time.Time{}
		Expect(serial(c)).To(Equal(int64(2)))
	})
})

// acceptOne accepts one client and sends it one byte.
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
	cert, err := x509.ParseCertificate(c.current().Certificate[0])
	Expect(err).NotTo(HaveOccurred())
	return cert.SerialNumber.Int64()
}
