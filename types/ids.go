package types

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
)

// AccountID names a client account.
type AccountID string

// ProgramID names a program within its client account.
type ProgramID string

// AttemptID names one attempt to run a call. It is unique across the fleet.
type AttemptID string

// OrderID names an operator's order, so that a resend can be recognised.
type OrderID string

// OperatorID names the operator who gave an order.
type OperatorID string

// HostID names one of our hosts.
type HostID string

// ZoneID names an availability zone.
type ZoneID string

// ServiceID names a service that is answered by targets.
type ServiceID string

// TargetID names one target, a replica of a service.
type TargetID string

// Incarnation distinguishes one run of a process from the runs before it.
type Incarnation string

// GroupID names a shard group. Group 0 holds the configuration.
type GroupID uint32

// ConfigGroup is the shard group that holds configuration, keys and audit.
const ConfigGroup GroupID = 0

// CallNumber is the position of a call in its program. The first call has
// number 1.
type CallNumber uint64

// Version counts accepted configuration changes. Version 0 is empty.
type Version uint64

// Epoch orders the reigns of leaders; targets compare it as a fencing number.
type Epoch uint64

// KeyHash is the SHA-256 of a caller's key, in hexadecimal. A key itself is
// never stored.
type KeyHash string

// Fingerprint is the SHA-256 of a request, in hexadecimal.
type Fingerprint string

// HashKey returns the hash under which a caller's key is known.
func HashKey(key string) KeyHash {
	return KeyHash(digest([]byte(key)))
}

// FingerprintOf returns the fingerprint of a request made of the given parts.
// Every part is preceded by its length, so that no two lists of parts collide.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write(p)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// randomIDBytes makes a collision between two random identifiers negligible.
const randomIDBytes = 12

// RandomID returns a fresh random identifier in hexadecimal.
func RandomID() string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails; it ends the process instead.
	return hex.EncodeToString(b[:])
}

// MaxNameLength bounds every identifier that comes from outside, in bytes.
const MaxNameLength = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ValidName reports whether s may serve as an identifier: one to
// [MaxNameLength] letters, digits, dots, underscores and hyphens, starting
// with a letter or a digit.
func ValidName[S ~string](s S) bool {
	return len(s) <= MaxNameLength && namePattern.MatchString(string(s))
}
