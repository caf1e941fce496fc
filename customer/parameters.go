package customer

import (
	"bytes"
	"encoding/json"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// Parameters holds the values that replace references of the form ${name} in a template. Each value
// is a JSON string, number or boolean.
type Parameters map[string]json.RawMessage

var (
	parameterName      = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]*$`)
	parameterReference = regexp.MustCompile(`\$\{[^}]*\}?`)
)

// Check implements knapweedpulley.Checker.
func (p Parameters) Check(f knapweedpulley.FieldErrors) {
	for n, v := range p {
		if !parameterName.MatchString(n) {
			f.Addf(n, n, "must consist of letters, digits, '_' and '-', and begin with a letter")
		}
		if !isScalar(v) {
			f.Addf(n, string(v), "must be a JSON string, number, true or false")
		}
	}
}

// Equal reports whether p and q have the same names and values.
func (p Parameters) Equal(q Parameters) bool {
	if len(p) != len(q) {
		return false
	}
	for n, v := range p {
		w, ok := q[n]
		if !ok || !bytes.Equal(v, w) {
			return false
		}
	}
	return true
}

// Fill replaces the references to parameters in the text of a template. A string that consists of
// one reference becomes the value of the parameter, whatever its type. A reference within a longer
// string is replaced by the characters of the value. Fill returns an error if a reference has no
// parameter, if a parameter is not used or if a parameter is invalid.
func (p Parameters) Fill(text []byte) ([]byte, error) {
	var f settings.Faults
	p.Check(f.In("parameters"))
	if err := f.Err(); err != nil {
		return nil, err
	}
	out := new(bytes.Buffer)
	used := knapweedpulley.NewSet[string]()
	copied := 0
	for l := nextLiteral(text, 0); l.end > 0; l = nextLiteral(text, l.end) {
		if !l.hasReference(text) {
			continue
		}
		if value, ok := p.substitute(text, l, used, &f); ok {
			out.Write(text[copied:l.start])
			out.Write(value)
			copied = l.end
		}
	}
	out.Write(text[copied:])
	p.checkUsed(used, &f)
	return out.Bytes(), f.Err()
}

// substitute returns the JSON value that replaces a string literal of the template that refers to
// parameters. It adds the names of the parameters to used.
func (p Parameters) substitute(
	source []byte, l stringLiteral, used knapweedpulley.Set[string], f knapweedpulley.FieldErrors,
) (json.RawMessage, bool) {
	var text string
	if err := json.Unmarshal(source[l.start:l.end], &text); err != nil {
		f.Addf(pathAt(source, l), string(source[l.start:l.end]), "must be a JSON string: %v", err)
		return nil, false
	}
	references := parameterReference.FindAllString(text, -1)
	for _, r := range references {
		name := strings.TrimSuffix(strings.TrimPrefix(r, "${"), "}")
		if _, ok := p[name]; !ok || !strings.HasSuffix(r, "}") {
			f.Addf(pathAt(source, l), r, "must be a reference to a given parameter")
			return nil, false
		}
		used.Add(name)
	}
	if len(references) == 1 && references[0] == text {
		return p.valueOf(text), true
	}
	filled := parameterReference.ReplaceAllStringFunc(text, func(r string) string {
		return scalarText(p.valueOf(r))
	})
	value, err := json.Marshal(filled)
	if err != nil {
		f.Addf(pathAt(source, l), text, "can't be filled in: %v", err)
		return nil, false
	}
	return value, true
}

func (p Parameters) valueOf(reference string) json.RawMessage {
	return p[strings.TrimSuffix(strings.TrimPrefix(reference, "${"), "}")]
}

func (p Parameters) checkUsed(used knapweedpulley.Set[string], f knapweedpulley.FieldErrors) {
	var unused []string
	for n := range p {
		if !used.Has(n) {
			unused = append(unused, n)
		}
	}
	slices.Sort(unused)
	for _, n := range unused {
		f.In("parameters").Addf(n, string(p[n]), "is not used by the template")
	}
}

// isScalar reports whether value is a single JSON string, number or boolean.
func isScalar(value json.RawMessage) bool {
	var v any
	if json.Unmarshal(value, &v) != nil {
		return false
	}
	switch v.(type) {
	case string, float64, bool:
		return true
	default:
		return false
	}
}

// scalarText returns a JSON string without its quotes and any other value unchanged.
func scalarText(value json.RawMessage) string {
	var s string
	if json.Unmarshal(value, &s) == nil {
		return s
	}
	return string(value)
}

// ParseParameter returns the value of a parameter as given on a command line. A JSON string, number
// or boolean is used as it is; any other text becomes a JSON string.
func ParseParameter(text string) (json.RawMessage, error) {
	if raw := json.RawMessage(text); isScalar(raw) {
		return raw, nil
	}
	value, err := json.Marshal(text)
	return value, errors.Wrap(err, "encode parameter")
}
