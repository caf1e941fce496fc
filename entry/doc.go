// Package entry implements the entry process, which serves callers over HTTP. It
// authenticates their requests and creates and connects the components that decide
// about them.
//
// The handlers translate between HTTP and [knapweedpulley.Request]; package
// dispatch decides what happens to a request. An [Entry] also registers with the
// other entry processes, serves them over gRPC, and serves the admin API and the
// metrics.
//
// # Usage
//
//	s, err := settings.Load[entry.Settings]("entry.json")
//	e, cleanup, err := entry.New(s, log)
//	defer cleanup()
package entry
