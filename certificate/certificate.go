// Package certificate sets up mutual TLS between the processes of the system
// and TLS on the admin port.
//
// The files are read again when they change, so that certificates are renewed
// without a restart. A peer is taken for a process of the system if its
// certificate was signed by the authority that the settings name.
//
// # Usage
//
//	keeper, err := certificate.NewKeeper(settings.TLS)
//	server, cleanup, err := link.NewServer(address, keeper.ServerCredentials(), register)
//	connections, cleanup := link.NewConnections(keeper.ClientCredentials())
//
// A nil *Keeper stands for plain TCP, as settings without certificates ask for.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"

	"github.com/knapweedpulley/knapweedpulley"
)

// recheckPeriod is the least time between two looks at the files.
const recheckPeriod = 5 * time.Second

// Settings names the files of a process's certificate. All are PEM files; if
// all are empty, the process uses plain TCP.
type Settings struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the certificate that signs those of all processes.
	Authority string `json:"authority"`
}

// Enabled reports whether the settings name certificates.
func (s *Settings) Enabled() bool {
	return s.Certificate != "" || s.Key != "" || s.Authority != ""
}

// Check implements knapweedpulley.Checked.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	if !s.Enabled() {
		return
	}
	f.Required("certificate", s.Certificate)
	f.Required("key", s.Key)
	f.Required("authority", s.Authority)
}

// material is what the files held when they were last read.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
	modified    time.Time
}

// Keeper holds a process's certificate and keeps it up to date.
type Keeper struct {
	settings Settings

	mu      sync.Mutex
	current material
	checked time.Time
}

// NewKeeper reads the files. It returns nil if the settings name none.
func NewKeeper(s Settings) (*Keeper, error) {
	if !s.Enabled() {
		return nil, nil
	}
	k := &Keeper{settings: s}
	m, err := k.read()
	if err != nil {
		return nil, err
	}
	k.current = m
	k.checked = time.Now()
	return k, nil
}

// ServerCredentials returns what a gRPC server shows and demands.
func (k *Keeper) ServerCredentials() credentials.TransportCredentials {
	if k == nil {
		return nil
	}
	return credentials.NewTLS(k.ServerConfig(true))
}

// ClientCredentials returns what a gRPC client shows and demands.
func (k *Keeper) ClientCredentials() credentials.TransportCredentials {
	if k == nil {
		return nil
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.load().certificate, nil
		},
		// Processes talk by IP numbers, which certificates of replaced VMs don't
		// name: the authority is checked in place of the name.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection:   k.verify,
	})
}

// ServerConfig returns the TLS settings of a server, with or without a demand
// for a client certificate. Nil stands for plain TCP.
func (k *Keeper) ServerConfig(mutual bool) *tls.Config {
	if k == nil {
		return nil
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.load().certificate, nil
		},
	}
	if mutual {
		config.ClientAuth = tls.RequireAnyClientCert
		config.VerifyConnection = k.verify
	}
	return config
}

// verify accepts a peer whose certificate the authority signed.
func (k *Keeper) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         k.load().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "the peer is no process of the system")
}

// load returns the current material, read again if the files have changed. A
// half-written change is left out until it is whole.
func (k *Keeper) load() material {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.checked) < recheckPeriod {
		return k.current
	}
	k.checked = now
	if modified, err := k.modified(); err != nil || modified.Equal(k.current.modified) {
		return k.current
	}
	if m, err := k.read(); err == nil {
		k.current = m
	}
	return k.current
}

func (k *Keeper) read() (material, error) {
	modified, err := k.modified()
	if err != nil {
		return material{}, err
	}
	pair, err := tls.LoadX509KeyPair(k.settings.Certificate, k.settings.Key)
	if err != nil {
		return material{}, errors.Wrap(err, "read the certificate")
	}
	pem, err := os.ReadFile(k.settings.Authority)
	if err != nil {
		return material{}, errors.Wrap(err, "read the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return material{}, errors.Newf("%s: holds no PEM certificate", k.settings.Authority)
	}
	return material{certificate: &pair, authority: pool, modified: modified}, nil
}

// modified returns the latest time at which one of the files was changed.
func (k *Keeper) modified() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{k.settings.Certificate, k.settings.Key, k.settings.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return latest, errors.Wrap(err, "look at a certificate file")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
