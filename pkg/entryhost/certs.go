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

// certCheckInterval is the minimum time between two checks of the certificate
// files for changes.
const certCheckInterval = 5 * time.Second

// certificate is a key pair that is reloaded when its files change, so that
// certificates can be renewed without a restart.
type certificate struct {
	certFile, keyFile string

	mu            sync.Mutex
	pair          *tls.Certificate
	loadedModTime time.Time // modification time of the loaded files
	lastChecked   time.Time
}

func loadCertificate(certFile, keyFile string) (*certificate, error) {
	c := &certificate{certFile: certFile, keyFile: keyFile}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *certificate) load() error {
	modified, err := c.latestModTime()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", c.certFile, c.keyFile, err)
	}
	c.pair = &pair
	c.loadedModTime = modified
	return nil
}

// latestModTime returns the later modification time of the two files.
func (c *certificate) latestModTime() (time.Time, error) {
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

// current returns the latest valid key pair. While the files are being replaced,
// certificate and key may not match, so the old pair stays in use until they do.
func (c *certificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastChecked) < certCheckInterval {
		return c.pair
	}
	c.lastChecked = time.Now()
	modified, err := c.latestModTime()
	if err == nil && !modified.Equal(c.loadedModTime) {
		_ = c.load()
	}
	return c.pair
}

func (c *certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

func (c *certificate) getClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// callerTLS returns the TLS configuration for callers, or nil for plain text.
func (s Settings) callerTLS() (*tls.Config, error) {
	if s.CallerCert == "" {
		return nil, nil
	}
	c, err := loadCertificate(s.CallerCert, s.CallerKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.getCertificate}, nil
}

var (
	errNoCACertificate = errors.New("file contains no PEM certificate")
	errUntrustedPeer   = errors.New("peer presented no certificate signed by the fleet's CA")
)

// peerTLS returns the server and client TLS configurations for connections between
// entry hosts, or nil for plain text. Both sides must present a certificate signed
// by the fleet's CA. Peers are addressed by IP address and any of them may be
// replaced, so only the certificate chain is verified, not the name.
func (s Settings) peerTLS() (server, client *tls.Config, err error) {
	if s.PeerCert == "" {
		return nil, nil, nil
	}
	c, err := loadCertificate(s.PeerCert, s.PeerKey)
	if err != nil {
		return nil, nil, err
	}
	caPool, err := loadCAPool(s.PeerCA)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: c.getCertificate,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      caPool,
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: c.getClientCertificate,
		// Disables the check of the name; VerifyConnection verifies the chain.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, caPool)
		},
	}
	return server, client, nil
}

func verifyChain(cs tls.ConnectionState, caPool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errUntrustedPeer
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         caPool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errUntrustedPeer, err)
	}
	return nil
}

func loadCAPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file %s: %w", file, errNoCACertificate)
	}
	return pool, nil
}
