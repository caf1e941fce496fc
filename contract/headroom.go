package contract

import "github.com/knapweedpulley/knapweedpulley"

// maxHeadroomMinima bounds the minima that a bucket records.
const maxHeadroomMinima = 16

// headroomMinimum is the least headroom that a bucket has had since each instant before at,
// back to the previous minimum in the list.
type headroomMinimum struct {
	at       knapweedpulley.Instant
	headroom float64
}

// headroomHistory records the least headroom that a bucket has had since any past instant. The
// headroom of a bucket is the number of tokens that it lacks to its burst. The history is a
// list of suffix minima: both instant and headroom increase along it. If the list is full, two
// neighbors are merged into one with the lesser headroom, so that the history may
// underestimate the headroom and never overestimates it.
type headroomHistory struct {
	minima [maxHeadroomMinima]headroomMinimum
	count  int
}

// record adds the headroom at an instant, which must not be earlier than the last one.
func (h *headroomHistory) record(at knapweedpulley.Instant, headroom float64) {
	for h.count > 0 && h.minima[h.count-1].headroom >= headroom {
		h.count--
	}
	if h.count == maxHeadroomMinima {
		h.mergeClosest()
	}
	h.minima[h.count] = headroomMinimum{at: at, headroom: headroom}
	h.count++
}

// mergeClosest merges the two neighbors whose headroom differs least.
func (h *headroomHistory) mergeClosest() {
	closest := 0
	for i := range h.count - 1 {
		if h.gap(i) < h.gap(closest) {
			closest = i
		}
	}
	h.minima[closest].at = h.minima[closest+1].at
	copy(h.minima[closest+1:h.count-1], h.minima[closest+2:h.count])
	h.count--
}

func (h *headroomHistory) gap(i int) float64 {
	return h.minima[i+1].headroom - h.minima[i].headroom
}

// refund rewrites the history as if n tokens had not been taken at the given instant, and
// returns how many of them the bucket would still hold.
func (h *headroomHistory) refund(taken knapweedpulley.Instant, n float64) float64 {
	for i := range h.count {
		if h.minima[i].at <= taken {
			continue
		}
		n = min(n, h.minima[i].headroom)
		h.minima[i].headroom -= n
	}
	h.removeDominated()
	return n
}

// removeDominated removes each minimum that is followed by one with no more headroom.
func (h *headroomHistory) removeDominated() {
	kept := 0
	for i := range h.count {
		for kept > 0 && h.minima[kept-1].headroom >= h.minima[i].headroom {
			kept--
		}
		h.minima[kept] = h.minima[i]
		kept++
	}
	h.count = kept
}
