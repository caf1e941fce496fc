package model

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// reconcilePeriod is the time between two checks of all models.
	reconcilePeriod = time.Second
	// failurePause is the time after a failed step of a model before its next one.
	failurePause = 5 * time.Second
)

// Reconciler reconciles the models that this entry process owns: it keeps their permits
// in line with the desired models and their replicas in line with the load, and prefetches
// their checkpoints.
type Reconciler struct {
	membership knapweedpulley.Membership
	decisions  knapweedpulley.DesiredModelSource
	permits    knapweedpulley.PermitSource
	placer     *Placer
	scaler     *Scaler
	prefetcher *Prefetcher
	mu         sync.Mutex
	// busy holds the models whose last step hasn't ended.
	busy  knapweedpulley.Set[knapweedpulley.ModelID]
	steps sync.WaitGroup
}

// NewReconciler starts to reconcile the models that this entry process owns. prefetcher
// may be nil; checkpoints are then only transferred for requests. The clean-up stops the
// reconciler and waits for the steps in progress.
func NewReconciler(
	membership knapweedpulley.Membership, decisions knapweedpulley.DesiredModelSource,
	permits knapweedpulley.PermitSource, placer *Placer, scaler *Scaler, prefetcher *Prefetcher,
) (*Reconciler, knapweedpulley.Cleanup) {
	s := &Reconciler{
		membership: membership, decisions: decisions, permits: permits, placer: placer, scaler: scaler,
		prefetcher: prefetcher,
		busy:       knapweedpulley.NewSet[knapweedpulley.ModelID](),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.steps.Go(func() { s.run(ctx) })
	return s, func() {
		cancel()
		s.steps.Wait()
	}
}

func (r *Reconciler) run(ctx context.Context) {
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.startDueSteps(ctx)
		}
	}
}

// startDueSteps starts a step for each owned model that is due and has none in progress.
func (r *Reconciler) startDueSteps(ctx context.Context) {
	if !r.membership.Valid() {
		return
	}
	for _, d := range r.listModels() {
		if r.membership.Owner(string(d.Model)).Entry != r.membership.Self().Entry || !r.isDue(d) || !r.markBusy(d.Model) {
			continue
		}
		r.steps.Go(func() {
			defer r.clearBusy(d.Model)
			r.step(ctx, d)
		})
	}
}

// listModels lists the desired models and, with zero replicas, those that have a permit
// but are no longer desired. It returns nothing if no model is desired, because then it
// is more likely that the templates aren't known yet than that all models were removed at
// once.
func (r *Reconciler) listModels() []knapweedpulley.DesiredModel {
	decisions := r.decisions.DesiredModels()
	if len(decisions) == 0 {
		return nil
	}
	known := knapweedpulley.NewSet[knapweedpulley.ModelID]()
	for _, d := range decisions {
		known.Add(d.Model)
	}
	list := append([]knapweedpulley.DesiredModel(nil), decisions...)
	for _, p := range r.permits.Permits() {
		if !known.Has(p.Model) {
			list = append(list, knapweedpulley.DesiredModel{Model: p.Model})
		}
	}
	return list
}

func (r *Reconciler) isDue(d knapweedpulley.DesiredModel) bool {
	return r.placer.Due(d) || r.scaler.Due(d.Model) || (r.prefetcher != nil && r.prefetcher.Due(d.Model))
}

func (r *Reconciler) step(ctx context.Context, d knapweedpulley.DesiredModel) {
	err := r.placer.Reconcile(ctx, d)
	if err == nil {
		err = r.scaler.Step(ctx, d.Model)
	}
	if err == nil && r.prefetcher != nil {
		err = r.prefetcher.Step(ctx, d.Model)
	}
	if err != nil && ctx.Err() == nil {
		log.WithError(err).WithField("model", d.Model).Warn("reconciliation of model failed; retrying after a pause")
		_ = machine.Pause(ctx, failurePause)
	}
}

func (r *Reconciler) markBusy(model knapweedpulley.ModelID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy.Has(model) {
		return false
	}
	r.busy.Add(model)
	return true
}

func (r *Reconciler) clearBusy(model knapweedpulley.ModelID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy.Remove(model)
}
