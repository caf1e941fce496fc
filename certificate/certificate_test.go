package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/certificate"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// authority signs certificates in tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	a.certificate, a.key = sign(t, template, template, nil)
	return a
}

func sign(
	t *testing.T, template, parent *x509.Certificate, signer *ecdsa.PrivateKey,
) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	is.NoErr(err)
	c, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return c, key
}

// issue writes the certificate files of a process that trusts the given authority, and returns
// their settings.
func (a *authority) issue(t *testing.T, trusted *authority) certificate.Settings {
	t.Helper()
	is := is.New(t)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	c, key := sign(t, template, a.certificate, a.key)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	return certificate.Settings{
		Certificate: write(t, "CERTIFICATE", c.Raw),
		Key:         write(t, "EC PRIVATE KEY", keyDER),
		Authority:   write(t, "CERTIFICATE", trusted.certificate.Raw),
	}
}

func write(t *testing.T, kind string, der []byte) string {
	t.Helper()
	f, err := os.CreateTemp(t.TempDir(), filepath.Base(kind))
	is.New(t).NoErr(err)
	defer func() { _ = f.Close() }()
	is.New(t).NoErr(pem.Encode(f, &pem.Block{Type: kind, Bytes: der}))
	return f.Name()
}

// handshake performs a TLS handshake between a client and a server and returns the errors of both.
func handshake(t *testing.T, server, client certificate.Settings) error {
	t.Helper()
	is := is.New(t)
	serverReloader, err := certificate.NewReloader(server)
	is.NoErr(err)
	clientReloader, err := certificate.NewReloader(client)
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	outcome := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _, err = serverReloader.ServerCredentials().ServerHandshake(conn)
			_ = conn.Close()
		}
		outcome <- err
	}()
	connection, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	_, _, err = clientReloader.ClientCredentials().ClientHandshake(t.Context(), "127.0.0.1", connection)
	_ = connection.Close()
	return errors.CombineErrors(err, <-outcome)
}

func TestReloader(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)

	t.Run("processes of the system accept each other", func(t *testing.T) {
		is.New(t).NoErr(handshake(t, ours.issue(t, ours), ours.issue(t, ours)))
	})
	t.Run("a client with another authority is refused by the server", func(t *testing.T) {
		is.New(t).True(handshake(t, ours.issue(t, ours), theirs.issue(t, ours)) != nil)
	})
	t.Run("a server with another authority is refused by the client", func(t *testing.T) {
		is.New(t).True(handshake(t, theirs.issue(t, ours), ours.issue(t, ours)) != nil)
	})
	t.Run("settings without certificates result in plain TCP", func(t *testing.T) {
		is := is.New(t)
		k, err := certificate.NewReloader(certificate.Settings{})
		is.NoErr(err)
		is.True(k.ServerConfig(true) == nil)
		is.True(k.ClientCredentials() == nil)
	})
	t.Run("settings with only some of the files are refused", func(t *testing.T) {
		var f settings.Faults
		s := certificate.Settings{Key: "key.pem"}
		s.Check(&f)
		is.New(t).True(f.Err() != nil)
	})
}
