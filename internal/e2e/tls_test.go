package e2e_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/caller"
	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
)

// selfSigned writes a self-signed certificate for the loopback address and its key, and
// returns their files. The certificate is also its own certificate authority.
func selfSigned(dir string) (certFile, keyFile string) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	certFile, keyFile = filepath.Join(dir, "host.pem"), filepath.Join(dir, "host.key")
	Expect(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	Expect(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600)).To(Succeed())
	return certFile, keyFile
}

var _ = Describe("With TLS towards callers and between hosts", func() {
	It("streams an answer, and frees engine memory when the caller disconnects", func() {
		certFile, keyFile := selfSigned(GinkgoT().TempDir())
		f := startFleet(4, rulesText(ampleRate...),
			"--caller-cert", certFile, "--caller-key", keyFile,
			"--peer-cert", certFile, "--peer-key", keyFile, "--peer-ca", certFile)
		authority, err := os.ReadFile(certFile)
		Expect(err).NotTo(HaveOccurred())
		roots := x509.NewCertPool()
		Expect(roots.AppendCertsFromPEM(authority)).To(BeTrue())
		transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		base := "https://" + f.Hosts[0].CallerAddr

		prompt := caller.Words("secure", 50)
		a := caller.AskWith(context.Background(), client, base, keyEverest,
			caller.Request{Model: "inspect-lm", Prompt: prompt, MaxTokens: 20, Stream: true}, nil)
		Expect(a.Err).NotTo(HaveOccurred())
		Expect(a.Complete).To(BeTrue(), "code %s", a.Code)
		Expect(a.Text).To(Equal(content.Answer(prompt, 20)))

		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		a = caller.AskWith(ctx, client, base, keyEverest,
			caller.Request{Model: "inspect-lm", Prompt: prompt, MaxTokens: 20000, Stream: true},
			func(tokens int) {
				if tokens > 3 {
					disconnect()
				}
			})
		Expect(a.Complete).To(BeFalse())
		Eventually(held(f), fleet.WaitLimit).Should(BeZero())
	})
})
