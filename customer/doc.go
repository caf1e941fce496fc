// Package customer represents the customers: the template that operators write for each customer,
// the record that the store holds, and the directory that requests are checked against. From the
// records it decides which customer an API key belongs to, and which limits, models, adapters and
// routes the customer has.
//
// A template is JSON whose string values may refer to parameters as ${name}. A [Record] is the only
// object that the store holds for a customer, so that each change is one conditional write. A
// [Directory] compiles all records into an immutable [Snapshot]. Lookups in a snapshot take no lock
// and allocate no memory.
//
// # Usage
//
// Check a template with its parameters:
//
//	template, err := customer.Resolve(text, parameters)
//
// Keep a directory up to date and look up the customer of a key:
//
//	directory := customer.NewDirectory()
//	err := directory.Apply(changes...)
//	c, key, ok := directory.Current().Authenticate(secret)
//
// Detect that a key was withdrawn while its caller is connected:
//
//	for {
//		snapshot := directory.Current()
//		if !snapshot.KeyValid(c.ID, key) {
//			return errWithdrawn
//		}
//		<-snapshot.Superseded()
//	}
package customer
