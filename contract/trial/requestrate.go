package trial

import "time"

// offTickDelay keeps the start and end of the measurement apart from the members' ticks.
const offTickDelay = 100 * time.Millisecond

// RequestRate returns the number of requests per second that each entry process sends to the
// others while no customer is charged. It must be called inside a bubble of testing/synctest.
func RequestRate(entries int) float64 {
	fleet := NewFleet(Options{Entries: entries, Seed: 1})
	defer fleet.Close()
	time.Sleep(warmUpTime + offTickDelay)
	before := fleet.PeerRequests()
	time.Sleep(faultWindow)
	return float64(fleet.PeerRequests()-before) / faultWindow.Seconds() / float64(entries)
}
