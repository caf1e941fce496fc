// Package soak is a randomized fault soak. It runs gateways and keepers as separate
// processes, injects random faults, and checks what callers and endpoints observe.
//
// Fakes of the platform's store and of the endpoints run in the process of the test,
// and so do the callers. A [Proxy] in front of the store, the endpoints and the keepers
// delays, resets, silences or refuses connections, or cuts them in one direction. An
// [Injector] pauses, terminates and kills the processes by signals and restarts them. A
// seed determines the random choices. The soak signals only processes that it started,
// by their process ids.
//
// Series of faults overlap with these and with each other. In them, endpoints fall silent
// and go on, end answers with their connection, answer before they have read long bodies,
// break answers off, fail to resume streams, repeat refusals, or send without end; odd entries
// are left in the store; and processes are restarted and signaled while the configuration
// changes. Engines carry out some orders seconds later and restart meanwhile under the same id.
//
// [MergeCustomer] merges a customer into another while requests with its key wait for a model, with and
// without other faults.
//
// [StopGateway] stops a gateway of a cluster without other faults, and checks that no request is cut
// that its callers send late.
//
// [StartCold] restarts an endpoint that is cold after its start while callers send it more requests than it
// bears, pauses and kills gateways meanwhile, and checks what reaches the endpoint in any second.
//
// # Usage
//
//	go test ./faults/soak                                        # seed 1 and the regression seeds, short runs
//	KNAPWEEDPULLEY_SOAK=50 go test -timeout 60m ./faults/soak    # 50 new random seeds as well
//	KNAPWEEDPULLEY_SOAK_SEED=7 go test ./faults/soak             # repeat one seed
package soak
