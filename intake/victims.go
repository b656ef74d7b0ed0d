package intake

import (
	"cmp"
	"slices"
	"time"
)

// candidates are the holders that may be evicted.
type candidates struct {
	slow, large, silent, idle []*Holder
	smallBytes                int64 // of silent and idle
	alone                     bool  // no other holder is large
}

// candidates returns the holders that may be evicted for h: the peers of large incomplete
// requests that are slow, and those that are not, the largest first; the peers of small ones that
// are slow and idle connections, the oldest first. It must be called with mu held.
func (b *Budget) candidates(h *Holder) candidates {
	now := time.Now()
	c := candidates{alone: true}
	for o := range b.holders {
		c.alone = c.alone && (o == h || o.evicted || o.held <= smallBytes)
		switch slow := o.isSlow(now); {
		case o == h, o.evicted, o.phase == Working, o.waiting:
		case o.phase == Idle:
			c.smallBytes += o.held
			if now.Sub(o.since) >= stallTime {
				c.idle = append(c.idle, o)
			}
		case o.held > smallBytes && slow:
			c.slow = append(c.slow, o)
		case o.held > smallBytes:
			c.large = append(c.large, o)
		case slow:
			c.smallBytes += o.held
			c.silent = append(c.silent, o)
		}
	}
	mostFirst := func(a, b *Holder) int { return cmp.Compare(b.held, a.held) }
	oldestFirst := func(a, b *Holder) int { return a.since.Compare(b.since) }
	slices.SortFunc(c.slow, mostFirst)
	slices.SortFunc(c.large, mostFirst)
	slices.SortFunc(c.silent, oldestFirst)
	slices.SortFunc(c.idle, oldestFirst)
	return c
}

// victims returns the holders that are to be evicted so that h may have n bytes, which exceed what
// there is. Large requests that are slow come first. Then, if h stays small, come other large ones,
// since a process that is late itself takes the peers of small ones for slow; and then small
// ones and idle connections, if h stays small, no other holder is large, or they have as much as the
// reserve: a crowd of large requests must not close them. ok is false if all of them are not
// enough. It must be called with mu held.
func (b *Budget) victims(h *Holder, n, excess int64) (victims []*Holder, ok bool) {
	c := b.candidates(h)
	small := h.held+n <= smallBytes
	lists := [][]*Holder{c.slow}
	if small && b.used-b.leaving+n > b.limit { // Not for what the account must leave to others.
		lists = append(lists, c.large)
	}
	if small || c.alone || c.smallBytes > b.limit/reserveShare {
		lists = append(lists, c.silent, c.idle)
	}
	for _, list := range lists {
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
