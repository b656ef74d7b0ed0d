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
// estimate is lower, it is at most doubled.
func (e *idleEstimate) recordOpen(c *conn, now time.Time) {
	if e.shortest > 0 {
		e.shortest = max(e.shortest, min(now.Sub(c.idleSince), 2*e.shortest))
	}
	if e.shortest >= c.idleTimeout {
		e.shortest = 0
	}
}

// allows reports whether a connection may be used after it has been idle for age. The last
// quarter of the estimate is left for the way to the target and for the target's delays.
func (e *idleEstimate) allows(age time.Duration) bool {
	return e.shortest == 0 || age < e.shortest-e.shortest/4
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
