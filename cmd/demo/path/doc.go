// Package path tests the whole path of a request in one process: through the entry,
// the link and the agent to the stand-ins for engines and plain services. The
// requests come from the official client of the chat completions API and from
// net/http.
//
// # Usage
//
//	go test ./cmd/demo/path
package path
