package intake

import (
	"cmp"
	"slices"
	"time"
)

// victims returns the holders that are to be evicted so that h may have n bytes, which exceed what
// there is: first peers that are slow, those that hold most first; then, if h stays small, the
// largest incomplete requests beyond smallBytes; then the connections that have been idle for the
// longest time, if h stays small, idle ones have as much as the reserve, or no other holder is large:
// a crowd of large requests must not close them. ok is false if all of them are not enough. It must
// be called with mu held.
func (b *Budget) victims(h *Holder, n, excess int64) (victims []*Holder, ok bool) {
	now := time.Now()
	var slow, large, idle []*Holder
	var idleBytes int64
	alone := true // No other holder is large.
	for o := range b.holders {
		alone = alone && (o == h || o.evicted || o.held <= smallBytes)
		switch {
		case o == h, o.evicted, o.phase == Working, o.waiting:
		case o.phase == Idle:
			idleBytes += o.held
			if now.Sub(o.since) >= stallTime {
				idle = append(idle, o)
			}
		case o.isSlow(now):
			slow = append(slow, o)
		case o.held > smallBytes:
			large = append(large, o)
		}
	}
	small := h.held+n <= smallBytes
	if !small {
		large = nil
	}
	if !small && !alone && idleBytes <= b.limit/reserveShare {
		idle = nil
	}
	mostFirst := func(a, b *Holder) int { return cmp.Compare(b.held, a.held) }
	slices.SortFunc(slow, mostFirst)
	slices.SortFunc(large, mostFirst)
	slices.SortFunc(idle, func(a, b *Holder) int { return a.since.Compare(b.since) })
	for _, list := range [][]*Holder{slow, large, idle} {
		for _, v := range list {
			victims = append(victims, v)
			excess -= v.held
			if !small && v.account == h.account {
				excess -= v.largeBytes() // The account may have that much more.
			}
			if excess <= 0 {
				return victims, true
			}
		}
	}
	return nil, false
}

// isSlow reports whether the peer of an incomplete request is slow.
func (h *Holder) isSlow(now time.Time) bool {
	age := now.Sub(h.since)
	return now.Sub(h.progressAt) >= stallTime || age >= stallTime && float64(h.received) < minRate*age.Seconds()
}
