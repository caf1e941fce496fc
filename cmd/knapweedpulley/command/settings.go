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

// Settings has the addresses of the admin API and the key of the operator. The addresses file of a
// local fleet is a valid settings file.
type Settings struct {
	// Admin lists the admin addresses of the entries, which are tried in order.
	Admin []string `json:"admin"`
	// OperatorKey is the secret that authenticates the operator.
	OperatorKey string `json:"operatorKey"`
	// Authority is the path of a PEM file with the CA certificates that verify the certificate of the
	// API. If it is empty, the API is called over plain HTTP.
	Authority string `json:"authority"`

	// Entries and Customers are part of the addresses file of a local fleet. The command accepts them
	// and ignores their values.
	Entries   json.RawMessage `json:"entries"`
	Customers json.RawMessage `json:"customers"`
}

// Check implements knapweedpulley.Checker.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	if len(s.Admin) == 0 {
		f.Addf("admin", "", "must list at least one address")
	}
	for i, a := range s.Admin {
		f.Address(fmt.Sprintf("admin[%d]", i), a)
	}
	f.Required("operatorKey", s.OperatorKey)
}

// loadSettings reads and checks the settings file. Its errors are marked errUsage.
func loadSettings(path string) (Settings, error) {
	s, err := settings.Load[Settings](path)
	if err != nil {
		return s, errors.Mark(err, errUsage)
	}
	return s, nil
}

// tlsConfig returns the TLS configuration of the API's clients, or nil for plain HTTP.
func (s Settings) tlsConfig() (*tls.Config, error) {
	if s.Authority == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read authority"), errUsage)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usageErrorf("authority: %q must contain at least one certificate in PEM format", s.Authority)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}
