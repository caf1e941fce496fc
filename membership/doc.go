// Package membership determines which entry processes are registered, and whether the
// process itself holds a valid lease and may act.
//
// An entry process registers in the store's collection of entries. It may act while its
// lease is valid: while its evidence of the configuration is at most [LeaseTime] old, or,
// while no process can reach the store, while a majority of the registered processes
// confirm that they know of no eviction of it. All times are read from the boot-time
// clock of a single machine and count from the sending of the request whose answer is the
// evidence.
//
// A process that answers no other is evicted. Its object is marked; enough others
// acknowledge the mark that no majority can confirm its lease any more; and once the
// lease has expired, the object is removed. A process whose object was removed has
// certainly ended or knows that it must not act.
//
// # Usage
//
// The process listens on its port before it registers, and keeps the port open until it
// ends:
//
//	members, cleanup, err := membership.Register(ctx, membership.Options{
//		Clock:    clock,
//		Evidence: configuration,
//		Store:    objects,
//		Machines: machines,
//		Link:     heartbeats,
//		Self:     self,
//	})
//	if err != nil {
//		return err
//	}
//	defer cleanup()
//	select {
//	case <-members.Ended():
//		// The process was evicted. It has to restart with a new incarnation.
//	}
//
// An entry process without others, as in tests, needs no heartbeats:
//
//	members := membership.NewSingle(self)
package membership
