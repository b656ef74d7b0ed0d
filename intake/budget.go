package intake

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// memoryShare is the part of the memory of a host that its budget has, as one in so many.
	// The limit of the Go runtime is 0.6 of the memory, of which unread responses have an
	// eighth and what a host keeps for itself about a quarter.
	memoryShare = 4
	// defaultBytes is the budget of a host whose memory is not known.
	defaultBytes = 64 << 20
	// smallBytes is the memory up to which a holder may use the reserve.
	smallBytes = 64 << 10
	// reserveShare is the part of a budget, as one in so many, that only holders of up to
	// smallBytes may use.
	reserveShare = 4
	// accountShares of so many parts of a budget (accountShare) are what the small requests of one
	// account may have as long as they leave accountRoom, as one in so many, for those of others:
	// together the reserve, which they may need beside large requests. What they have beyond that
	// must leave aloneRoom, as one in so many.
	accountShares, accountShare = 15, 64
	accountRoom                 = 64
	aloneRoom                   = 8

	// stallTime is how long a peer may send nothing until it counts as slow.
	stallTime = 500 * time.Millisecond
	// minRate is the rate in bytes per second that a peer must reach after stallTime in order
	// not to count as slow.
	minRate = 64 << 10
	// evictWait bounds the wait for evicted holders to release their memory.
	evictWait = time.Second
)

var heldBytes = metrics.NewGauge("banyanspur_intake_held_bytes", nil)

// ErrFull is returned if a budget has no memory left for a holder.
var ErrFull = errors.New("intake: no memory is left for what peers send")

// ErrEvicted is returned to a holder that has lost its memory to others.
var ErrEvicted = errors.New("intake: the peer was too slow while others needed the memory")

// Bytes returns the size of the budget of a host with the given memory in units of 2^20 bytes,
// or the default if it is 0.
func Bytes(memoryMB int64) int64 {
	if memoryMB <= 0 {
		return defaultBytes
	}
	return memoryMB << 20 / memoryShare
}

// Budget is the memory that a process has for what peers make it hold. Create it with
// [NewBudget]. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	used    int64 // 0 <= used; sum over holders
	leaving int64 // 0 <= leaving <= used; the part of used that evicted holders still have
	// large is what the holders of more than smallBytes have, by account, without evicted ones, and
	// small what the others have, without holders of no account.
	large    map[types.AccountID]int64
	small    map[types.AccountID]int64
	holders  map[*Holder]struct{} // those with held > 0
	released chan struct{}        // closed with the next release or eviction; nil if nobody waits

	log      event.Log
	pressure pressure
}

// NewBudget returns a budget with the given number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, large: map[types.AccountID]int64{}, small: map[types.AccountID]int64{}, holders: map[*Holder]struct{}{}}
}

// SetLimit changes the number of bytes. What is held beyond it stays until it is released.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// SetLog sets the log for events of a budget that refuses or evicts. It must be called before the
// budget is used. Without it, events are discarded.
func (b *Budget) SetLog(log event.Log) { b.log = log }

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Used returns the number of bytes that all holders have.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Phase says what a process waits for while it holds memory for a peer.
type Phase int

// The phases of a [Holder].
const (
	Receiving Phase = iota // the rest of a request; the holder may be evicted
	Working                // its own work on a complete request
	Idle                   // the next request on a connection; the holder may be evicted
)

// Holder is what a process holds for one request or connection of a peer. Its methods are safe
// for concurrent use.
type Holder struct {
	budget  *Budget
	account types.AccountID // "" if it is not known
	evict   func()

	// The fields below are guarded by budget.mu.

	held       int64 // 0 <= held
	class      Class
	phase      Phase
	received   int64     // bytes that have arrived in this phase
	since      time.Time // start of the phase
	progressAt time.Time // when bytes have last arrived, or the start of the phase
	served     bool      // it is a connection that has carried a request
	waiting    bool      // for room, in Add; its peer isn't slow meanwhile
	evicted    bool
	closed     bool
}

// Open returns a holder in the phase [Receiving] that has nothing yet. It must be closed. evict
// is called at most once, if the holder loses its memory; it must make the work on the request
// end soon, which then closes the holder, and must not block.
func (b *Budget) Open(account types.AccountID, evict func()) *Holder {
	now := time.Now()
	return &Holder{budget: b, account: account, evict: evict, since: now, progressAt: now}
}

// Received records that n bytes have arrived from the peer. It charges nothing.
func (h *Holder) Received(n int64) {
	if n == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.received += n
	h.progressAt = time.Now()
}

// Add charges n bytes, such as a copy of what has arrived. If there is no room, it evicts other
// holders, and waits up to a second until they have released theirs. It fails with an error
// marked as [ErrFull] if there is still none, and as [ErrEvicted] if h was evicted itself; nothing
// is charged then.
func (h *Holder) Add(n int64) error {
	b := h.budget
	ok, released, err := b.tryAdd(h, n, false)
	if ok || err != nil {
		return err
	}
	timer := time.NewTimer(evictWait)
	defer timer.Stop()
	for {
		select {
		case <-released:
			if ok, released, err = b.tryAdd(h, n, false); ok || err != nil {
				return err
			}
		case <-timer.C:
			return b.giveUp(h)
		}
	}
}

// addNow is [Holder.Add] for callers that must not wait. It exceeds the budget by what evicted
// holders are about to release.
func (h *Holder) addNow(n int64) error {
	_, _, err := h.budget.tryAdd(h, n, true)
	return err
}

// tryAdd charges n bytes if there is room, or with force if there will be. If it returns neither
// true nor an error, evicted holders are about to release room, and released is closed with the
// next change.
func (b *Budget) tryAdd(h *Holder, n int64, force bool) (ok bool, released <-chan struct{}, err error) {
	b.mu.Lock()
	victims, ok, err := b.makeRoom(h, n)
	if !ok && err == nil && force {
		b.charge(h, n)
		ok = true
	}
	if h.waiting != (!ok && err == nil) {
		h.waiting = !h.waiting
		h.progressAt = time.Now()
	}
	if h.waiting && b.released == nil {
		b.released = make(chan struct{})
	}
	released = b.released
	report := b.report()
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	report.write(b.log)
	return ok, released, err
}

// makeRoom charges n bytes if there is room. Otherwise it evicts holders so that there will be
// room, or fails if there are not enough, and then evicts none. It must be called with mu held, and
// the evict functions of victims after that.
func (b *Budget) makeRoom(h *Holder, n int64) (victims []*Holder, ok bool, err error) {
	if h.evicted || h.closed {
		return nil, false, errors.WithStack(ErrEvicted)
	}
	if b.excess(h, n, b.used) <= 0 {
		b.charge(h, n)
		return nil, true, nil
	}
	if excess := b.excess(h, n, b.used-b.leaving); excess > 0 {
		victims, ok = b.victims(h, n, excess)
		if !ok {
			b.recordRefusal()
			return nil, false, errors.WithStack(ErrFull)
		}
	}
	for _, v := range victims {
		b.evict(v)
	}
	return victims, false, nil
}

// evict takes the memory of v away. It must be called with mu held, and v.evict after that.
func (b *Budget) evict(v *Holder) {
	b.addToAccount(v, -1)
	v.evicted = true
	b.leaving += v.held
	b.recordEviction()
	b.wake()
}

// wake lets all that wait for room look again. It must be called with mu held.
func (b *Budget) wake() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// giveUp ends the wait of h for room.
func (b *Budget) giveUp(h *Holder) error {
	b.mu.Lock()
	b.recordRefusal()
	h.waiting, h.progressAt = false, time.Now()
	report := b.report()
	b.mu.Unlock()
	report.write(b.log)
	return errors.WithStack(ErrFull)
}

// largeBytes returns what h has if that is more than smallBytes, else 0.
func (h *Holder) largeBytes() int64 {
	if h.held > smallBytes {
		return h.held
	}
	return 0
}

// smallRoom returns what h, which stays small with n more bytes, must leave free, so that small
// requests of other accounts find room: as much as others of its account have, up to accountRoom; and
// aloneRoom once its account has more than accountShare. Connections belong to no account yet, and leave
// nothing.
func (b *Budget) smallRoom(h *Holder, n int64) int64 {
	if h.account == "" {
		return 0
	}
	others := b.small[h.account]
	if !h.evicted {
		others -= h.held - h.largeBytes()
	}
	if others+h.held+n > b.limit/accountShare*accountShares {
		return b.limit / aloneRoom
	}
	return min(others, b.limit/accountRoom)
}

// addToAccount adds what h has to its account, or removes it.
func (b *Budget) addToAccount(h *Holder, sign int64) {
	if h.evicted {
		return
	}
	if h.held > smallBytes {
		addTo(b.large, h.account, sign*h.held)
	} else if h.account != "" {
		addTo(b.small, h.account, sign*h.held)
	}
}

// addTo adds n to an element of m, which has none that are 0.
func addTo(m map[types.AccountID]int64, account types.AccountID, n int64) {
	if m[account] += n; m[account] == 0 {
		delete(m, account)
	}
}

// charge adds n bytes, which may be negative, to what h has. It must be called with mu held.
func (b *Budget) charge(h *Holder, n int64) {
	b.addToAccount(h, -1)
	h.held += n
	b.used += n
	if h.evicted {
		b.leaving += n
	}
	b.addToAccount(h, 1)
	if h.held > 0 {
		b.holders[h] = struct{}{}
	} else {
		delete(b.holders, h)
	}
	heldBytes.Add(float64(n))
	if n < 0 {
		b.wake()
	}
}

// Release returns n bytes, at most those that h has.
func (h *Holder) Release(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if n = min(n, h.held); n > 0 {
		h.budget.charge(h, -n)
	}
}

// SetPhase changes the phase. It returns false if h was evicted before, and stays so.
func (h *Holder) SetPhase(p Phase) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.phase, h.received, h.since = p, 0, time.Now()
	h.progressAt = h.since
	return !h.evicted
}

// becomeIdle returns n bytes and changes the phase to [Idle].
func (h *Holder) becomeIdle(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if n = min(n, h.held); n > 0 {
		h.budget.charge(h, -n)
	}
	h.phase, h.received, h.since = Idle, 0, time.Now()
	h.progressAt, h.served = h.since, true
}

// Held returns the number of bytes that h has.
func (h *Holder) Held() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.held
}

// Evicted reports whether h has lost its memory to others.
func (h *Holder) Evicted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Close returns all that h has. It may be called more than once.
func (h *Holder) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.held > 0 {
		h.budget.charge(h, -h.held)
	}
	h.closed = true
}
