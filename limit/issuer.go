package limit

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Holder names one run of a process that holds a part of an account's limit.
type Holder string

// Allotment is the part of an account's limit that one holder may spend by
// itself, until it runs out.
type Allotment struct {
	// Number rises with each allotment to one holder.
	Number uint64 `json:"number"`
	// Rate refills the holder's bucket, which holds Burst at the most, while the
	// issuer is silent for more than [StandbyTime].
	Rate  types.PerSecond `json:"rate"`
	Burst float64         `json:"burst"`
	// Tokens are added to the holder's bucket at once.
	Tokens float64 `json:"tokens,omitempty"`
	// Now is how many of the requests that wait may go at once. It is of no use
	// later than [NowTime] after it was asked for.
	Now int `json:"now,omitempty"`
	// Queue is how many requests wait at other holders.
	Queue int `json:"queue,omitempty"`
}

// Demand is what a holder tells when it asks for an allotment.
type Demand struct {
	Holder Holder `json:"holder"`
	// Rate is what callers have asked for of late, refused or not.
	Rate types.PerSecond `json:"rate"`
	// Tokens is what the holder's bucket holds.
	Tokens float64 `json:"tokens"`
	// Back is what the holder's bucket held beyond its last allotment and gives
	// back.
	Back float64 `json:"back,omitempty"`
	// Waiting is how many requests wait for the answer.
	Waiting int `json:"waiting,omitempty"`
	// Held is the newest allotment that the holder has, with Tokens, Now and Queue
	// left out.
	Held Allotment `json:"held"`
	// Left is how long Held still counts; 0 if the holder has none.
	Left time.Duration `json:"left"`
}

const (
	// AllotmentTime is how long an allotment counts, from when it was asked
	// for. It is longer than an election takes, so that holders go on while
	// there is no leader.
	AllotmentTime = 3 * time.Second
	// StandbyTime is how long an issuer may be silent before a holder refills its
	// own bucket. Until then all of the limit refills the issuer's: what
	// overflowed in a holder's bucket would be lost to the account.
	StandbyTime = 400 * time.Millisecond
	// standbyWait is when the issuer begins to count on that; it is sooner by the
	// drift allowed between two clocks.
	standbyWait = StandbyTime * 4 / 5
	// NowTime is how long a request that waits may be let go by an answer,
	// counted from when it was asked for.
	NowTime = 200 * time.Millisecond
	// allotmentWait is how long the issuer counts on an allotment; it is
	// longer by the drift allowed between two clocks.
	allotmentWait = 3600 * time.Millisecond
	// issuedShare is the part of a limit that holders may refill by themselves
	// while the issuer is silent. A new issuer can give out the rest at once,
	// since no issuer ever gave out more.
	issuedShare = 0.5
	// demandMargin is how much more than its callers ask for a holder gets, if
	// there is enough.
	demandMargin = 1.25
	// burstTime is how long a holder's bucket lasts at the rate that its
	// callers ask for, and minBurst what it holds at least.
	burstTime = 700 * time.Millisecond
	minBurst  = 2
	// minRate is the rate of a holder's callers below which it gets no bucket of
	// its own, unless there is room for one on every host: on a large fleet, what
	// lay in such buckets would be most of the limit. Each of its requests is then
	// asked for.
	minRate = 3
	// queueTime is how long a holder that has not asked again counts as having
	// requests that wait. It is longer than the pause between two renewals of one
	// that has.
	queueTime = 150 * time.Millisecond
)

// Issuer divides one account's limit among holders. Its own refill and the rates
// of those holders that may refill themselves, since they have heard nothing of
// it for a while, never exceed the limit's rate, and the sum of the bursts never
// its burst, whatever holders lose, miss or report; no window sees more than
// burst plus rate times its length.
//
// What an earlier issuer gave out is known only as far as its holders report
// it. Until the rest must have run out, holders keep what they report, and
// others get tokens from the part that no issuer ever gives out. An Issuer is
// not safe for concurrent use.
type Issuer struct {
	// Hosts is how many hosts may come to ask; 0 stands for those that have.
	Hosts int

	limit  Limit
	since  types.Mono // when this issuer began
	known  bool       // all that is out is known
	level  float64
	at     types.Mono
	out    map[Holder]*issued
	demand map[Holder]types.PerSecond
}

// issued is what one holder may have. Rate and burst are the highest of all
// allotments that the holder may still act on.
type issued struct {
	rate, burst float64
	last        Allotment
	heard       types.Mono // when the holder asked last
	until       types.Mono
	waiting     int // requests that were left waiting when it asked last
}

// NewIssuer returns an issuer that begins at now.
func NewIssuer(now types.Mono) *Issuer {
	return &Issuer{since: now, at: now, out: map[Holder]*issued{}, demand: map[Holder]types.PerSecond{}}
}

// Settle tells that everyone who may hold an allotment of an earlier issuer has
// reported it.
func (i *Issuer) Settle(now types.Mono) {
	i.refill(now)
	i.known = true
}

// Adjust brings a limit into force. Lower limits reach holders with their next
// allotments.
func (i *Issuer) Adjust(l Limit, now types.Mono) {
	if l == i.limit {
		return
	}
	i.refill(now)
	i.limit = l
	i.level = min(i.level, i.room())
}

// Renew replaces a holder's allotment.
func (i *Issuer) Renew(d Demand, now types.Mono) Allotment {
	i.expire(now)
	i.refill(now)
	h := i.holder(d, now)
	i.demand[d.Holder] = d.Rate
	if d.Held.Number == h.last.Number {
		h.rate, h.burst = float64(h.last.Rate), h.last.Burst // The holder acts on the newest one.
	}
	next := Allotment{Number: h.last.Number + 1, Rate: h.last.Rate, Burst: h.last.Burst}
	if i.settled(now) {
		next.Rate, next.Burst = i.size(d)
	}
	h.last = next
	h.rate, h.burst = max(h.rate, float64(next.Rate)), max(h.burst, next.Burst)
	h.heard, h.until = now, now.Add(allotmentWait)
	i.level = min(i.level+d.Back, i.room())
	next.Now = int(max(0, min(i.level, float64(d.Waiting))))
	i.level -= float64(next.Now)
	next.Tokens = max(0, min(i.level, next.Burst-d.Tokens))
	i.level -= next.Tokens
	h.waiting = d.Waiting - next.Now
	next.Queue = i.queue(d.Holder, now)
	return next
}

// queue returns how many requests wait at all holders but one.
func (i *Issuer) queue(than Holder, now types.Mono) int {
	n := 0
	for id, h := range i.out {
		if id != than && now.Sub(h.heard) < queueTime {
			n += h.waiting
		}
	}
	return n
}

// settled reports whether everything that is out is known.
func (i *Issuer) settled(now types.Mono) bool {
	return i.known || now.Sub(i.since) > allotmentWait
}

// holder returns what a holder may have. One that an earlier issuer gave an
// allotment to is taken at its word while nothing else is given out.
func (i *Issuer) holder(d Demand, now types.Mono) *issued {
	h := i.out[d.Holder]
	if h != nil {
		return h
	}
	h = &issued{until: now}
	if d.Left > 0 {
		h.rate, h.burst, h.last = float64(d.Held.Rate), d.Held.Burst, d.Held
	}
	i.out[d.Holder] = h
	return h
}

// size returns what a holder should have: a part of what its callers ask for,
// as far as that leaves their parts to the others. The rest stays in the
// issuer's bucket, from which a holder is refilled within a round trip.
func (i *Issuer) size(d Demand) (types.PerSecond, float64) {
	if d.Rate < minRate && issuedShare*float64(i.limit.Burst) < minBurst*float64(max(i.Hosts, len(i.out))) {
		return 0, 0
	}
	share := issuedShare * i.share(d.Holder)
	rates, bursts := i.others(d.Holder)
	rate := min(demandMargin*float64(d.Rate), share*float64(i.limit.Rate), issuedShare*float64(i.limit.Rate)-rates)
	burst := min(wantBurst(d), max(1, share*float64(i.limit.Burst)), issuedShare*float64(i.limit.Burst)-bursts)
	return types.PerSecond(max(0, rate)), max(0, burst)
}

// share returns the part of what is given out that a holder may have.
func (i *Issuer) share(of Holder) float64 {
	total := 0.0
	for h := range i.out {
		total += float64(i.demand[h])
	}
	if total <= 0 {
		return 0
	}
	return float64(i.demand[of]) / total
}

// wantBurst is what a holder's bucket should hold.
func wantBurst(d Demand) float64 { return max(minBurst, burstTime.Seconds()*float64(d.Rate)) }

// others returns what all holders but one may have.
func (i *Issuer) others(than Holder) (rates, bursts float64) {
	for id, h := range i.out {
		if id != than {
			rates += h.rate
			bursts += h.burst
		}
	}
	return rates, bursts
}

// room is how much the issuer's own bucket may hold.
func (i *Issuer) room() float64 {
	if !i.settled(i.at) {
		return (1 - issuedShare) * float64(i.limit.Burst)
	}
	_, bursts := i.others("")
	return max(0, float64(i.limit.Burst)-bursts)
}

func (i *Issuer) refill(now types.Mono) {
	if now <= i.at {
		return
	}
	refill := now.Sub(i.at).Seconds() * float64(i.limit.Rate)
	if i.settled(now) {
		for _, h := range i.out {
			refill -= h.rate * max(0, min(now, h.until).Sub(max(i.at, h.heard.Add(standbyWait))).Seconds())
		}
	} else {
		refill *= 1 - issuedShare // Holders that are not known may refill themselves.
	}
	i.level = min(i.level+max(0, refill), i.room())
	i.at = now
}

func (i *Issuer) expire(now types.Mono) {
	for id, h := range i.out {
		if now > h.until {
			delete(i.out, id)
			delete(i.demand, id)
		}
	}
}

// Return gives a holder's allotment back.
func (i *Issuer) Return(h Holder, now types.Mono) {
	i.refill(now)
	delete(i.out, h)
	delete(i.demand, h)
}
