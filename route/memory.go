package route

import "github.com/banyanspur/banyanspur/types"

// Memory is the use of a target's memory as far as this host knows.
type Memory struct {
	// Capacity is how many tokens the requests that run on the target may have; 0 if
	// memory does not count.
	Capacity types.Tokens
	// InFlight are the tokens of the requests of all hosts in flight at the target: their
	// prompts and the most that they may generate. Requests is their number.
	InFlight types.Tokens
	Requests int
}

// excess returns by how many tokens a target would exceed its memory with one more request;
// not above 0 if it would not. Waiting requests hold no memory, so of the requests in flight
// only as many as there are slots count, with the mean of all.
func (o *Option) excess(w *Work) float64 {
	if o.Memory.Capacity <= 0 || w.Tokens <= 0 {
		return 0
	}
	used, requests := float64(o.Memory.InFlight)+float64(w.Tokens), float64(o.Memory.Requests)+1
	if slots := float64(o.Slots); slots > 0 && requests > slots {
		used *= slots / requests
	}
	return used - float64(o.Memory.Capacity)
}

// ExceedsMemory reports whether the target would exceed its memory with one more request.
func (o *Option) ExceedsMemory(w Work) bool { return o.excess(&w) > 0 }

// leastExcess returns the index of the option that would exceed its memory the least, or -1
// if some option that is not failing would not exceed it.
func leastExcess(options []Option, w *Work) int {
	if w.Tokens <= 0 {
		return -1
	}
	best, bestExcess := -1, 0.0
	for i := range options {
		o := &options[i]
		if o.Failing {
			continue
		}
		excess := o.excess(w)
		if excess <= 0 {
			return -1
		}
		if best < 0 || excess < bestExcess {
			best, bestExcess = i, excess
		}
	}
	return best
}
