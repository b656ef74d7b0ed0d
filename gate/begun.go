package gate

import (
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// begunTime is how long a program counts as begun since its last request.
	begunTime = 30 * time.Second
	// begunSweepInterval is the pause between two removals of programs that no longer
	// count as begun.
	begunSweepInterval = 5 * time.Second
)

// begunPrograms holds the programs of which this host has served a request. The zero value
// is ready to use. It is safe for concurrent use.
type begunPrograms struct {
	mu      sync.Mutex
	seenAt  map[programKey]time.Time
	sweepAt time.Time
}

// programKey identifies a program.
type programKey struct {
	account types.AccountID
	program types.ProgramID
}

// add records that a request of the program was admitted.
func (b *begunPrograms) add(k programKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.seenAt == nil {
		b.seenAt = map[programKey]time.Time{}
	}
	b.seenAt[k] = now
	if now.Before(b.sweepAt) {
		return
	}
	b.sweepAt = now.Add(begunSweepInterval)
	for other, at := range b.seenAt {
		if now.Sub(at) > begunTime {
			delete(b.seenAt, other)
		}
	}
}

func (b *begunPrograms) has(k programKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.seenAt[k]
	return ok && time.Since(at) <= begunTime
}

// programKey returns the key of the call's program, and false if it belongs to none.
func (c *call) programKey() (programKey, bool) {
	program := types.ProgramID(c.r.Header.Get(c.gate.HeaderNames.Program))
	return programKey{c.accountID(), program}, program != ""
}

// startsProgram reports whether the call is the first one of a program, as far as this
// host knows: a turn that continues none, of a program of which it has served no request.
// Calls of tools come only after a turn.
func (c *call) startsProgram() bool {
	key, ok := c.programKey()
	return ok && c.route.Kind == plan.Streaming && c.turn.previous == "" && !c.gate.begun.has(key)
}
