// Package docscheck runs the commands of docs/operators.md.
package docscheck

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
)

const operatorsPage = "../../docs/operators.md"

// prelude defines the publish command that operators provide for their own platform.
const prelude = `set -euo pipefail
publish() { curl -sf -X POST --data-binary "@$1" "$ADMIN/fake/rules?revision=$2"; }
`

// TestOperatorsPage runs the commands of the page and fails if one does not work.
// It starts a fleet and takes about a minute, so it runs only with DOCS_CHECK=1.
func TestOperatorsPage(t *testing.T) {
	if os.Getenv("DOCS_CHECK") != "1" {
		t.Skip("DOCS_CHECK=1 runs the commands of docs/operators.md")
	}
	g := NewWithT(t)
	rules, err := filepath.Abs("../../examples/bagmati.rules")
	g.Expect(err).NotTo(HaveOccurred())
	text, err := fleet.ReadRules(rules)
	g.Expect(err).NotTo(HaveOccurred())
	plan := fake.BagmatiPlan()
	plan.Version = "v7"
	f, err := fleet.Start(fleet.Options{Plan: plan, Fake: fake.Options{Seed: 1, Rules: text}, Hosts: 8})
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	admin := httptest.NewServer(f.Deployment.Admin())
	defer admin.Close()
	ctl, err := fleet.Binary("mulberryctl")
	g.Expect(err).NotTo(HaveOccurred())
	work := t.TempDir()
	env := append(os.Environ(),
		"PATH="+filepath.Dir(ctl)+":"+os.Getenv("PATH"),
		"HOSTS="+adminAddresses(f), "HOST="+f.Hosts[0].AdminAddr, "CALLER="+f.Hosts[0].CallerAddr,
		"PLATFORM="+f.Deployment.Platform.Addr(), "ADMIN="+admin.URL, "CERTS="+writeCertificates(g, work), "rules="+rules)
	blocks := runnableBlocks(g)
	g.Expect(blocks).NotTo(BeEmpty())
	for _, b := range blocks {
		cmd := exec.Command("bash", "-c", prelude+b)
		cmd.Dir, cmd.Env = work, env
		out, err := cmd.CombinedOutput()
		t.Logf("%s---\n%s", b, out)
		g.Expect(err).NotTo(HaveOccurred(), "%s---\n%s", b, out)
	}
}

func adminAddresses(f *fleet.Fleet) string {
	var out []string
	for _, h := range f.Hosts {
		out = append(out, h.AdminAddr)
	}
	return strings.Join(out, " ")
}

// runnableBlocks returns the code blocks of the page that are marked `sh run`.
func runnableBlocks(g *WithT) []string {
	text, err := os.ReadFile(operatorsPage)
	g.Expect(err).NotTo(HaveOccurred())
	var out []string
	for _, part := range strings.Split(string(text), "```sh run\n")[1:] {
		block, _, ok := strings.Cut(part, "```")
		g.Expect(ok).To(BeTrue(), "code block is not closed")
		out = append(out, block)
	}
	return out
}

// writeCertificates writes a self-signed certificate for loopback, which also serves
// as the CA, and its key to dir, and returns dir.
func writeCertificates(g *WithT, dir string) string {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	c := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	for name, b := range map[string]*pem.Block{
		"ca.pem":   {Type: "CERTIFICATE", Bytes: der},
		"host.pem": {Type: "CERTIFICATE", Bytes: der},
		"host.key": {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		var buf bytes.Buffer
		g.Expect(pem.Encode(&buf, b)).To(Succeed())
		g.Expect(os.WriteFile(filepath.Join(dir, name), buf.Bytes(), 0o600)).To(Succeed(), fmt.Sprint("write ", name))
	}
	return dir
}
