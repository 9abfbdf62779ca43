package entryhost

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// recheck is how often the certificate files are looked at.
const recheck = 5 * time.Second

// certificate is a key pair that is read again when its files change, so that
// certificates are renewed without a restart.
type certificate struct {
	certFile, keyFile string

	mu      sync.Mutex
	pair    *tls.Certificate
	read    time.Time // modification time of the files in use
	checked time.Time
}

func loadCertificate(certFile, keyFile string) (*certificate, error) {
	c := &certificate{certFile: certFile, keyFile: keyFile}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *certificate) load() error {
	modified, err := c.modified()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", c.certFile, c.keyFile, err)
	}
	c.pair = &pair
	c.read = modified
	return nil
}

// modified returns the later modification time of the two files.
func (c *certificate) modified() (time.Time, error) {
	var latest time.Time
	for _, f := range []string{c.certFile, c.keyFile} {
		info, err := os.Stat(f)
		if err != nil {
			return time.Time{}, fmt.Errorf("certificate: %w", err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// get returns the newest valid pair. While the files are being replaced the two
// may not fit each other, so the old pair stays in use until they do.
func (c *certificate) get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) < recheck {
		return c.pair
	}
	c.checked = time.Now()
	modified, err := c.modified()
	if err == nil && !modified.Equal(c.read) {
		_ = c.load()
	}
	return c.pair
}

func (c *certificate) forServer(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.get(), nil
}

func (c *certificate) forClient(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.get(), nil
}

// callerTLS returns the TLS settings towards callers, nil for plain text.
func (s Settings) callerTLS() (*tls.Config, error) {
	if s.CallerCert == "" {
		return nil, nil
	}
	c, err := loadCertificate(s.CallerCert, s.CallerKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.forServer}, nil
}

var (
	errNoAuthority  = errors.New("no certificate found")
	errNoPeerSigned = errors.New("peer shows no certificate of the fleet")
)

// peerTLS returns the TLS settings between entry hosts, as server and as client;
// nil for plain text. Both sides must show a certificate of the fleet's
// authority. Peers are reached by IP address and any of them may be replaced, so
// the authority is checked and the name is not.
func (s Settings) peerTLS() (server, client *tls.Config, err error) {
	if s.PeerCert == "" {
		return nil, nil, nil
	}
	c, err := loadCertificate(s.PeerCert, s.PeerKey)
	if err != nil {
		return nil, nil, err
	}
	authority, err := loadAuthority(s.PeerCA)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: c.forServer,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      authority,
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: c.forClient,
		// The name is not checked, so VerifyConnection checks the chain.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, authority)
		},
	}
	return server, client, nil
}

func verifyChain(cs tls.ConnectionState, authority *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errNoPeerSigned
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errNoPeerSigned, err)
	}
	return nil
}

func loadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority %s: %w", file, errNoAuthority)
	}
	return pool, nil
}
