// Package fleet starts a complete deployment as separate processes on the
// loopback interface: stand-ins for the platform, stand-ins for engines and plain
// services, one agent for each of these, and entries. The demo, the fault tests
// and the benchmarks send requests to such a fleet and signals to its processes.
//
// # Usage
//
//	deployment, err := fleet.LoadDeployment("_fixtures/gasesIturralde.json")
//	f, cleanup, err := fleet.Start(ctx, fleet.Options{
//		Binaries: ".build", Deployment: deployment.Scaled(3), Entries: 2,
//	})
//	defer cleanup()
//	caller := f.Customers()[0]
package fleet
