package limit

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Holder identifies one run of a process that holds a part of an account's limit.
type Holder string

// Allotment is the part of an account's limit that one holder may spend without
// asking the issuer, until the allotment expires.
type Allotment struct {
	// Number increases with each allotment to the same holder.
	Number uint64 `json:"number"`
	// Rate is the rate at which the holder refills its own bucket while it has
	// had no reply from the issuer for [IssuerTimeout], and Burst is the
	// capacity of that bucket.
	Rate  types.PerSecond `json:"rate"`
	Burst float64         `json:"burst"`
	// SilentTokens is what a holder without a Burst may spend once it has had no
	// reply for [IssuerTimeout]; from then on it earns Rate, up to one token. It is 0
	// if the holder may spend nothing then. It differs between holders, so that they
	// do not all spend their tokens at the same time.
	SilentTokens float64 `json:"silent,omitempty"`
	// Tokens are added to the holder's bucket on receipt.
	Tokens float64 `json:"tokens,omitempty"`
	// AdmitNow is how many of the waiting requests are admitted at once, and AdmitLow
	// how many of those with low precedence. Both are valid for [AdmitTime] from the
	// time of the demand.
	AdmitNow int `json:"now,omitempty"`
	AdmitLow int `json:"low,omitempty"`
	// Scarce is set while the demand of all holders together is near the limit or above.
	// Only then does a holder keep a part of its bucket from requests with low precedence.
	Scarce bool `json:"scarce,omitempty"`
	// QueueLength is the number of requests that wait at other holders, QueueRepeated how many of them are
	// [Repeated], and QueueLow how many are [Low]. Issuers of earlier builds name only the first.
	QueueLength   int `json:"queue,omitempty"`
	QueueRepeated int `json:"queueRepeated,omitempty"`
	QueueLow      int `json:"queueLow,omitempty"`
	// Repeated are those of [Demand.Keys] that were refused before.
	Repeated []TurnKey `json:"repeated,omitempty"`
}

// Demand is a holder's request for an allotment, with its current state.
type Demand struct {
	Holder Holder `json:"holder"`
	// Rate is the recent rate of requests from callers, including refused ones.
	Rate types.PerSecond `json:"rate"`
	// Tokens is the level of the holder's bucket.
	Tokens float64 `json:"tokens"`
	// Returned is the number of tokens that overflowed the holder's bucket and
	// are returned to the issuer.
	Returned float64 `json:"back,omitempty"`
	// Waiting is the number of requests that wait for the allotment. Low is the
	// number of further ones that have low precedence: while the limit is scarce, the
	// issuer keeps a part of its bucket for the others.
	Waiting int `json:"waiting,omitempty"`
	Low     int `json:"low,omitempty"`
	// Repeated is how many of Waiting are known to be [Repeated]. Keys are others of them of which that is
	// not known. Refused are turns that the holder has refused since.
	Repeated int       `json:"repeated,omitempty"`
	Keys     []TurnKey `json:"keys,omitempty"`
	Refused  []TurnKey `json:"refused,omitempty"`
	// Held is the newest allotment that the holder has received, without
	// what is meant for the requests that were waiting.
	Held Allotment `json:"held"`
	// TimeLeft is the time until Held expires; 0 if the holder has none.
	TimeLeft time.Duration `json:"left"`
	// Release is set if the holder gives Held back instead of renewing it.
	Release bool `json:"release,omitempty"`
}

const (
	// AllotmentTime is the lifetime of an allotment, counted from its demand. It
	// is longer than an election takes, so that holders continue to admit
	// requests while there is no leader.
	AllotmentTime = 3 * time.Second
	// IssuerTimeout is how long a holder waits without a reply from the issuer
	// before it refills its own bucket. Until then the whole rate refills the
	// issuer's bucket: tokens that overflow a holder's bucket would be lost to
	// the account.
	IssuerTimeout = 400 * time.Millisecond
	// minIssuerTimeout is the time since a holder's demand after which the issuer
	// assumes that the holder refills its own bucket. It is shorter than
	// [IssuerTimeout] by the allowed drift between two clocks.
	minIssuerTimeout = IssuerTimeout * 4 / 5
	// AdmitTime is how long [Allotment.AdmitNow] is valid, counted from the time of
	// the demand.
	AdmitTime = 200 * time.Millisecond
	// maxAllotmentTime is how long the issuer assumes that a holder uses an
	// allotment. It is longer than [AllotmentTime] by the allowed drift between two
	// clocks.
	maxAllotmentTime = 3600 * time.Millisecond
	// allottedShare is the fraction of a limit's rate and burst that is allotted
	// to the holders' own buckets. A new issuer can use the rest at once, since no
	// issuer ever allots more.
	allottedShare = 0.5
	// demandMargin is the ratio of a holder's allotted rate to its demand, if the
	// limit suffices.
	demandMargin = 1.25
	// burstDuration and minBurst determine the capacity of a holder's bucket: it
	// should last for burstDuration at the rate of the holder's demand, and hold
	// at least minBurst tokens.
	burstDuration = 700 * time.Millisecond
	minBurst      = 2
	// minRate is the rate of demand below which a holder gets no bucket of its
	// own, unless the allotted share of the burst suffices for a bucket on every
	// host: in a large fleet, the unused tokens in such buckets would be most of
	// the limit. A holder without a bucket sends a demand for each request.
	minRate = 3
	// scarceDemand is the ratio of the demand to the limit above which the limit counts as
	// scarce. It is below 1 since the measured demand follows a rising one by a second.
	scarceDemand = 0.5
	// lowReserve is the part of a bucket, the issuer's or a holder's, that requests with
	// low precedence cannot use while the limit is scarce.
	lowReserve = 0.5
	// queueReportTime is how long a holder's reported number of waiting requests
	// counts. It is longer than the interval between renewals of a holder with
	// waiting requests.
	queueReportTime = 150 * time.Millisecond
)

// Issuer divides one account's limit among holders. In any time window, at most
// burst plus rate times the length of the window is spent, even if replies are
// lost, holders restart or fail to report: the refill of the issuer's own bucket
// plus the rates of the holders that may refill theirs, because they have had no
// reply for [IssuerTimeout], never exceeds the limit's rate, and the sum of the
// bursts never exceeds its burst.
//
// The allotments of an earlier issuer are known only from the reports of their
// holders. Until all others must have expired, holders keep the allotments that
// they report, and other holders get tokens from the part of the limit that no
// issuer ever allots. An Issuer is not safe for concurrent use.
type Issuer struct {
	// HostCount is the number of hosts that may send demands. If it is less than the
	// number of holders with an unexpired allotment, that number is used instead.
	HostCount int
	// PerRequest makes holders ask for each request. They have no buckets of their
	// own, but a part of the limit for the time in which the issuer does not reply.
	// In that time, and while the allotments of an earlier issuer are not known, up to
	// one request more than the limit allows may be sent by all holders together. The
	// limit always counts as scarce.
	PerRequest bool

	limit       Limit
	startedAt   types.Mono // when this issuer was created
	allReported bool       // all allotments of earlier issuers are known
	level       float64    // of the issuer's own bucket, at updatedAt
	updatedAt   types.Mono
	outstanding map[Holder]*outstandingAllotment
	demandRate  map[Holder]types.PerSecond
	refused     refusedTurns
}

// outstandingAllotment is the state of one holder as known to the issuer. rate
// and burst are the maxima over all allotments that the holder may still use.
type outstandingAllotment struct {
	rate, burst float64
	last        Allotment
	renewedAt   types.Mono // time of the newest demand
	expiresAt   types.Mono
	waiting     waitCounts // after the newest allotment
}

// NewIssuer returns an issuer without a limit, created at now.
func NewIssuer(now types.Mono) *Issuer {
	return &Issuer{startedAt: now, updatedAt: now, outstanding: map[Holder]*outstandingAllotment{}, demandRate: map[Holder]types.PerSecond{}}
}

// MarkAllReported declares that every holder that may have an allotment of an
// earlier issuer has reported it.
func (i *Issuer) MarkAllReported(now types.Mono) {
	i.refill(now)
	i.allReported = true
}

// SetLimit sets the limit. A lower limit takes effect at holders with their next
// allotments.
func (i *Issuer) SetLimit(l Limit, now types.Mono) {
	if l == i.limit {
		return
	}
	i.refill(now)
	i.limit = l
	i.level = min(i.level, i.capacity())
}

// Renew returns a new allotment that replaces the holder's current one.
func (i *Issuer) Renew(d Demand, now types.Mono) Allotment {
	i.expire(now)
	i.refill(now)
	h := i.holderState(d, now)
	i.demandRate[d.Holder] = d.Rate
	if d.Held.Number == h.last.Number {
		h.rate, h.burst = float64(h.last.Rate), h.last.Burst // The holder uses the newest allotment.
	}
	next := Allotment{Number: h.last.Number + 1, Rate: h.last.Rate, Burst: h.last.Burst, SilentTokens: h.last.SilentTokens, Scarce: i.scarce()}
	switch {
	case !i.outstandingKnown(now): // The holder keeps what it has.
	case i.PerRequest:
		next.Rate, next.SilentTokens = i.silentShare(d.Holder)
	default:
		next.Rate, next.Burst = i.allotmentSize(d)
	}
	h.last = next
	h.rate, h.burst = max(h.rate, float64(next.Rate)), max(h.burst, next.Burst)
	h.renewedAt, h.expiresAt = now, now.Add(maxAllotmentTime)
	i.level = min(i.level+d.Returned, i.capacity())
	i.refused.add(d.Refused, now)
	next.Repeated = i.refused.among(d.Keys, now)
	others := i.waitingAt(d.Holder, now)
	next.QueueLength, next.QueueRepeated, next.QueueLow = others.before(Low), others[Repeated], others[Low]
	repeated := min(d.Repeated+len(next.Repeated), d.Waiting)
	h.waiting = waitCounts{Repeated: repeated, Ordinary: d.Waiting - repeated, Low: d.Low}
	next.AdmitNow = i.admit(h, Repeated, 0)
	next.AdmitNow += i.admit(h, Ordinary, float64(others[Repeated]))
	reserve := 0.0 // Kept for requests without low precedence, also those that may come.
	if next.Scarce {
		reserve = max(i.reserve(), float64(others.before(Ordinary)+h.waiting.before(Ordinary)))
	}
	next.AdmitLow = i.admit(h, Low, reserve)
	if others[Low]+h.waiting[Low] == 0 {
		reserve = float64(others.before(Ordinary)) // No bucket is drained by requests with low precedence.
	}
	next.Tokens = max(0, min(i.level-reserve, next.Burst-d.Tokens))
	i.level -= next.Tokens
	return next
}

// admit admits requests of a holder that wait, as far as the bucket has more than reserve.
func (i *Issuer) admit(h *outstandingAllotment, p Precedence, reserve float64) int {
	n := int(max(0, min(i.level-reserve, float64(h.waiting[p]))))
	h.waiting[p] -= n
	i.level -= float64(n)
	return n
}

// waitingAt returns the numbers of requests that wait at all holders but one.
func (i *Issuer) waitingAt(except Holder, now types.Mono) (sum waitCounts) {
	for id, h := range i.outstanding {
		if id == except || now.Sub(h.renewedAt) >= queueReportTime {
			continue
		}
		for p, n := range h.waiting {
			sum[p] += n
		}
	}
	return sum
}

// scarce reports whether requests with high precedence need a reserve. Without need it only
// delays the others: the bucket of an issuer that has just started is empty, and takes
// seconds to fill.
func (i *Issuer) scarce() bool { return i.PerRequest || i.totalDemand() > scarceDemand*i.limit.Rate }

// totalDemand returns the sum of the rates that the holders ask for.
func (i *Issuer) totalDemand() (total types.PerSecond) {
	for h := range i.outstanding {
		total += i.demandRate[h]
	}
	return total
}

// reserve is the level of the issuer's bucket that it keeps from requests with low
// precedence, such that a full bucket admits at least one.
func (i *Issuer) reserve() float64 { return max(0, (i.capacity()-1)*lowReserve) }

// outstandingKnown reports whether the issuer knows all unexpired allotments:
// those of earlier issuers have been reported or must have expired.
func (i *Issuer) outstandingKnown(now types.Mono) bool {
	return i.allReported || now.Sub(i.startedAt) > maxAllotmentTime
}

// holderState returns the state of a holder and creates it if there is none. An
// allotment of an earlier issuer is accepted as the holder reports it: until all
// are known, Renew allots no other rates or bursts.
func (i *Issuer) holderState(d Demand, now types.Mono) *outstandingAllotment {
	h := i.outstanding[d.Holder]
	if h != nil {
		return h
	}
	h = &outstandingAllotment{expiresAt: now}
	if d.TimeLeft > 0 {
		h.rate, h.burst, h.last = float64(d.Held.Rate), d.Held.Burst, d.Held
	}
	i.outstanding[d.Holder] = h
	return h
}

// allotmentSize returns the rate and burst for a holder, which follow its demand,
// limited to its share of the total demand and to what the other holders leave.
// The rest stays in the issuer's bucket, from which a holder gets tokens within a
// round trip.
func (i *Issuer) allotmentSize(d Demand) (types.PerSecond, float64) {
	if d.Rate < minRate && allottedShare*float64(i.limit.Burst) < minBurst*float64(max(i.HostCount, len(i.outstanding))) {
		return 0, 0
	}
	share := allottedShare * i.demandShare(d.Holder)
	rates, bursts := i.sumOthers(d.Holder)
	rate := min(demandMargin*float64(d.Rate), share*float64(i.limit.Rate), allottedShare*float64(i.limit.Rate)-rates)
	burst := min(targetBurst(d), max(1, share*float64(i.limit.Burst)), allottedShare*float64(i.limit.Burst)-bursts)
	return types.PerSecond(max(0, rate)), max(0, burst)
}

// silentShare returns the rate of a holder without a bucket and its tokens at the
// moment at which the issuer falls silent. If all holders notice the silence at the same
// time, they spend at most one token more than the sum of their rates.
func (i *Issuer) silentShare(of Holder) (rate types.PerSecond, tokens float64) {
	holders := float64(max(i.HostCount, len(i.outstanding)))
	rates, _ := i.sumOthers(of)
	rate = types.PerSecond(max(0, min(allottedShare*float64(i.limit.Rate)/holders, allottedShare*float64(i.limit.Rate)-rates)))
	rank := 1
	for h := range i.outstanding {
		if h < of {
			rank++
		}
	}
	return rate, float64(rank) / holders
}

// demandShare returns a holder's fraction of the total demand.
func (i *Issuer) demandShare(of Holder) float64 {
	total := i.totalDemand()
	if total <= 0 {
		return 0
	}
	return float64(i.demandRate[of] / total)
}

// targetBurst returns the desired capacity of a holder's bucket.
func targetBurst(d Demand) float64 { return max(minBurst, burstDuration.Seconds()*float64(d.Rate)) }

// sumOthers returns the total rate and burst of all holders but one.
func (i *Issuer) sumOthers(except Holder) (rates, bursts float64) {
	for id, h := range i.outstanding {
		if id != except {
			rates += h.rate
			bursts += h.burst
		}
	}
	return rates, bursts
}

// capacity returns the capacity of the issuer's own bucket.
func (i *Issuer) capacity() float64 {
	if !i.outstandingKnown(i.updatedAt) {
		capacity := (1 - allottedShare) * float64(i.limit.Burst)
		if i.PerRequest {
			capacity = max(1, capacity)
		}
		return capacity
	}
	_, bursts := i.sumOthers("")
	return max(0, float64(i.limit.Burst)-bursts)
}

func (i *Issuer) refill(now types.Mono) {
	if now <= i.updatedAt {
		return
	}
	refill := now.Sub(i.updatedAt).Seconds() * float64(i.limit.Rate)
	if i.outstandingKnown(now) {
		for _, h := range i.outstanding {
			refill -= h.rate * max(0, min(now, h.expiresAt).Sub(max(i.updatedAt, h.renewedAt.Add(minIssuerTimeout))).Seconds())
		}
	} else {
		refill *= 1 - allottedShare // Unknown holders may be refilling their own buckets.
	}
	i.level = min(i.level+max(0, refill), i.capacity())
	i.updatedAt = now
}

func (i *Issuer) expire(now types.Mono) {
	for id, h := range i.outstanding {
		if now > h.expiresAt {
			delete(i.outstanding, id)
			delete(i.demandRate, id)
		}
	}
}

// Release returns the allotment that a holder gives back, unless the issuer has renewed
// it since.
func (i *Issuer) Release(d Demand, now types.Mono) {
	if h := i.outstanding[d.Holder]; h != nil && h.last.Number == d.Held.Number {
		i.Return(d.Holder, now)
	}
}

// Return releases a holder's allotment before it expires.
func (i *Issuer) Return(h Holder, now types.Mono) {
	i.refill(now)
	delete(i.outstanding, h)
	delete(i.demandRate, h)
}
