// Package certificate sets up mutual TLS between the processes of the system
// and TLS on the admin port.
//
// The certificate files are reread when they change, so that certificates are renewed
// without a restart. A peer is accepted as a process of the system if its certificate
// was signed by the authority that the settings name.
//
// # Usage
//
//	reloader, err := certificate.NewReloader(settings.TLS)
//	server, cleanup, err := link.NewServer(address, reloader.ServerCredentials(), register)
//	connections, cleanup := link.NewConnections(reloader.ClientCredentials())
//
// Settings without certificates result in a nil *Reloader, which stands for plain TCP.
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

// recheckPeriod is the minimum time between two checks of the files for changes.
const recheckPeriod = 5 * time.Second

// Settings names the PEM files of a process's certificate. If all names are empty, the process uses
// plain TCP.
type Settings struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the file of the certificate that signs the certificates of all processes.
	Authority string `json:"authority"`
}

// Enabled reports whether the settings name certificates.
func (s *Settings) Enabled() bool {
	return s.Certificate != "" || s.Key != "" || s.Authority != ""
}

// Check implements knapweedpulley.Checker.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	if !s.Enabled() {
		return
	}
	f.Required("certificate", s.Certificate)
	f.Required("key", s.Key)
	f.Required("authority", s.Authority)
}

// loadedFiles is the parsed content of the files as of their last read.
type loadedFiles struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
	modified    time.Time
}

// Reloader provides a process's certificate and reloads it when its files change.
type Reloader struct {
	settings Settings

	mu        sync.Mutex
	current   loadedFiles
	checkedAt time.Time
}

// NewReloader reads the files and returns an error if one is missing or invalid. It returns nil
// without an error if the settings name no files.
func NewReloader(s Settings) (*Reloader, error) {
	if !s.Enabled() {
		return nil, nil
	}
	k := &Reloader{settings: s}
	m, err := k.read()
	if err != nil {
		return nil, err
	}
	k.current = m
	k.checkedAt = time.Now()
	return k, nil
}

// ServerCredentials returns the credentials of a gRPC server that requires a client certificate.
// Nil stands for plain TCP.
func (r *Reloader) ServerCredentials() credentials.TransportCredentials {
	if r == nil {
		return nil
	}
	return credentials.NewTLS(r.ServerConfig(true))
}

// ClientCredentials returns the credentials of a gRPC client. Nil stands for plain TCP.
func (r *Reloader) ClientCredentials() credentials.TransportCredentials {
	if r == nil {
		return nil
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.load().certificate, nil
		},
		// Processes connect to IP addresses, which the certificates of replaced VMs don't name.
		// Therefore only the signature of the authority is verified, and not the name.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection:   r.verify,
	})
}

// ServerConfig returns the TLS configuration of a server. If mutual is set, clients must present a
// certificate. Nil stands for plain TCP.
func (r *Reloader) ServerConfig(mutual bool) *tls.Config {
	if r == nil {
		return nil
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.load().certificate, nil
		},
	}
	if mutual {
		config.ClientAuth = tls.RequireAnyClientCert
		config.VerifyConnection = r.verify
	}
	return config
}

// verify accepts a peer whose certificate was signed by the authority.
func (r *Reloader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.load().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "peer certificate failed verification")
}

// load returns the current content of the files and rereads them if they have changed. While a
// change can't be read or parsed, such as a half-written one, the previous content stays in use.
func (r *Reloader) load() loadedFiles {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checkedAt) < recheckPeriod {
		return r.current
	}
	r.checkedAt = now
	if modified, err := r.modified(); err != nil || modified.Equal(r.current.modified) {
		return r.current
	}
	if m, err := r.read(); err == nil {
		r.current = m
	}
	return r.current
}

func (r *Reloader) read() (loadedFiles, error) {
	modified, err := r.modified()
	if err != nil {
		return loadedFiles{}, err
	}
	pair, err := tls.LoadX509KeyPair(r.settings.Certificate, r.settings.Key)
	if err != nil {
		return loadedFiles{}, errors.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(r.settings.Authority)
	if err != nil {
		return loadedFiles{}, errors.Wrap(err, "read authority certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return loadedFiles{}, errors.Newf("%s: contains no PEM certificate", r.settings.Authority)
	}
	return loadedFiles{certificate: &pair, authority: pool, modified: modified}, nil
}

// modified returns the latest modification time of the files.
func (r *Reloader) modified() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{r.settings.Certificate, r.settings.Key, r.settings.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return latest, errors.Wrap(err, "check certificate file for changes")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
