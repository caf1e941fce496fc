package knapweedpulley

import "context"

// ClaimForwarder forwards claims to the entry process that batches them. An
// error that is not a *Refusal means that the other process gave no answer.
type ClaimForwarder interface {
	// ForwardClaim requests the claim from the given entry process.
	ForwardClaim(ctx context.Context, to Member, c Claim) (ClaimResult, error)
	// ForwardAnswer has the given entry process record the answer.
	ForwardAnswer(ctx context.Context, to Member, c Claim, a Answer) error
	// ForwardRelease has the given entry process give up the claim.
	ForwardRelease(ctx context.Context, to Member, c Claim) error
}
