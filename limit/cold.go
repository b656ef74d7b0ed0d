package limit

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// ColdBound bounds the requests that a cold target gets in any second: Over times the rate
// of its service plus Slack. An Over of 0 means 1.
type ColdBound struct {
	Over, Slack float64
}

const (
	// requestTransit is the longest time from the admission of a request to its arrival at
	// the target for which the bound holds. It covers a connection that has to be opened
	// through another host.
	requestTransit = 200 * time.Millisecond
	// coldSpread is the length of the time window in which the requests were issued that
	// arrive within one second: what is issued is admitted within [AdmitTime].
	coldSpread = time.Second + AdmitTime + requestTransit
	// silentExcess is how many requests beyond the limit all hosts together may send once
	// while the issuer does not reply, see [Issuer.PerRequest].
	silentExcess = 1
)

// Requests returns the bound for a service that warms at the given rate.
func (b ColdBound) Requests(rate types.PerSecond) float64 {
	over := b.Over
	if over <= 0 {
		over = 1
	}
	return over*float64(rate) + max(0, b.Slack)
}

// Limit returns the limit of all hosts together for a cold target. With it, no more requests
// than the bound arrive in any second if the bound is at least 3.
func (b ColdBound) Limit(rate types.PerSecond) Limit {
	room := b.Requests(rate) - silentExcess
	perSecond := min(float64(rate), (room-1)/coldSpread.Seconds())
	perSecond = max(minTargetRate, min(perSecond, maxTargetRate))
	return Limit{Rate: types.PerSecond(perSecond), Burst: max(1, int(room-perSecond*coldSpread.Seconds()))}
}

// Lowest returns the limit that satisfies both l and o.
func (l Limit) Lowest(o Limit) Limit {
	l.Rate, l.Burst = min(l.Rate, o.Rate), min(l.Burst, o.Burst)
	return l
}
