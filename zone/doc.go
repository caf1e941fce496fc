// Package zone represents availability zones and the distances between them.
//
// # Usage
//
//	distances := zone.NewDistances([]zone.Distance{{From: "a", To: "b", RoundTrip: time.Millisecond}})
//	order := distances.Nearest("a", []knapweedpulley.ZoneID{"c", "a", "b"})
package zone
