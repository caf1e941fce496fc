// Package fake implements a decoder of installations for tests, in place of one for
// the platform's format.
//
// # Usage
//
//	follower, cleanup := installation.NewFollower(installation.Options{Decoder: fake.InstallationDecoder{}, …})
package fake

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// InstallationDecoder implements knapweedpulley.InstallationDecoder for the types of the
// root package as JSON.
type InstallationDecoder struct{}

// Installation implements knapweedpulley.InstallationDecoder.
func (InstallationDecoder) Installation(value []byte) (knapweedpulley.Installation, error) {
	var i knapweedpulley.Installation
	return i, json.Unmarshal(value, &i)
}

// Endpoint implements knapweedpulley.InstallationDecoder. It returns an error if the
// registration has no address.
func (InstallationDecoder) Endpoint(id knapweedpulley.EndpointID, value []byte) (knapweedpulley.RegisteredEndpoint, error) {
	var e knapweedpulley.RegisteredEndpoint
	if err := json.Unmarshal(value, &e); err != nil {
		return e, err
	}
	if e.Address == "" {
		return e, errors.New("endpoint registration has no address")
	}
	e.ID = id
	return e, nil
}
