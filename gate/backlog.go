package gate

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// backlogShare is the part of the memory of a host that unread responses may use, as one
	// in so many.
	backlogShare = 8
	// defaultBacklogBytes is the budget of a host whose memory is not known.
	defaultBacklogBytes = 16 << 20
)

// unreadBytes is the sum of all backlogs of the process.
var unreadBytes = metrics.NewGauge("banyanspur_gate_unread_bytes", nil)

// BacklogBytes returns the budget for unread responses of a host with the given memory in
// units of 2^20 bytes, or the default if it is 0.
func BacklogBytes(memoryMB int64) int64 {
	if memoryMB <= 0 {
		return defaultBacklogBytes
	}
	return memoryMB << 20 / backlogShare
}

// Backlog is the memory that a host has for responses that callers have not read yet. It is
// divided by what is free: an account may hold as much as is left of the whole, and a call as
// much as is left of that, so that one account holds at most half of the memory, one call at
// most a third, and each further account finds a part free. A call that holds nothing may
// use all of its account's part, other calls only what is left of three quarters: a caller
// that reads gets a piece at a time although others of its account do not read. It is safe
// for concurrent use.
type Backlog struct {
	mu       sync.Mutex
	limit    int64
	used     int64                     // 0 <= used; sum of accounts
	accounts map[types.AccountID]int64 // without accounts that hold nothing
}

// NewBacklog returns a backlog with the given number of bytes.
func NewBacklog(limit int64) *Backlog {
	return &Backlog{limit: limit, accounts: map[types.AccountID]int64{}}
}

// SetLimit changes the number of bytes. What is held beyond it stays until it is released.
func (b *Backlog) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Take takes n bytes for a call of an account that holds own bytes already. It reports
// whether the bytes are within the part of the call.
func (b *Backlog) Take(account types.AccountID, own, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ofAccount, limit := b.accounts[account], b.limit
	if own > 0 {
		limit -= limit / 4
	}
	free := limit - b.used - ofAccount // for the account, besides what it holds
	if n > free || own > 0 && own+n > free {
		return false
	}
	b.add(account, n)
	return true
}

// TakeAlways takes n bytes whether or not they are free. It is meant for responses that are
// so short that a connection costs more.
func (b *Backlog) TakeAlways(account types.AccountID, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(account, n)
}

// Release returns n bytes.
func (b *Backlog) Release(account types.AccountID, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(account, -n)
}

// Used returns the number of bytes that all calls hold.
func (b *Backlog) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// add must be called with mu held.
func (b *Backlog) add(account types.AccountID, n int64) {
	b.used += n
	b.accounts[account] += n
	if b.accounts[account] == 0 {
		delete(b.accounts, account)
	}
	unreadBytes.Add(float64(n))
}
