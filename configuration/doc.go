// Package configuration replicates the content of the store to every entry process
// within seconds. The number of calls to the store does not grow with the number of
// entry processes.
//
// In each zone the two entry processes with the highest rank watch the store. The
// others subscribe to a parent in a tree within their zone. If the parent is silent or
// has no fresh content, they try the next candidate, and finally watch the store
// themselves.
//
// The content of a collection is complete up to a revision of the store. Of two
// contents, the one with the higher revision therefore includes the other. Applying
// content is commutative and idempotent and never reverts to an older revision. Changes
// are sent as increments. A subscriber requests a whole collection if its [Table] lacks
// the content that an increment builds on, or has a different digest at the same
// revision.
//
// Each collection has evidence: an instant before which all writes that the store had
// accepted are part of the content. It is the time at which the request was sent that
// the store answered. A subscriber translates it to its own clock by the largest
// difference that it has seen between the time at which it sent a ping and the source's
// clock when the ping arrived. The translation can only make the content look older
// than it is.
//
// A gap in the evidence alone is no outage of the store. If a connection delivers no
// answer, the next request is sent over another one and doesn't wait for changes. Only
// if that fails as well does the store count as failing, and [Evidence] tells the owner
// since when it has answered again. An outage also precedes each epoch that the store
// begins when it comes back from an older copy of its content.
//
// # Usage
//
//	c, cleanup := configuration.New(configuration.Options{
//		Self: self, Clock: clock, Objects: objects, Peers: peers, Link: links, Log: log,
//		Directory: directory,
//		Collections: []configuration.Collection{
//			{Kind: knapweedpulley.KindCustomers, Apply: applyCustomers},
//			{Kind: knapweedpulley.KindPermits, Apply: applyPermits},
//			{Kind: knapweedpulley.KindEntries, Apply: applyEntries},
//		},
//	})
//	defer cleanup()
//	<-c.Ready()
//	fresh := c.Age() < leaseTime
package configuration
