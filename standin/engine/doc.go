// Package engine simulates a model engine. It takes the time to load models and adapters
// without loading anything, responds to chat completions with a text that the caller can
// check, and crashes on demand.
//
// # Usage
//
//	e, cleanup := engine.NewEngine(engine.DefaultSettings(), nil)
//	defer cleanup()
//	server := httptest.NewServer(engine.NewHandler(e, fault.NewInjector()))
//
// A caller compares the text of a completion with [Answer]. A prompt with
// [CrashMarker] crashes the engine.
package engine
