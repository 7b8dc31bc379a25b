package host

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
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

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"cicadarouter/link"
	"cicadarouter/link/linkpb"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.key = key
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(a.t, os.WriteFile(filepath.Join(a.dir, name), data, 0o600))
}

// issue writes a certificate with the given serial number and its key, and returns
// settings that name them.
func (a *authority) issue(serial int64) TLSSettings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{linkServerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	a.write("host.pem", "CERTIFICATE", der)
	a.write("host.key", "EC PRIVATE KEY", secret)
	return TLSSettings{
		Certificate: filepath.Join(a.dir, "host.pem"),
		Key:         filepath.Join(a.dir, "host.key"),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	}
}

func mustCredentials(t *testing.T, settings TLSSettings) LinkCredentials {
	creds, err := newCredentials(settings)
	assert.NilError(t, err)
	return creds
}

// serveLink starts a link server that implements no calls and returns its address.
func serveLink(t *testing.T, creds LinkCredentials) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := link.NewServer(creds)
	linkpb.RegisterControlServer(server, linkpb.UnimplementedControlServer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// reaches reports whether a call with the credentials gets through to the server.
func reaches(t *testing.T, address string, creds credentials.TransportCredentials) bool {
	pool := link.NewPool(creds)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var sent link.Sent
	_, err := pool.Control(address).Agree(link.WithSent(ctx, &sent), &linkpb.AgreeRequest{})
	assert.Assert(t, err != nil) // the handlers are not implemented
	return sent.Any()
}

// TestOnlyOwnProcessesConnect checks that the link accepts processes with a certificate
// issued by the authority, and no others.
func TestOnlyOwnProcessesConnect(t *testing.T) {
	ours := newAuthority(t, "ours")
	address := serveLink(t, mustCredentials(t, ours.issue(1)))
	assert.Assert(t, reaches(t, address, mustCredentials(t, ours.issue(2))))
	assert.Assert(t, !reaches(t, address, insecure.NewCredentials()))
	assert.Assert(t, !reaches(t, address, mustCredentials(t, newAuthority(t, "theirs").issue(1))))
}

// TestKeysAreReplacedWithoutRestart checks that a changed certificate is used for the
// next connection, and that an invalid file leaves the previous one in use.
func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	ours := newAuthority(t, "ours")
	settings := ours.issue(1)
	cache := &certificateCache{settings: settings}
	serial := func() int64 {
		pair, err := cache.certificate()
		assert.NilError(t, err)
		leaf, err := x509.ParseCertificate(pair.Certificate[0])
		assert.NilError(t, err)
		return leaf.SerialNumber.Int64()
	}
	assert.Equal(t, serial(), int64(1))
	ours.issue(2)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(settings.Certificate, later, later))
	assert.Equal(t, serial(), int64(2))
	assert.NilError(t, os.WriteFile(settings.Certificate, []byte("broken"), 0o600))
	assert.Equal(t, serial(), int64(2))
}

// TestKeyErrors checks that an error about an unusable file names the file.
func TestKeyErrors(t *testing.T) {
	settings := newAuthority(t, "ours").issue(1)
	settings.Authority = settings.Key
	_, err := newCredentials(settings)
	var typed *KeyError
	assert.Assert(t, errors.As(err, &typed), "got %v", err)
	assert.Equal(t, typed.File, settings.Key)
	settings.Certificate = "missing.pem"
	_, err = newCredentials(settings)
	assert.Assert(t, errors.As(err, &typed), "got %v", err)
}
