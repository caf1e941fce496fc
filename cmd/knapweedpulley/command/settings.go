package command

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// Settings says where the admin API is and who the operator is. The addresses
// file of a local fleet can be used as it is.
type Settings struct {
	// Admin lists the admin addresses of entries. They are tried in order.
	Admin []string `json:"admin"`
	// OperatorKey is the secret of the operator.
	OperatorKey string `json:"operatorKey"`
	// Authority is the path of the certificates that the API's certificate
	// must descend from. Without it, the API is called over plain HTTP.
	Authority string `json:"authority"`

	// Entries and Customers stand in the addresses file of a local fleet; the
	// command has no use for them.
	Entries   json.RawMessage `json:"entries"`
	Customers json.RawMessage `json:"customers"`
}

// Check implements knapweedpulley.Checker.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	if len(s.Admin) == 0 {
		f.Addf("admin", "", "must list an address")
	}
	for i, a := range s.Admin {
		f.Address(fmt.Sprintf("admin[%d]", i), a)
	}
	f.Required("operatorKey", s.OperatorKey)
}

func loadSettings(path string) (Settings, error) {
	s, err := settings.Load[Settings](path)
	if err != nil {
		return s, errors.Mark(err, errUsage)
	}
	return s, nil
}

// tlsConfig returns the configuration of TLS, nil for plain HTTP.
func (s Settings) tlsConfig() (*tls.Config, error) {
	if s.Authority == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "authority"), errUsage)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usage("authority: %q must hold certificates in PEM form", s.Authority)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}
