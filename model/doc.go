// Package model decides on which endpoints a model is loaded, when it is loaded, and
// when it is evicted from an engine's memory.
//
// The entry process that owns a model merges the load requests of all entry
// processes ([LoadMerger], reached through a [Router]) and has the model loaded once
// ([Loader]), on the endpoint that is expected to be ready first ([LoadPolicy]).
// Transfers from the weight store are limited across the fleet ([TransferQueue],
// reached through a [TransferRouter]). The owner also keeps the model's permit in
// the store in line with the templates ([Placer]), adds and removes replicas as
// the load changes ([Scaler]), and caches the checkpoint before the first request
// ([Prefetcher]). A [Reconciler] drives these three.
//
// At the agent, an [EvictionPolicy] decides which idle models are evicted, from the arrival
// times of each model's requests and the time that a new load would take.
//
// # Usage
//
//	loader := model.NewLoader(sources, model.NewLoadPolicy(fleet, distances, estimator), estimator, limiter)
//	merger, cleanup := model.NewLoadMerger(loader, clock)
//	defer cleanup()
//	router := model.NewRouter(members, merger, forwarder, fleet, clock)
//	endpoint, err := router.LoadModel(ctx, knapweedpulley.LoadRequest{Model: "advice", Timeout: timeout})
package model
