package turns

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// admission bounds the reservations that one client has in progress. While the stores are too
// slow for them, the bound falls, and further reservations of first turns are refused at once, so
// that the stores have time for the turns that have begun. Turns that continue others wait for a
// reservation to end, and go before first turns: their callers rely on turns that they have got,
// and the work of targets on these would be lost. The zero value is ready for use. It is safe for
// concurrent use.
type admission struct {
	mu         sync.Mutex
	inProgress int
	// cut is by how much the bound is below maxReservations. It is between 0 and
	// maxReservations - minReservations.
	cut float64
	// cutAt is when a late reservation has last lowered the bound.
	cutAt time.Time
	// waiting are reservations of turns that continue others, oldest first. Each channel is closed
	// once its reservation is admitted. There are none unless the bound is reached.
	waiting []chan struct{}
}

const (
	// maxReservations is far more than one host has in progress while stores reply within
	// a few round trips.
	maxReservations = 64
	// minReservations are always admitted: their outcome shows whether the stores are
	// still slow.
	minReservations = 2
	// admissionDecrease is the part of the reservations in progress that the bound still allows after
	// one has taken too long. Each one in time raises the bound by one.
	admissionDecrease = 0.7
	// leastDecrease is the least part of the bound that is left then: a host with few reservations in
	// progress must not refuse the next few because of one that was late.
	leastDecrease = 0.25
	// admissionRetryAfter is the retry delay of reservations that are refused: the time in
	// which the outcome of one that was admitted is known.
	admissionRetryAfter = 500 * time.Millisecond
)

// errStoresSlow is returned for a reservation that was not sent to any store.
var errStoresSlow = types.NewFault(types.CodeOverloaded, "the stores are too slow for more turns").WithRetryAfter(admissionRetryAfter)

// begin reports whether a reservation may begin, and waits for that until ctx ends if its turn
// continues another one. If so, end must be called.
func (a *admission) begin(ctx context.Context, continues bool) bool {
	a.mu.Lock()
	if a.hasRoom() {
		a.inProgress++
		a.mu.Unlock()
		return true
	}
	if !continues {
		a.mu.Unlock()
		return false
	}
	admitted := make(chan struct{})
	a.waiting = append(a.waiting, admitted)
	a.mu.Unlock()
	select {
	case <-admitted:
		return true
	case <-ctx.Done():
		return a.leave(admitted)
	}
}

// enter records that a reservation is in progress whatever the bound is: a target has the turn. end must be called.
func (a *admission) enter() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress++
}

// leave removes a reservation from those that wait. It reports whether it was admitted before.
func (a *admission) leave(admitted chan struct{}) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiting, admitted)
	if i < 0 {
		return true
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return false
}

// hasRoom reports whether another reservation is within the bound. The caller must hold mu.
func (a *admission) hasRoom() bool { return float64(a.inProgress) < maxReservations-a.cut }

// outcome is what a reservation shows of the stores.
type outcome int

const (
	inTime  outcome = iota
	late            // the stores have not replied in time
	unknown         // nothing: the caller has left, or a majority of the shard's stores is not connected
)

// end records the outcome of a reservation that has begun at a time, and admits those that wait for
// it. Of the reservations that one stall of the stores makes late, only the first one lowers the bound:
// the others had begun before, and say nothing of how the stores bear the lower one.
func (a *admission) end(o outcome, begun time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	bound := maxReservations - a.cut
	lower := max(minReservations, bound*leastDecrease, min(bound, float64(a.inProgress))*admissionDecrease)
	a.inProgress--
	switch {
	case o == inTime:
		a.cut = max(0, a.cut-1)
	case o == late && begun.After(a.cutAt):
		a.cut = maxReservations - lower
		a.cutAt = time.Now()
	}
	for len(a.waiting) > 0 && a.hasRoom() {
		close(a.waiting[0])
		a.waiting = slices.Delete(a.waiting, 0, 1)
		a.inProgress++
	}
}

// NotSent reports whether err is the fault of a reservation that was not sent to any store,
// so that there is no claim to settle.
func NotSent(err error) bool {
	return isFault(err, errStoresSlow)
}
