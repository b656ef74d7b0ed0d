package limit

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Share is a holder's part of the limit of one account or target: a token bucket that is sized
// and filled by the newest allotment. The zero value has no allotment. It is not
// safe for concurrent use.
type Share struct {
	allotment  Allotment
	repliedAt  types.Mono // time of the issuer's newest reply
	expiresAt  types.Mono
	level      float64 // 0 <= level <= capacity()
	updatedAt  types.Mono
	returning  float64 // tokens to return with the next demand
	admitNow   int     // requests admitted at once, until admitUntil
	admitLow   int     // the same with low precedence
	admitUntil types.Mono

	requests      float64    // since rateUpdatedAt
	rateUpdatedAt types.Mono // when rate was last updated
	rate          float64    // moving average of requests per second
	lastRequestAt types.Mono // time of the newest request
}

const (
	// maxWait is how long a request of a program that has begun should wait for its
	// account's limit. A refusal could end the program, and all that was spent on it
	// would be lost.
	maxWait = 600 * time.Millisecond
	// maxRepeatedWait is how long a turn that was refused before should wait. Its caller has few tries left.
	maxRepeatedWait = 1200 * time.Millisecond
	// maxLowWait is how long the first request of a program should wait while the limit
	// is scarce. If it is refused, nothing is lost, and the programs that have begun
	// keep what is left.
	maxLowWait = 100 * time.Millisecond
)

const (
	// rateWindow is the time over which the rate of requests is averaged.
	rateWindow = time.Second
	// rateUpdateInterval is the shortest time whose requests count as a rate. Demands of a holder whose
	// requests wait follow each other within a few milliseconds.
	rateUpdateInterval = rateWindow / 10
)

// Apply installs an allotment whose demand was made at demandedAt. While the
// current allotment is valid, one with a number that is not higher is ignored.
func (s *Share) Apply(a Allotment, demandedAt, now types.Mono) {
	if a.Number <= s.allotment.Number && s.TimeLeft(now) > 0 {
		return
	}
	s.refill(now)
	if s.allotment.SilentTokens > 0 {
		s.level = 0 // Tokens of the silence that this reply ends.
	}
	s.allotment, s.repliedAt = a, now
	s.expiresAt = demandedAt.Add(AllotmentTime)
	s.level += a.Tokens
	if overflow := s.level - a.Burst; overflow > 0 {
		s.level = a.Burst
		s.returning += overflow
	}
	s.admitNow, s.admitLow, s.admitUntil = a.AdmitNow, a.AdmitLow, demandedAt.Add(AdmitTime)
}

// MaxWait is how long a request should wait for its account's limit before it is refused.
func (s *Share) MaxWait(p Precedence) time.Duration {
	if p == Repeated {
		return maxRepeatedWait
	}
	if p == Low && s.allotment.Scarce {
		return maxLowWait
	}
	return maxWait
}

// Scarce reports whether the demand of all holders is near the limit or above, as far as this holder knows.
func (s *Share) Scarce(now types.Mono) bool { return s.allotment.Scarce && s.TimeLeft(now) > 0 }

// TakeLow is Take for a request with low precedence, which leaves what was admitted for
// others, and while the limit is scarce a part of the bucket, to them.
func (s *Share) TakeLow(now types.Mono) bool {
	if s.admitLow > 0 && now < s.admitUntil {
		s.admitLow--
		return true
	}
	reserve := 0.0
	if s.allotment.Scarce {
		reserve = max(0, (s.allotment.Burst-1)*lowReserve)
	}
	return s.takeToken(now, reserve)
}

// Take admits one request, by AdmitNow of the newest allotment or with a token of
// the bucket, and reports whether it could.
func (s *Share) Take(now types.Mono) bool {
	if s.admitNow > 0 && now < s.admitUntil {
		s.admitNow--
		return true
	}
	return s.takeToken(now, 0)
}

// takeToken admits one request with a token of the bucket, unless that would leave less
// than reserve.
func (s *Share) takeToken(now types.Mono, reserve float64) bool {
	s.refill(now)
	if s.TimeLeft(now) <= 0 || s.level < 1+reserve {
		return false
	}
	s.level--
	return true
}

// NeedsRenewal reports whether the bucket's level is so low that the allotment
// should be renewed early. It is false for a share without a bucket.
func (s *Share) NeedsRenewal(now types.Mono) bool {
	s.refill(now)
	return s.level < renewThreshold*s.allotment.Burst
}

// MustReport reports whether a new issuer must learn of this share: its allotment
// is valid and has a bucket, or there are tokens to return.
func (s *Share) MustReport(now types.Mono) bool {
	return s.TimeLeft(now) > 0 && (s.allotment.Rate > 0 || s.allotment.Burst > 0 || s.returning > 0)
}

// QueueWait estimates how long a request has to wait behind the requests at other
// holders that precede it, as last reported by the issuer, and behind ahead requests at this
// holder, if the account's limit has the given rate. It returns [Never] if the rate is 0.
func (s *Share) QueueWait(ahead int, p Precedence, rate types.PerSecond) time.Duration {
	if rate <= 0 {
		return Never
	}
	switch p {
	case Repeated:
		ahead += s.allotment.QueueRepeated
	case Ordinary:
		ahead += s.allotment.QueueLength - s.allotment.QueueLow
	default:
		ahead += s.allotment.QueueLength
	}
	return time.Duration(float64(ahead+1) / float64(rate) * float64(time.Second))
}

// renewThreshold is the fraction of a bucket's capacity below which the allotment
// is renewed early.
const renewThreshold = 0.5

// CountRequest counts an incoming request, whether it is admitted or not.
func (s *Share) CountRequest(now types.Mono) {
	s.requests++
	s.lastRequestAt = now
}

// ReturnToken returns the token of an admitted request that reached no target.
// Tokens that overflow the bucket are returned to the issuer with the next demand.
func (s *Share) ReturnToken() {
	s.level++
	if overflow := s.level - s.allotment.Burst; overflow > 0 {
		s.level -= overflow
		s.returning += overflow
	}
}

// Wait returns the time until the bucket has a token if it is refilled from now
// on. It returns [Never] if the holder has no valid allotment with a bucket.
func (s *Share) Wait(now types.Mono) time.Duration {
	s.refill(now)
	if s.TimeLeft(now) <= 0 || s.allotment.Rate <= 0 || s.capacity() < 1 {
		return Never
	}
	return time.Duration(max(0, 1-s.level) / float64(s.allotment.Rate) * float64(time.Second))
}

// WaitWithoutIssuer returns the time until the bucket has a token if the issuer
// does not reply. It returns [Never] if the holder does not refill its own bucket.
func (s *Share) WaitWithoutIssuer(now types.Mono) time.Duration {
	wait := s.Wait(now)
	if wait == Never {
		return Never
	}
	return max(0, s.repliedAt.Add(IssuerTimeout).Sub(now)) + wait
}

// TimeLeft returns the time until the allotment expires; 0 if there is none.
func (s *Share) TimeLeft(now types.Mono) time.Duration { return max(0, s.expiresAt.Sub(now)) }

// Idle returns the time since the newest request.
func (s *Share) Idle(now types.Mono) time.Duration { return now.Sub(s.lastRequestAt) }

// Held returns the newest allotment and the level of the bucket.
func (s *Share) Held(now types.Mono) (a Allotment, tokens float64) {
	s.refill(now)
	return s.allotment, s.level
}

// Demand returns the holder's next request for an allotment. The tokens to return
// are reset, so that they are never returned twice; they are lost if the demand is.
func (s *Share) Demand(h Holder, waiting int, now types.Mono) Demand {
	s.refill(now)
	if s.TimeLeft(now) <= 0 {
		s.returning = 0 // The issuer has already treated these tokens as expired.
	}
	if elapsed := now.Sub(s.rateUpdatedAt); elapsed >= rateUpdateInterval {
		weight := min(1, elapsed.Seconds()/rateWindow.Seconds())
		s.rate += weight * (s.requests/elapsed.Seconds() - s.rate)
		s.requests, s.rateUpdatedAt = 0, now
	}
	last := Allotment{Number: s.allotment.Number, Rate: s.allotment.Rate, Burst: s.allotment.Burst, SilentTokens: s.allotment.SilentTokens}
	returned := s.returning
	s.returning = 0
	return Demand{Holder: h, Returned: returned, Waiting: waiting, Rate: types.PerSecond(s.rate), Tokens: s.level, Held: last, TimeLeft: s.TimeLeft(now)}
}

// capacity returns the capacity of the bucket.
func (s *Share) capacity() float64 {
	if s.allotment.SilentTokens > 0 {
		return 1
	}
	return s.allotment.Burst
}

func (s *Share) refill(now types.Mono) {
	if now <= s.updatedAt {
		return
	}
	if s.updatedAt < s.expiresAt {
		silentFrom := s.repliedAt.Add(IssuerTimeout)
		if s.updatedAt <= silentFrom && now > silentFrom && s.allotment.SilentTokens > 0 {
			s.level = s.allotment.SilentTokens
		}
		selfRefill := min(now, s.expiresAt).Sub(max(s.updatedAt, silentFrom))
		s.level = min(s.level+max(0, selfRefill.Seconds())*float64(s.allotment.Rate), s.capacity())
	} else {
		s.level = 0 // Unspent tokens expire with the allotment.
	}
	s.updatedAt = now
}
