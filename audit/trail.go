package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
)

// Hash is a hexadecimal SHA-256 hash. It is empty for the predecessor of the
// first record.
type Hash string

// Record is the audit record of one operator's order.
type Record struct {
	// Seq is the position of the record in the trail, starting at 1 without gaps.
	Seq uint64 `json:"seq"`
	// At is the wall-clock time of the leader when it received the order. It is
	// informational; no decision depends on it.
	At       time.Time        `json:"at"`
	Operator types.OperatorID `json:"operator"`
	Order    types.OrderID    `json:"order"`
	// Summary describes the order. It contains no key.
	Summary string `json:"summary"`
	// From is the version in force before the order and To the version in force
	// after it. They are equal if the order was refused.
	From types.Version `json:"from"`
	To   types.Version `json:"to"`
	// Outcome is "accepted" or the reason why the order was refused.
	Outcome string `json:"outcome"`
	// Prev is the hash of the record before this one.
	Prev Hash `json:"prev"`
	// Hash is the hash of all other fields.
	Hash Hash `json:"hash"`
}

// computeHash returns the hash of all fields except Hash.
func (r Record) computeHash() Hash {
	r.Hash = ""
	r.At = r.At.UTC()
	sum := sha256.Sum256(types.Encode(r))
	return Hash(hex.EncodeToString(sum[:]))
}

// Append returns a copy of r that follows prev in the trail, with Seq, Prev and
// Hash set and At truncated to seconds in UTC. For the first record of a trail,
// prev is the zero Record.
func Append(prev, r Record) Record {
	r.Seq = prev.Seq + 1
	r.Prev = prev.Hash
	r.At = r.At.UTC().Truncate(time.Second)
	r.Hash = r.computeHash()
	return r
}

// Verify checks that records directly follow prev in the trail and that none of
// them was modified. The error identifies the first record that is missing,
// modified or out of order. To verify a trail from its start, pass the zero
// Record as prev.
func Verify(prev Record, records []Record) error {
	for _, r := range records {
		if r.Seq != prev.Seq+1 {
			return errors.Newf("audit: record %d follows record %d", r.Seq, prev.Seq)
		}
		if r.Prev != prev.Hash {
			return errors.Newf("audit: record %d does not contain the hash of record %d", r.Seq, prev.Seq)
		}
		if r.Hash != r.computeHash() {
			return errors.Newf("audit: record %d does not match its own hash", r.Seq)
		}
		prev = r
	}
	return nil
}
