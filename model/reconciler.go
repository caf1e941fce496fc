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
	// reconcilePeriod is the time between two looks at the models.
	reconcilePeriod = time.Second
	// failurePause is the time after a failed step before the next one.
	failurePause = 5 * time.Second
)

// Reconciler takes care of the models that this entry process owns: it keeps their
// permits in line with the decisions, their replicas in line with the load and
// their checkpoints within reach.
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

// NewReconciler starts to take care of the models that this entry process owns.
// Without a prefetcher checkpoints are only fetched for requests. The clean-up stops
// it.
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

func (s *Reconciler) run(ctx context.Context) {
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.look(ctx)
		}
	}
}

// look begins a step for each model that is due.
func (s *Reconciler) look(ctx context.Context) {
	if !s.membership.Valid() {
		return
	}
	for _, d := range s.due() {
		if s.membership.Owner(string(d.Model)).Entry != s.membership.Self().Entry || !s.isDue(d) || !s.take(d.Model) {
			continue
		}
		s.steps.Go(func() {
			defer s.put(d.Model)
			s.step(ctx, d)
		})
	}
}

// due lists the decisions on models and those that follow from models that are
// decided no longer. Without any decision nothing is due: more likely than that
// all models were taken away at once, the templates aren't known yet.
func (s *Reconciler) due() []knapweedpulley.DesiredModel {
	decisions := s.decisions.DesiredModels()
	if len(decisions) == 0 {
		return nil
	}
	known := knapweedpulley.NewSet[knapweedpulley.ModelID]()
	for _, d := range decisions {
		known.Add(d.Model)
	}
	list := append([]knapweedpulley.DesiredModel(nil), decisions...)
	for _, p := range s.permits.Permits() {
		if !known.Has(p.Model) {
			list = append(list, knapweedpulley.DesiredModel{Model: p.Model})
		}
	}
	return list
}

func (s *Reconciler) isDue(d knapweedpulley.DesiredModel) bool {
	return s.placer.Due(d) || s.scaler.Due(d.Model) || (s.prefetcher != nil && s.prefetcher.Due(d.Model))
}

func (s *Reconciler) step(ctx context.Context, d knapweedpulley.DesiredModel) {
	err := s.placer.Reconcile(ctx, d)
	if err == nil {
		err = s.scaler.Step(ctx, d.Model)
	}
	if err == nil && s.prefetcher != nil {
		err = s.prefetcher.Step(ctx, d.Model)
	}
	if err != nil && ctx.Err() == nil {
		log.WithError(err).WithField("model", d.Model).Warn("model not taken care of")
		_ = machine.Pause(ctx, failurePause)
	}
}

func (s *Reconciler) take(model knapweedpulley.ModelID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy.Has(model) {
		return false
	}
	s.busy.Add(model)
	return true
}

func (s *Reconciler) put(model knapweedpulley.ModelID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy.Remove(model)
}
