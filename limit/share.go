package limit

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Share is a holder's side of one account's limit: the bucket that its newest
// allotment fills. The zero value holds nothing. It is not safe for concurrent
// use.
type Share struct {
	held  Allotment
	heard types.Mono // when the issuer answered last
	until types.Mono
	level float64 // 0 <= level <= held.Burst
	at    types.Mono
	back  float64 // what is to be given back with the next demand
	now   int     // requests that may go at once, until nowTo
	nowTo types.Mono

	asked   float64    // requests since ratedAt
	ratedAt types.Mono // when rate was last brought up to date
	rate    float64    // requests a second of late
	used    types.Mono // when a request came last
}

// rateTime is the time over which a rate of requests is averaged.
const rateTime = time.Second

// Put brings a newer allotment into force that was asked for at the given
// time.
func (s *Share) Put(a Allotment, asked, now types.Mono) {
	if a.Number <= s.held.Number && s.Left(now) > 0 {
		return
	}
	s.refill(now)
	s.held, s.heard = a, now
	s.until = asked.Add(AllotmentTime)
	s.level += a.Tokens
	if over := s.level - a.Burst; over > 0 {
		s.level = a.Burst
		s.back += over
	}
	s.now, s.nowTo = a.Now, asked.Add(NowTime)
}

// Take spends one request and reports whether there was one to spend.
func (s *Share) Take(now types.Mono) bool {
	s.refill(now)
	if s.now > 0 && now < s.nowTo {
		s.now--
		return true
	}
	if s.Left(now) <= 0 || s.level < 1 {
		return false
	}
	s.level--
	return true
}

// Low reports whether the share has a bucket that will not last until its usual
// renewal.
func (s *Share) Low(now types.Mono) bool {
	s.refill(now)
	return s.level < lowShare*s.held.Burst
}

// Holds reports whether there is anything that an issuer must know of.
func (s *Share) Holds(now types.Mono) bool {
	return s.Left(now) > 0 && (s.held.Rate > 0 || s.held.Burst > 0 || s.back > 0)
}

// Queue returns how long a request has to wait behind those of all holders, as
// far as the issuer knows, if ahead of this holder's own are before it and the
// account's limit has the given rate.
func (s *Share) Queue(ahead int, rate types.PerSecond) time.Duration {
	if rate <= 0 {
		return Never
	}
	return time.Duration(float64(s.held.Queue+ahead+1) / float64(rate) * float64(time.Second))
}

// lowShare is the part of a bucket at which more is asked for.
const lowShare = 0.5

// Ask notes that a request has come, whether it can be served or not.
func (s *Share) Ask(now types.Mono) {
	s.asked++
	s.used = now
}

// GiveBack returns a request that was taken and that no target has seen. What
// the bucket does not hold goes back to the issuer with the next demand.
func (s *Share) GiveBack() {
	s.level++
	if over := s.level - s.held.Burst; over > 0 {
		s.level -= over
		s.back += over
	}
}

// Wait returns how long it takes until a request can be spent, [Never] if the
// holder has no allotment.
func (s *Share) Wait(now types.Mono) time.Duration {
	s.refill(now)
	if s.Left(now) <= 0 || s.held.Rate <= 0 || s.held.Burst < 1 {
		return Never
	}
	return time.Duration(max(0, 1-s.level) / float64(s.held.Rate) * float64(time.Second))
}

// Alone returns how long it takes until a request can be spent while the issuer
// stays silent, [Never] if the holder does not refill itself.
func (s *Share) Alone(now types.Mono) time.Duration {
	wait := s.Wait(now)
	if wait == Never {
		return Never
	}
	return max(0, s.heard.Add(StandbyTime).Sub(now)) + wait
}

// Left returns how long the allotment still counts; 0 if there is none.
func (s *Share) Left(now types.Mono) time.Duration { return max(0, s.until.Sub(now)) }

// Idle returns how long no request has come.
func (s *Share) Idle(now types.Mono) time.Duration { return now.Sub(s.used) }

// Held returns the newest allotment and what the holder's bucket holds.
func (s *Share) Held(now types.Mono) (a Allotment, tokens float64) {
	s.refill(now)
	return s.held, s.level
}

// Demand returns what the holder tells when it asks for an allotment.
func (s *Share) Demand(h Holder, waiting int, now types.Mono) Demand {
	s.refill(now)
	if s.Left(now) <= 0 {
		s.back = 0 // The issuer has counted it as run out.
	}
	if past := now.Sub(s.ratedAt); past > 0 {
		weight := min(1, past.Seconds()/rateTime.Seconds())
		s.rate += weight * (s.asked/max(past, rateTime/10).Seconds() - s.rate)
		s.asked, s.ratedAt = 0, now
	}
	held := s.held
	held.Tokens, held.Now, held.Queue = 0, 0, 0
	back := s.back
	s.back = 0 // If the demand is lost, so is this; nothing is ever given back twice.
	return Demand{Holder: h, Back: back, Waiting: waiting, Rate: types.PerSecond(s.rate), Tokens: s.level, Held: held, Left: s.Left(now)}
}

func (s *Share) refill(now types.Mono) {
	if now <= s.at {
		return
	}
	if s.at < s.until {
		alone := min(now, s.until).Sub(max(s.at, s.heard.Add(StandbyTime)))
		s.level = min(s.level+max(0, alone.Seconds())*float64(s.held.Rate), s.held.Burst)
	} else {
		s.level = 0 // What an allotment leaves over ends with it.
	}
	s.at = now
}
