package wire

import (
	"sync"
	"sync/atomic"
)

const (
	// frameShare and queueShare are the parts of a host's memory, as divisors, that frames which
	// are being received and the send queues of all connections may take. An entry host queues
	// each turn for three stores.
	frameShare = 8
	queueShare = 4
	// requestShare is the part that the bodies of requests which are being handled may take. The
	// decoded requests and what handlers make of them take about twice as much besides.
	requestShare = 16

	// maxFrameBudget and maxRequestBudget bound these parts, and are those of a host whose memory
	// is not known. Control hosts of the smallest size must be able to receive a snapshot.
	maxFrameBudget = 32 << 20
	// minFrameBudget lets any host receive the largest reply to a chain, 1 MiB and a turn with an
	// input of 4 MiB and an output of 8 MiB. A frame that is alone must fit, too.
	minFrameBudget   = 16 << 20
	maxRequestBudget = 32 << 20
	// defaultQueueBudget is the part for send queues if the memory is not known.
	defaultQueueBudget = 128 << 20
	// requestOverhead is the memory of a request besides its body: its goroutine and context.
	requestOverhead = 4 << 10
	// smallMessageBytes is the size up to which messages may also take a reserve besides the part of the
	// queues, a quarter of it, so that replies without a large body are sent in any case; and one
	// besides the part of requests, so that others are served while one that exceeds the part is handled.
	smallMessageBytes = 64 << 10
	queueReserve      = 4
	// requestReserve is the reserve for requests of that size without low precedence, as a divisor of the part
	// for requests: large ones and first turns must not keep out the turns that continue others.
	requestReserve = 4
	// aloneShare is the part of a limit, as a divisor, that others may have taken when a message
	// is accepted that exceeds the rest.
	aloneShare = 4
)

// Budget is the memory of a process for messages of other processes. Callers that are not
// processes of the fleet have no part in it, so that they do not keep out the messages of the
// fleet. It is safe for concurrent use.
type Budget struct {
	frames   *frameBudget
	joinMu   sync.Mutex
	requests byteCounter // the requests that are being handled, except those without a reply
	// reserved are those that found no room in requests: small ones without low precedence.
	reserved byteCounter
	queued   byteCounter // the messages in all send queues
}

// defaultBudget is that of processes whose memory is not known.
var defaultBudget = NewBudget(0)

// NewBudget returns the budget of a host with the given memory in bytes, or the default one if it
// is 0.
func NewBudget(memory int64) *Budget {
	b := &Budget{frames: newFrameBudget(0)}
	b.SetMemory(memory)
	return b
}

// SetMemory changes the memory of the host. What is held beyond the budget stays until it is
// released.
func (b *Budget) SetMemory(memory int64) {
	frames, requests, queued := int64(maxFrameBudget), int64(maxRequestBudget), int64(defaultQueueBudget)
	if memory > 0 {
		frames, requests, queued = min(frames, max(minFrameBudget, memory/frameShare)), min(requests, memory/requestShare), memory/queueShare
	}
	b.frames.setLimit(int(frames))
	b.requests.limit.Store(requests)
	b.reserved.limit.Store(requests / requestReserve)
	b.queued.limit.Store(queued)
}

// orDefault returns b, or the default budget if b is nil.
func (b *Budget) orDefault() *Budget {
	if b == nil {
		return defaultBudget
	}
	return b
}

// admit charges a request that is to be handled, and returns what it must be released from. It returns nil if
// there is no room. While others use the reserve, requests with low precedence have none.
func (b *Budget) admit(size int64, low bool) *byteCounter {
	switch {
	case low && b.reserved.used.Load() > 0:
		return nil
	case b.requests.take(size, 0):
		return &b.requests
	case !low && size <= smallMessageBytes+requestOverhead && b.reserved.take(size, 0):
		return &b.reserved
	}
	return nil
}

// byteCounter bounds a number of bytes.
type byteCounter struct{ used, limit atomic.Int64 }

// take adds n bytes if the sum does not exceed the limit and reserve, or if there is not much
// besides: the largest messages may exceed the limit of a small host.
func (c *byteCounter) take(n, reserve int64) bool {
	limit := c.limit.Load()
	for {
		used := c.used.Load()
		if used+n > limit+reserve && used > limit/aloneShare {
			return false
		}
		if c.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

func (c *byteCounter) release(n int64) { c.used.Add(-n) }
