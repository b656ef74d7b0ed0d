package fetch

import "time"

// idleEstimate is an estimate of how long a target keeps an idle connection open. A request
// that crosses the target's close on the way may have run and cannot be repeated, so that
// connections are not used shortly before.
type idleEstimate struct {
	// shortest is the estimate, or 0 if there is none.
	shortest  time.Duration
	loweredAt time.Time
}

const (
	// minIdleSample is the shortest idle time whose end by a close counts. Closes after less
	// have other causes, such as a target that stops.
	minIdleSample = 10 * time.Millisecond
	// maxIdleDrop is the maximum factor by which one close lowers the estimate, so that a
	// single restart of a target does not make all connections to it short-lived.
	maxIdleDrop = 8
	// maxCloseDelay is how much later than its timeout a target on a busy machine may close a
	// connection. Until then it looks open, but a request on it is lost. With 100 ms, targets
	// were later at a load of 150 on 8 processors.
	maxCloseDelay = time.Second
)

// recordClosed records that a connection was found closed by its target after it had been
// idle for age. One event may have closed all connections that were idle at the time, so that
// it counts only once.
func (e *idleEstimate) recordClosed(c *conn, now time.Time) {
	age := now.Sub(c.idleSince)
	if age < minIdleSample || !c.idleSince.After(e.loweredAt) {
		return
	}
	current := e.shortest
	if current == 0 {
		current = c.idleTimeout
	}
	if age < current {
		e.shortest, e.loweredAt = max(age, current/maxIdleDrop), now
	}
}

// recordOpen records that a connection was found open after it had been idle for age. If the
// estimate is lower than that less maxCloseDelay, it is at most doubled.
func (e *idleEstimate) recordOpen(c *conn, now time.Time) {
	if e.shortest > 0 {
		e.shortest = max(e.shortest, min(now.Sub(c.idleSince)-maxCloseDelay, 2*e.shortest))
	}
	if e.shortest >= c.idleTimeout {
		e.shortest = 0
	}
}

// allows reports whether a connection may be used after it has been idle for age. A quarter of
// the estimate is left for the way to the target and for the target's delays, and up to half of
// it while this process is late by the given time: so are the target's, on the same machine, and
// a target may reach its timeout before it reads a request that was in time.
func (e *idleEstimate) allows(age, lateness time.Duration) bool {
	margin := min(max(2*lateness, e.shortest/4), e.shortest/2)
	return e.shortest == 0 || age < e.shortest-margin
}

// latenessWindow is how long an observation of the lateness counts at least.
const latenessWindow = 2 * time.Second

// clockTick is the resolution of the kernel's times of received bytes on most systems.
const clockTick = 4 * time.Millisecond

// lateness is how late this process reads responses that have arrived: the maximum of the
// last one to two windows. The zero value is ready to use.
type lateness struct {
	current, previous time.Duration
	since             time.Time // start of the current window
}

// add records that a response was read the given time after the kernel had received it.
func (l *lateness) add(d time.Duration, now time.Time) {
	l.advance(now)
	l.current = max(l.current, d-clockTick)
}

// get returns the lateness.
func (l *lateness) get(now time.Time) time.Duration {
	l.advance(now)
	return max(l.current, l.previous)
}

func (l *lateness) advance(now time.Time) {
	switch age := now.Sub(l.since); {
	case age >= 2*latenessWindow:
		l.current, l.previous, l.since = 0, 0, now
	case age >= latenessWindow:
		l.current, l.previous, l.since = 0, l.current, now
	}
}

// idleState is what is known about an idle connection from the socket.
type idleState int

const (
	idleOpen    idleState = iota
	idleClosed            // closed or reset by the target
	idleUnusual           // unsolicited data has been received, or the connection has failed
)

// dropClosed closes the connections of list that their target has closed, oldest first, until
// it finds an open one, and updates the estimate. It returns the remaining ones.
func (e *idleEstimate) dropClosed(list []*conn, now time.Time) []*conn {
	for len(list) > 0 {
		raw, isSocket := list[0].rawConn()
		if !isSocket {
			return list // Its state says nothing about the target.
		}
		state := idleUnusual
		_ = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
		switch state {
		case idleOpen:
			e.recordOpen(list[0], now)
			return list
		case idleClosed:
			idleCloses.Inc()
			e.recordClosed(list[0], now)
		}
		_ = list[0].Close()
		list = list[1:]
	}
	return list
}
