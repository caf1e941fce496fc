// Package agent implements the process that runs beside an endpoint and sends all orders
// to its engine. It decides for the entries which requests run, wait or are
// refused, and whether an order to load or unload is executed. It decides from the engine's
// state, a ledger of the engine's memory, the request queue and the permits of the models.
// It also reports which requests may have crashed the engine, and drains the endpoint.
//
// Only the agent sends orders to the engine, which protects engines that ignore fencing
// tokens. Holding the listening port proves to an agent that its predecessor has stopped.
// The agent reads the engine's state before it sends any order, and treats memory whose
// state is unknown as occupied. It sends no load order until the lease time
// after its start has passed, because until then an order decided before its start can still
// arrive.
//
// # Usage
//
// The listener must be bound first:
//
//	listener, err := net.Listen("tcp", settings.Listen)
//	client, cleanup := engine.NewClient(settings.Engine.URL)
//	backends := agent.Backends{Engine: client}
//	a, cleanup, err := agent.New(settings, backends, machine.NewClock(), log, scope)
//	server, cleanup := link.NewAgentServer(a, a.Incarnation(), clock)
//	err = a.Drain(ctx)
package agent
