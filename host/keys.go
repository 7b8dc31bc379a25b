package host

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// KeyError reports a certificate or key file that can't be used. It never contains key
// material.
type KeyError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("key file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Cause }

// LinkCredentials are the transport credentials of the connections between the system's
// processes.
type LinkCredentials credentials.TransportCredentials

// newCredentials returns credentials for mutual TLS, or insecure ones if the settings
// name no keys. With TLS, both ends must present a certificate issued by the authority,
// so that only the system's own processes can take part in agreement and request leases.
func newCredentials(keys TLSSettings) (LinkCredentials, error) {
	if !keys.Enabled() {
		return insecure.NewCredentials(), nil
	}
	cache := &certificateCache{settings: keys}
	if _, err := cache.certificate(); err != nil {
		return nil, err
	}
	authority, err := loadAuthority(keys.Authority)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  authority,
		RootCAs:    authority,
		ServerName: linkServerName,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return cache.certificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return cache.certificate()
		},
	}), nil
}

// linkServerName is the DNS name that every process's certificate must contain.
// Certificates don't name hosts, because the hosts' IP addresses change.
const linkServerName = "cicadarouter.link"

func loadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, &KeyError{File: file, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &KeyError{File: file, Cause: errNoCertificate}
	}
	return pool, nil
}

var errNoCertificate = fmt.Errorf("contains no PEM certificate")

// certificateCache caches the process's certificate and reloads it when its file has changed,
// so that certificates can be renewed without a restart.
type certificateCache struct {
	settings TLSSettings

	mu       sync.Mutex
	loaded   *tls.Certificate
	modified time.Time
}

func (c *certificateCache) certificate() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.settings.Certificate)
	if err != nil {
		return c.lastCertificate(&KeyError{File: c.settings.Certificate, Cause: err})
	}
	if c.loaded != nil && info.ModTime().Equal(c.modified) {
		return c.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(c.settings.Certificate, c.settings.Key)
	if err != nil {
		return c.lastCertificate(&KeyError{File: c.settings.Certificate, Cause: err})
	}
	c.loaded = &pair
	c.modified = info.ModTime()
	return c.loaded, nil
}

// lastCertificate returns the last certificate that was loaded, or err if there is none.
// It keeps that certificate in use while its files are being replaced or are invalid.
func (c *certificateCache) lastCertificate(err error) (*tls.Certificate, error) {
	if c.loaded != nil {
		return c.loaded, nil
	}
	return nil, err
}
