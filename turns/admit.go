package turns

import (
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// admission bounds the reservations that one client has in progress. While the stores are too
// slow for them, the bound falls, and further reservations are refused at once, so that the
// stores have time for the turns that have begun. The zero value is ready for use. It is safe
// for concurrent use.
type admission struct {
	mu         sync.Mutex
	inProgress int
	// cut is by how much the bound is below maxReservations. It is between 0 and
	// maxReservations - minReservations.
	cut float64
}

const (
	// maxReservations is far more than one host has in progress while stores reply within
	// a few round trips.
	maxReservations = 64
	// minReservations are always admitted: their outcome shows whether the stores are
	// still slow.
	minReservations = 2
	// admissionDecrease is the part of the bound that is left after a reservation that has
	// taken too long. Each one in time raises the bound by one.
	admissionDecrease = 0.7
	// admissionRetryAfter is the retry delay of reservations that are refused: the time in
	// which the outcome of one that was admitted is known.
	admissionRetryAfter = 500 * time.Millisecond
)

// errStoresSlow is returned for a reservation that was not sent to any store.
var errStoresSlow = types.NewFault(types.CodeOverloaded, "the stores are too slow for more turns").WithRetryAfter(admissionRetryAfter)

// begin reports whether a reservation may begin. If so, end must be called.
func (a *admission) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if float64(a.inProgress) >= maxReservations-a.cut {
		return false
	}
	a.inProgress++
	return true
}

// outcome is what a reservation shows of the stores.
type outcome int

const (
	inTime  outcome = iota
	late            // the stores have not replied in time
	unknown         // nothing: the caller has left, or a majority of the shard's stores is not connected
)

// end records the outcome of a reservation.
func (a *admission) end(o outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress--
	switch o {
	case unknown:
		return
	case inTime:
		a.cut = max(0, a.cut-1)
		return
	}
	a.cut = maxReservations - max(minReservations, (maxReservations-a.cut)*admissionDecrease)
}

// NotSent reports whether err is the fault of a reservation that was not sent to any store,
// so that there is no claim to settle.
func NotSent(err error) bool {
	fault := types.AsFault(err)
	return err != nil && fault.Code == errStoresSlow.Code && fault.Message == errStoresSlow.Message
}
