package limit

import (
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Precedence says which requests a limit admits first while it is scarce.
type Precedence int

const (
	// Repeated is the precedence of turns that continue others and were refused before: their callers
	// try only a few times.
	Repeated Precedence = iota
	// Ordinary is the precedence of requests whose refusal would lose what was spent on the
	// requests before, such as those of programs that have begun.
	Ordinary
	// Low is the precedence of requests that leave a part of the limit to others, such as the
	// first ones of programs.
	Low

	precedences // the number of precedences
)

// TurnKey identifies a turn over all attempts to send it. It is 0 for other requests.
type TurnKey uint64

// Waiter is a request that waits in a [Queue], or was admitted by it.
type Waiter struct {
	precedence Precedence
	key        TurnKey
	admitted   bool
	checked    bool // the issuer has told whether key was refused
}

// Admitted reports whether the request was admitted.
func (w *Waiter) Admitted() bool { return w.admitted }

// Queue is a holder's [Share] and the requests that wait for it. It admits requests in the order of
// their precedence, and those of one precedence in the order of their arrival. The zero value
// has no allotment. It is not safe for concurrent use.
type Queue struct {
	Share
	// waiting holds the requests by precedence, oldest first. None of them is admitted.
	waiting [precedences][]*Waiter
	// refused are the turns that were refused here, as long as the issuer has not been told.
	refused []TurnKey
}

// maxKeys is how many turns a demand or an allotment names at most, 8 B each. Further ones are named
// in the next one.
const maxKeys = 64

// Join asks for the admission of a request. It waits if the share is exhausted, or if requests
// that precede it wait already.
func (q *Queue) Join(p Precedence, key TurnKey, now types.Mono) *Waiter {
	q.CountRequest(now)
	w := &Waiter{precedence: p, key: key}
	if slices.Contains(q.refused, key) && key != 0 {
		w.precedence = Repeated
	}
	if q.ahead(w) == 0 && q.take(w.precedence, now) {
		w.admitted = true
		return w
	}
	q.waiting[w.precedence] = append(q.waiting[w.precedence], w)
	return w
}

// ahead returns the number of requests that wait before w.
func (q *Queue) ahead(w *Waiter) (n int) {
	for _, preceding := range q.waiting[:w.precedence] {
		n += len(preceding)
	}
	same := q.waiting[w.precedence]
	if i := slices.Index(same, w); i >= 0 {
		return n + i
	}
	return n + len(same)
}

// Wait estimates for how long a request will wait, see [Share.QueueWait].
func (q *Queue) Wait(w *Waiter, rate types.PerSecond) time.Duration {
	return q.QueueWait(q.ahead(w), w.precedence, rate)
}

// MaxWait returns for how long a request should wait before it is refused.
func (q *Queue) MaxWait(w *Waiter) time.Duration { return q.Share.MaxWait(w.precedence) }

// Admit admits the requests that wait, as far as the share suffices.
func (q *Queue) Admit(now types.Mono) {
	for p, waiting := range q.waiting {
		n := 0
		for n < len(waiting) && q.take(Precedence(p), now) {
			waiting[n].admitted = true
			n++
		}
		q.waiting[p] = slices.Delete(waiting, 0, n)
	}
}

// Leave ends the wait of a request. If it was admitted, its token is returned.
func (q *Queue) Leave(w *Waiter) {
	if w.admitted {
		q.ReturnToken()
		return
	}
	q.remove(w)
}

// Refuse ends the wait of a request that is refused. If it comes again to any holder, it precedes
// others.
func (q *Queue) Refuse(w *Waiter) {
	q.Leave(w)
	if w.key != 0 && !slices.Contains(q.refused, w.key) && len(q.refused) < maxRefused {
		q.refused = append(q.refused, w.key)
	}
}

func (q *Queue) remove(w *Waiter) {
	q.waiting[w.precedence] = slices.DeleteFunc(q.waiting[w.precedence], func(o *Waiter) bool { return o == w })
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() (n int) {
	for _, waiting := range q.waiting {
		n += len(waiting)
	}
	return n
}

// Demand returns the holder's next request for an allotment, see [Share.Demand].
func (q *Queue) Demand(h Holder, now types.Mono) Demand {
	d := q.Share.Demand(h, len(q.waiting[Repeated])+len(q.waiting[Ordinary]), now)
	d.Repeated, d.Low = len(q.waiting[Repeated]), len(q.waiting[Low])
	for _, w := range q.waiting[Ordinary] {
		if w.key != 0 && !w.checked && len(d.Keys) < maxKeys {
			d.Keys = append(d.Keys, w.key)
		}
	}
	d.Refused = slices.Clone(q.refused[:min(len(q.refused), maxKeys)])
	return d
}

// Apply installs an allotment as [Share.Apply] does, and admits the requests that wait. d is its
// demand.
func (q *Queue) Apply(a Allotment, d Demand, demandedAt, now types.Mono) {
	q.Share.Apply(a, demandedAt, now)
	q.refused = slices.DeleteFunc(q.refused, func(k TurnKey) bool { return slices.Contains(d.Refused, k) })
	for _, w := range slices.Clone(q.waiting[Ordinary]) {
		w.checked = w.checked || slices.Contains(d.Keys, w.key)
		if slices.Contains(a.Repeated, w.key) {
			q.remove(w)
			w.precedence = Repeated
			q.waiting[Repeated] = append(q.waiting[Repeated], w)
		}
	}
	q.Admit(now)
}

func (q *Queue) take(p Precedence, now types.Mono) bool {
	if p == Low {
		return q.TakeLow(now)
	}
	return q.Take(now)
}

// waitCounts counts waiting requests by their precedence.
type waitCounts [precedences]int

// before returns how many requests precede new ones of precedence p.
func (c waitCounts) before(p Precedence) (n int) {
	for _, count := range c[:p+1] {
		n += count
	}
	return n
}
