package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// commit decides on the operations and writes the resulting records. It retries until the write
// succeeds or ctx ends. outcomeUnknown reports whether a failed write may have taken effect or may
// still do so.
func (b *bucket) commit(ctx context.Context, operations []*operation) (p *plan, outcomeUnknown bool, err error) {
	reloaded := false
	for ctx.Err() == nil {
		if !b.view.current {
			if b.loadView(ctx) != nil {
				_ = machine.Pause(ctx, b.settings.RetryDelay)
				continue
			}
			reloaded = true
		}
		p = newPlan(b.view, operations, time.Now(), b.settings.Retention)
		if p.mayBeStale && !reloaded {
			b.view.current = false
			continue
		}
		if len(p.changes) == 0 {
			return p, false, nil
		}
		err = b.write(ctx, p)
		switch {
		case err == nil:
			return p, false, nil
		case errors.Is(err, errBucketFull):
			return nil, outcomeUnknown, errBucketFull
		case errors.Is(err, knapweedpulley.ErrConflict):
			b.view.current = false
		default:
			outcomeUnknown = true
			b.view.current = false
			_ = machine.Pause(ctx, b.settings.RetryDelay)
		}
	}
	return nil, outcomeUnknown, errStoreUnavailable
}

// loadView reads the head and the archives that it lists into the view.
func (b *bucket) loadView(ctx context.Context) error {
	var head document
	o, err := b.store.Get(ctx, knapweedpulley.KindClaims, b.name)
	switch {
	case errors.Is(err, knapweedpulley.ErrObjectNotFound):
		o = knapweedpulley.Object{}
	case err != nil:
		return err
	default:
		if head, err = parseDocument(o.Value); err != nil {
			return err
		}
	}
	if err := b.loadArchives(ctx, head.Archives); err != nil {
		return err
	}
	b.view.setHead(o.Revision, head)
	b.view.current = true
	return nil
}

// loadArchives reads the archives that the view doesn't have. It reads them in parallel, but adds
// them to the view in order, because later records replace earlier ones.
func (b *bucket) loadArchives(ctx context.Context, archives []archive) error {
	documents := make([]document, len(archives))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, a := range archives {
		if b.view.loadedArchives.Has(a.Name) {
			continue
		}
		group.Go(func() error {
			o, err := b.store.Get(ctx, knapweedpulley.KindClaims, a.Name)
			if err != nil {
				return err
			}
			documents[i], err = parseDocument(o.Value)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, a := range archives {
		if !b.view.loadedArchives.Has(a.Name) {
			b.view.addArchive(a.Name, documents[i].Records)
		}
	}
	return nil
}

// write applies the changes of a plan in one conditional write of the head. If the records of the
// head exceed ArchiveThreshold, it first moves them to an archive. After the write it deletes the
// archives that have expired.
func (b *bucket) write(ctx context.Context, p *plan) error {
	records := b.view.head.Records
	archives, expired := splitExpired(b.view.head.Archives, p.now, b.settings.Retention)
	var newArchive *archive
	if b.view.head.size() > b.settings.ArchiveThreshold {
		a, err := b.archiveHead(ctx)
		if err != nil {
			return err
		}
		newArchive = &a
		archives = append(archives, a)
		records = nil
	}
	newHead := document{Records: mergeRecords(records, p.changes, p.now, b.settings.Retention), Archives: archives}
	value, err := newHead.encode()
	if err != nil {
		return err
	}
	revision, err := b.store.Put(ctx, knapweedpulley.KindClaims, b.name, value, b.view.revision)
	if err != nil {
		return err
	}
	if newArchive != nil {
		b.view.addArchive(newArchive.Name, b.view.head.Records)
	}
	b.view.setHead(revision, newHead)
	for _, a := range expired {
		// The head no longer lists the archive, so a failed deletion only leaves an unused object.
		_, _ = b.store.Delete(ctx, knapweedpulley.KindClaims, a.Name, a.Revision)
	}
	return nil
}

// archiveHead writes the records of the head to an archive. The name of the archive contains the
// revision of the head, so an archive that already exists under this name has the same records.
func (b *bucket) archiveHead(ctx context.Context) (archive, error) {
	a := archive{
		Name:           fmt.Sprintf("%s.%s", b.name, b.view.revision),
		UpdatedSeconds: b.view.head.latestUpdate(),
	}
	value, err := document{Records: b.view.head.Records}.encode()
	if err != nil {
		return a, err
	}
	a.Revision, err = b.store.Put(ctx, knapweedpulley.KindClaims, a.Name, value, 0)
	if !errors.Is(err, knapweedpulley.ErrConflict) {
		return a, err
	}
	o, err := b.store.Get(ctx, knapweedpulley.KindClaims, a.Name)
	a.Revision = o.Revision
	return a, err
}
