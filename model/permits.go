package model

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// permitTable is an immutable snapshot of the permits.
type permitTable struct {
	byModel map[knapweedpulley.ModelID]knapweedpulley.Permit
	list    []knapweedpulley.Permit
	// revisions holds the revision of the last change of each permit, including those
	// that were deleted.
	revisions map[knapweedpulley.ModelID]knapweedpulley.Revision
}

// Permits implements knapweedpulley.PermitSource from the changes of the store. It
// keeps the highest revision of each permit, so that changes may arrive in any order
// and more than once.
type Permits struct {
	mu    sync.Mutex
	table atomic.Pointer[permitTable]
}

// NewPermits returns an empty source.
func NewPermits() *Permits {
	p := &Permits{}
	p.table.Store(&permitTable{
		byModel:   make(map[knapweedpulley.ModelID]knapweedpulley.Permit),
		revisions: make(map[knapweedpulley.ModelID]knapweedpulley.Revision),
	})
	return p
}

// Apply applies changes of permits. It skips permits that can't be decoded and returns
// their errors.
func (p *Permits) Apply(changes []knapweedpulley.Change) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.table.Load()
	next := &permitTable{byModel: maps.Clone(old.byModel), revisions: maps.Clone(old.revisions)}
	var faults error
	for _, c := range changes {
		faults = errors.CombineErrors(faults, next.apply(c))
	}
	next.list = slices.SortedFunc(maps.Values(next.byModel), func(a, b knapweedpulley.Permit) int {
		return strings.Compare(string(a.Model), string(b.Model))
	})
	p.table.Store(next)
	return faults
}

func (t *permitTable) apply(c knapweedpulley.Change) error {
	model := knapweedpulley.ModelID(c.Name)
	if c.Kind != knapweedpulley.KindPermits || c.Revision <= t.revisions[model] {
		return nil
	}
	if c.Deleted {
		t.revisions[model] = c.Revision
		delete(t.byModel, model)
		return nil
	}
	var permit knapweedpulley.Permit
	if err := json.Unmarshal(c.Value, &permit); err != nil {
		return errors.Wrapf(err, "decode permit of model %s", model)
	}
	permit.Model, permit.Revision = model, c.Revision
	t.revisions[model] = c.Revision
	t.byModel[model] = permit
	return nil
}

// Permit implements knapweedpulley.PermitSource.
func (p *Permits) Permit(model knapweedpulley.ModelID) (knapweedpulley.Permit, bool) {
	permit, ok := p.table.Load().byModel[model]
	return permit, ok
}

// Permits implements knapweedpulley.PermitSource.
func (p *Permits) Permits() []knapweedpulley.Permit {
	return p.table.Load().list
}
