// Package ramp decides which targets are cold, and how fast the requests to a target that
// starts or recovers may grow. Its types are state machines without clocks or connections.
package ramp
