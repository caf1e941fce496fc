// Package endpoint holds an entry process's view of the endpoints: the models,
// adapters and routes that each offers, its load, whether its machine has ended,
// and which request contents and prompt parts are suspected of crashing engines.
//
// [Fleet] chooses the endpoint of a request from the status reports of the
// agents. The reports lag, so the load in each is corrected by the requests that
// the entry itself has sent and seen end since. The indexes are read-copy-update:
// a choice takes no lock, and its cost doesn't depend on the number of endpoints
// or adapters.
//
// [Departures] decides from the platform's list of machines and the agents'
// reports which endpoints have ended for good.
//
// [Suspects] decides which request contents run isolated because an engine
// crashed while they ran, and which are refused because they ran at a second
// crash. It also finds the prompt parts that crash engines whatever else a request
// holds: a part that ran at several crashes and was never answered since.
//
// # Usage
//
//	fleet := endpoint.NewFleet("zone-a", distances)
//	fleet.Update(status)     // for each report received on a link
//	fleet.Remove("advice-1") // when the link to its agent is down
//
//	id, ok := fleet.Choose(request, knapweedpulley.NewSet[knapweedpulley.EndpointID]())
//	if ok {
//		defer fleet.Done(request, id)
//	}
package endpoint
