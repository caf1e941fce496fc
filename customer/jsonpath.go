package customer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// stringLiteral is the position of a JSON string in a source, quotes included.
type stringLiteral struct{ start, end int }

// nextLiteral returns the first string at or after an offset, or an empty literal if there is none.
func nextLiteral(source []byte, offset int) stringLiteral {
	start := bytes.IndexByte(source[offset:], '"')
	if start < 0 {
		return stringLiteral{}
	}
	start += offset
	for i := start + 1; i < len(source); i++ {
		switch source[i] {
		case '\\':
			i++
		case '"':
			return stringLiteral{start: start, end: i + 1}
		}
	}
	return stringLiteral{}
}

// hasReference reports whether the literal is a value, not the key of an object, and refers to a
// parameter.
func (l stringLiteral) hasReference(source []byte) bool {
	if !bytes.Contains(source[l.start:l.end], []byte("${")) {
		return false
	}
	rest := bytes.TrimLeft(source[l.end:], " \t\r\n")
	return !bytes.HasPrefix(rest, []byte(":"))
}

// pathAt returns the path of a literal, such as models[2].size. If the JSON is invalid before the
// literal, it returns the path of the last valid token.
func pathAt(source []byte, l stringLiteral) string {
	tracker := newPathTracker(source)
	for tracker.next() && tracker.end < l.end {
	}
	return tracker.path()
}

// jsonLevel is an object or array that encloses the current token.
type jsonLevel struct {
	array bool
	index int
	key   string
	// keyRead is set in an object after a key, until its value has ended.
	keyRead bool
}

// pathTracker iterates over the tokens of a JSON text and tracks the path of the current token.
type pathTracker struct {
	decoder *json.Decoder
	levels  []jsonLevel
	// end is the offset of the end of the current token.
	end int
}

func newPathTracker(source []byte) *pathTracker {
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.UseNumber()
	return &pathTracker{decoder: decoder}
}

// next advances to the next token. It returns false at the end of the source or if it is invalid.
func (p *pathTracker) next() bool {
	p.advanceIndex()
	token, err := p.decoder.Token()
	if err != nil {
		return false
	}
	p.end = int(p.decoder.InputOffset())
	switch t := token.(type) {
	case json.Delim:
		p.handleDelimiter(t)
	case string:
		p.handleString(t)
	default:
		p.endValue()
	}
	return true
}

// advanceIndex increments the index of the innermost array if it has another element.
func (p *pathTracker) advanceIndex() {
	if len(p.levels) == 0 {
		return
	}
	l := &p.levels[len(p.levels)-1]
	if l.array && p.decoder.More() {
		l.index++
	}
}

func (p *pathTracker) handleDelimiter(delimiter json.Delim) {
	switch delimiter {
	case '{':
		p.push(jsonLevel{})
	case '[':
		p.push(jsonLevel{array: true, index: -1})
	default:
		p.levels = p.levels[:len(p.levels)-1]
		p.endValue()
	}
}

func (p *pathTracker) push(l jsonLevel) {
	p.levels = append(p.levels, l)
}

func (p *pathTracker) endValue() {
	if len(p.levels) > 0 {
		p.levels[len(p.levels)-1].keyRead = false
	}
}

func (p *pathTracker) handleString(text string) {
	if len(p.levels) > 0 {
		l := &p.levels[len(p.levels)-1]
		if !l.array && !l.keyRead {
			l.key, l.keyRead = text, true
			return
		}
		l.keyRead = false
	}
}

// path returns the path of the current token, such as models[2].size.
func (p *pathTracker) path() string {
	var b strings.Builder
	for _, l := range p.levels {
		if l.array {
			b.WriteString("[" + strconv.Itoa(l.index) + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(l.key)
	}
	return b.String()
}
