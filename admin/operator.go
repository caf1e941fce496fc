package admin

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// Operator is a person or program that may use the admin API.
type Operator struct {
	ID      knapweedpulley.OperatorID `json:"id"`
	KeyHash customer.Hash             `json:"keyHash"`
}

// Operators lists all operators.
type Operators []Operator

// Check implements knapweedpulley.Checker.
func (o Operators) Check(f knapweedpulley.FieldErrors) {
	seen := knapweedpulley.NewSet[knapweedpulley.OperatorID]()
	for i, one := range o {
		in := f.In("operators[%d]", i)
		in.Required("id", string(one.ID))
		if seen.Has(one.ID) {
			in.Addf("id", one.ID, "must occur only once")
		}
		seen.Add(one.ID)
		if one.KeyHash == (customer.Hash{}) {
			in.Addf("keyHash", "", "must be the SHA-256 of the operator's key in hexadecimal")
		}
	}
}

// Authenticate returns the operator whose key a request carries, and false if there is
// none. It compares the hashes of all operators in constant time.
func (o Operators) Authenticate(r *http.Request) (knapweedpulley.OperatorID, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	hash := customer.HashOf(secret)
	var found knapweedpulley.OperatorID
	for _, one := range o {
		if subtle.ConstantTimeCompare(hash[:], one.KeyHash[:]) == 1 {
			found = one.ID
		}
	}
	return found, found != ""
}
