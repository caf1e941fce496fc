package knapweedpulley

import (
	"context"
	"time"
)

// TransferKind is the kind of a transfer from the weight store.
type TransferKind string

// Kinds of transfers.
const (
	TransferModel   TransferKind = "model"
	TransferAdapter TransferKind = "adapter"
)

// TransferRequest requests a transfer from the weight store. Entry, Model and
// Adapter identify it, so that a repeated request keeps its place in the queue.
type TransferRequest struct {
	Kind     TransferKind
	Entry    EntryID
	Model    ModelID
	Adapter  AdapterID
	Customer CustomerID
	// Timeout is the time that the longest waiting request has left.
	Timeout time.Duration
	// Duration is how long the transfer is expected to take.
	Duration time.Duration
	// Background is set if no request waits for the transfer.
	Background bool
}

// TransferLimiter limits the transfers of the whole fleet to what the weight store
// allows.
type TransferLimiter interface {
	// Acquire returns whether the transfer may begin. It waits for a short time; if it
	// returns false, the caller calls it again. A *Refusal means that the transfer
	// can't be done in time.
	Acquire(ctx context.Context, t TransferRequest) (bool, error)
	// Done records that the transfer has ended or is no longer needed.
	Done(ctx context.Context, t TransferRequest) error
}

// TransferForwarder forwards requests to the entry process that limits transfers.
type TransferForwarder interface {
	// ForwardAcquire asks the given entry process. An error that is not a *Refusal
	// means that no answer arrived.
	ForwardAcquire(ctx context.Context, to Member, t TransferRequest) (bool, error)
	// ForwardDone notifies the given entry process that the transfer has ended.
	ForwardDone(ctx context.Context, to Member, t TransferRequest) error
}
