// Package rawjson splits a JSON text into the texts of its parts, without a limit on how deeply
// these are nested and without a look at what they say. A list that holds the objects of several
// writers can thus be decoded object by object, and one that encoding/json refuses costs no other.
//
// # Usage
//
//	items, err := rawjson.Elements(list)
//	for _, item := range items {
//		err := json.Unmarshal(item, &object)
//	}
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Elements returns the texts of the elements of an array, and none for null or an empty text. They
// share the memory of the array.
func Elements(text []byte) ([]json.RawMessage, error) {
	s := scanner{rest: text}
	if s.isNull() {
		return nil, nil
	}
	var elements []json.RawMessage
	err := s.list('[', ']', func() error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// Members returns the texts of the members of an object by name, and none for null or an empty
// text. They share the memory of the object. Of several members with one name, the last is
// returned.
func Members(text []byte) (map[string]json.RawMessage, error) {
	s := scanner{rest: text}
	if s.isNull() {
		return nil, nil
	}
	members := make(map[string]json.RawMessage)
	err := s.list('{', '}', func() error {
		quoted, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(quoted, &name); err != nil {
			return errors.Wrap(err, "decode the name of a member")
		}
		if !s.skip(':') {
			return errors.New("member of an object has no value")
		}
		members[name], err = s.value()
		return err
	})
	return members, err
}

// errIncomplete means that a text ends within a value.
var errIncomplete = errors.New("JSON text ends too early")

// scanner reads a JSON text from its start.
type scanner struct {
	rest []byte
}

// list reads the whole text as a list between two brackets. It calls item to read each item.
func (s *scanner) list(opening, closing byte, item func() error) error {
	if !s.skip(opening) {
		return errors.Newf("JSON text does not begin with %q", opening)
	}
	for first := true; !s.skip(closing); first = false {
		if !first && !s.skip(',') {
			return errors.Newf("JSON text has neither a comma nor %q after an item", closing)
		}
		if err := item(); err != nil {
			return err
		}
	}
	if s.skipSpace(); len(s.rest) > 0 {
		return errors.New("JSON text goes on after its end")
	}
	return nil
}

// isNull reports whether the rest of the text is null or empty.
func (s *scanner) isNull() bool {
	s.skipSpace()
	return len(s.rest) == 0 || string(bytes.TrimRight(s.rest, " \t\r\n")) == "null"
}

func (s *scanner) skipSpace() {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
}

// skip skips space and then the given byte. It returns false if another byte follows.
func (s *scanner) skip(b byte) bool {
	s.skipSpace()
	if len(s.rest) == 0 || s.rest[0] != b {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

// value reads one value and returns its text.
func (s *scanner) value() (json.RawMessage, error) {
	s.skipSpace()
	n := valueLength(s.rest)
	if n == 0 {
		return nil, errIncomplete
	}
	text := s.rest[:n:n]
	s.rest = s.rest[n:]
	return text, nil
}

// valueLength returns the length of the value at the start of a text, or zero if there is none or
// it has no end.
func valueLength(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			n := stringLength(text[i:])
			if n == 0 {
				return 0
			}
			i += n - 1
			if depth == 0 {
				return i + 1
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth <= 1 {
				return i + depth
			}
			depth--
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i
			}
		}
	}
	return 0
}

// stringLength returns the length of the string at the start of a text, or zero if it has no end.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}
