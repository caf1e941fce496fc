package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// claimIDBytes is the number of bytes of the hash that a claim id contains.
	claimIDBytes = 16
	// recordOverheadBytes estimates the encoded size of a record without its request id and answer.
	recordOverheadBytes = 160
)

// claimID identifies a claim among all customers and routes.
type claimID string

// state is the state of a claim as its record holds it.
type state string

const (
	stateRunning  state = "running"
	stateAnswered state = "answered"
	stateReleased state = "released"
)

// storedHeaderField is a header field of a stored answer.
type storedHeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// storedAnswer is the stored form of an answer.
type storedAnswer struct {
	Status int                 `json:"status"`
	Header []storedHeaderField `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// newStoredAnswer returns the stored form of an answer, or nil if the answer is larger than limit.
func newStoredAnswer(a knapweedpulley.Answer, limit knapweedpulley.Bytes) *storedAnswer {
	stored := &storedAnswer{Status: a.Head.Status, Body: a.Body}
	size := len(a.Body)
	for _, h := range a.Head.Header {
		stored.Header = append(stored.Header, storedHeaderField(h))
		size += len(h.Name) + len(h.Value)
	}
	if knapweedpulley.Bytes(size) > limit {
		return nil
	}
	return stored
}

// toAnswer returns the original answer, or the zero answer if a is nil.
func (a *storedAnswer) toAnswer() knapweedpulley.Answer {
	if a == nil {
		return knapweedpulley.Answer{}
	}
	result := knapweedpulley.Answer{Head: knapweedpulley.AnswerHead{Status: a.Status}, Body: a.Body}
	for _, h := range a.Header {
		result.Head.Header = append(result.Head.Header, knapweedpulley.HeaderField(h))
	}
	return result
}

// record is the stored state of one claim.
type record struct {
	ID          claimID                    `json:"id"`
	Request     knapweedpulley.RequestID   `json:"request"`
	Fingerprint knapweedpulley.Fingerprint `json:"fingerprint,string"`
	Attempt     uint32                     `json:"attempt,omitempty"`
	State       state                      `json:"state"`
	// UpdatedSeconds is the time of the last change, in seconds since 1970.
	UpdatedSeconds int64         `json:"seconds"`
	Answer         *storedAnswer `json:"answer,omitempty"`
}

// expired reports whether the last change of the claim is longer ago than the retention period.
func (r record) expired(now time.Time, retention time.Duration) bool {
	return now.Sub(time.Unix(r.UpdatedSeconds, 0)) > retention
}

// size estimates the encoded size of the record.
func (r record) size() knapweedpulley.Bytes {
	size := recordOverheadBytes + len(r.Request)
	if r.Answer != nil {
		size += base64.StdEncoding.EncodedLen(len(r.Answer.Body))
		for _, h := range r.Answer.Header {
			size += recordOverheadBytes/4 + len(h.Name) + len(h.Value)
		}
	}
	return knapweedpulley.Bytes(size)
}

// archive refers to an object that holds earlier records of a bucket.
type archive struct {
	Name     string                  `json:"name"`
	Revision knapweedpulley.Revision `json:"revision"`
	// UpdatedSeconds is the latest time of change of its records, in seconds since 1970.
	UpdatedSeconds int64 `json:"seconds"`
}

// document is the value of a head or of an archive object. Only a head lists archives.
type document struct {
	Records  []record  `json:"records"`
	Archives []archive `json:"archives,omitempty"`
}

func parseDocument(value []byte) (document, error) {
	var d document
	return d, errors.Wrap(json.Unmarshal(value, &d), "decode claims")
}

func (d document) encode() ([]byte, error) {
	value, err := json.Marshal(d)
	if err == nil && knapweedpulley.Bytes(len(value)) > maxDocumentSize {
		return nil, errBucketFull
	}
	return value, errors.Wrap(err, "encode claims")
}

// size estimates the encoded size of the records.
func (d document) size() knapweedpulley.Bytes {
	var size knapweedpulley.Bytes
	for _, r := range d.Records {
		size += r.size()
	}
	return size
}

// latestUpdate returns the latest time of change of the records, in seconds since 1970.
func (d document) latestUpdate() int64 {
	var latest int64
	for _, r := range d.Records {
		latest = max(latest, r.UpdatedSeconds)
	}
	return latest
}

// claimIDAndBucket returns the id of a claim and the name of its bucket.
func claimIDAndBucket(c knapweedpulley.Claim) (id claimID, bucket string) {
	var text []byte
	for _, part := range []string{string(c.Customer), string(c.Route), string(c.Key)} {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	hash := sha256.Sum256(text)
	bucket = fmt.Sprintf("b%02d", xxhash.Sum64(text)%bucketCount)
	return claimID(base64.RawURLEncoding.EncodeToString(hash[:claimIDBytes])), bucket
}
