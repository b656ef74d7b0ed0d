package types

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
)

// AccountID identifies a client account.
type AccountID string

// ProgramID identifies a program within its client account.
type ProgramID string

// AttemptID identifies one attempt to run a call. It is unique across the fleet.
type AttemptID string

// OrderID identifies an operator's order and makes its submission idempotent.
type OrderID string

// OperatorID identifies the operator who submitted an order.
type OperatorID string

// HostID identifies a host.
type HostID string

// ZoneID identifies an availability zone.
type ZoneID string

// ServiceID identifies a service provided by targets.
type ServiceID string

// TargetID identifies a target, which is one replica of a service.
type TargetID string

// Incarnation identifies one run of a process; it changes with every restart.
type Incarnation string

// GroupID identifies a shard group. Group 0 is [ConfigGroup].
type GroupID uint32

// ConfigGroup is the shard group that stores the configuration, the keys and the
// audit trail.
const ConfigGroup GroupID = 0

// CallNumber is the position of a call in its program. The first call has
// number 1.
type CallNumber uint64

// Version is the number of accepted configuration changes. Version 0 is the
// empty configuration.
type Version uint64

// Epoch increases with every change of leader. Targets use it as a fencing
// token.
type Epoch uint64

// KeyHash is the hexadecimal SHA-256 hash of a caller's or operator's key. Keys
// themselves are never stored.
type KeyHash string

// Fingerprint is the hexadecimal SHA-256 hash of a request.
type Fingerprint string

// HashKey returns the hash that is stored for a key.
func HashKey(key string) KeyHash {
	return KeyHash(sha256Hex([]byte(key)))
}

// FingerprintOf returns the fingerprint of a request that consists of the given
// parts. Each part is hashed with its length as a prefix, so that different
// lists of parts with equal concatenations have different fingerprints.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write(p)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

func sha256Hex(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// randomIDBytes is the length of a random identifier. At 96 bits, the
// probability of a collision is negligible.
const randomIDBytes = 12

// RandomID returns a new random identifier in hexadecimal.
func RandomID() string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error; it terminates the process instead.
	return hex.EncodeToString(b[:])
}

// MaxNameLength is the maximum length, in bytes, of identifiers in external
// input.
const MaxNameLength = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ValidName reports whether s is a valid identifier: one to
// [MaxNameLength] letters, digits, dots, underscores and hyphens, starting
// with a letter or a digit.
func ValidName[S ~string](s S) bool {
	return len(s) <= MaxNameLength && namePattern.MatchString(string(s))
}
