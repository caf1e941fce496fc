package admin

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/knapweedpulley/knapweedpulley/customer"
)

// Difference is a value of a template that a change adds, removes or replaces.
type Difference struct {
	// Path is the path of the value in the template. List items are identified by
	// their id, or by their index if they have none.
	Path string `json:"path"`
	// Old is absent for a value that is added.
	Old json.RawMessage `json:"old,omitempty"`
	// New is absent for a value that is removed.
	New json.RawMessage `json:"new,omitempty"`
}

// String returns the old value on a line that begins with a minus, and the new value
// on one that begins with a plus.
func (d Difference) String() string {
	var lines []string
	if d.Old != nil {
		lines = append(lines, fmt.Sprintf("- %s: %s", d.Path, d.Old))
	}
	if d.New != nil {
		lines = append(lines, fmt.Sprintf("+ %s: %s", d.Path, d.New))
	}
	return strings.Join(lines, "\n")
}

// differences compares the resolved templates of two records. A record whose template
// can't be resolved counts as empty.
func differences(old, next customer.Record) []Difference {
	before, after := templateValues(old), templateValues(next)
	result := []Difference{}
	for path, value := range after {
		if previous, ok := before[path]; !ok || string(previous) != string(value) {
			result = append(result, Difference{Path: path, Old: previous, New: value})
		}
	}
	for path, value := range before {
		if _, kept := after[path]; !kept {
			result = append(result, Difference{Path: path, Old: value})
		}
	}
	slices.SortFunc(result, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return result
}

// templateValues returns the values of a record's resolved template by their paths.
func templateValues(r customer.Record) map[string]json.RawMessage {
	leaves := make(map[string]json.RawMessage)
	t, err := r.Resolve()
	if err != nil {
		return leaves
	}
	if data, err := json.Marshal(t); err == nil {
		collectValues(leaves, "", data)
	}
	return leaves
}

// collectValues adds value, or the values that it contains, by their paths.
func collectValues(leaves map[string]json.RawMessage, path string, value json.RawMessage) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) == nil && fields != nil {
		for name, field := range fields {
			collectValues(leaves, strings.TrimPrefix(path+"."+name, "."), field)
		}
		return
	}
	var items []json.RawMessage
	if json.Unmarshal(value, &items) == nil {
		for i, item := range items {
			collectValues(leaves, fmt.Sprintf("%s[%s]", path, itemName(i, item)), item)
		}
		return
	}
	leaves[path] = value
}

// itemName returns the id of a list item, or its index.
func itemName(index int, item json.RawMessage) string {
	var named struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(item, &named) == nil && named.ID != "" {
		return named.ID
	}
	return fmt.Sprint(index)
}
