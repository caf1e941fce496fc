package knapweedpulley

import "github.com/cockroachdb/errors"

// maxErrorSize bounds the part of a server's bytes that gets into an error.
const maxErrorSize = 500

// ShortenError returns err, or an error with the start of its text if that is long. Errors about a
// malformed answer can contain all of it. Only a short error keeps its cause.
func ShortenError(err error) error {
	if text := err.Error(); len(text) > maxErrorSize {
		return errors.Newf("%s...", text[:maxErrorSize])
	}
	return err
}
