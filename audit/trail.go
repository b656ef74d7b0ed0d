package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
)

// Hash is a SHA-256 in hexadecimal. The first record follows the empty hash.
type Hash string

// Record tells of one operator's order.
type Record struct {
	// Seq counts records from 1 without gaps.
	Seq uint64 `json:"seq"`
	// At is the wall clock of the leader that took the order. It is for
	// people; nothing is decided by it.
	At       time.Time        `json:"at"`
	Operator types.OperatorID `json:"operator"`
	Order    types.OrderID    `json:"order"`
	// Summary tells what was asked for. It holds no key.
	Summary string `json:"summary"`
	// From is the version in force before, To the one after. They are equal
	// if the order was refused.
	From types.Version `json:"from"`
	To   types.Version `json:"to"`
	// Outcome is "accepted" or the reason of the refusal.
	Outcome string `json:"outcome"`
	Prev    Hash   `json:"prev"`
	Hash    Hash   `json:"hash"`
}

// sum returns the hash of all fields but Hash itself.
func (r Record) sum() Hash {
	r.Hash = ""
	r.At = r.At.UTC()
	sum := sha256.Sum256(types.Encode(r))
	return Hash(hex.EncodeToString(sum[:]))
}

// Append returns the record that follows prev, with Seq, Prev and Hash set.
// The zero Record stands for the start of the trail.
func Append(prev, r Record) Record {
	r.Seq = prev.Seq + 1
	r.Prev = prev.Hash
	r.At = r.At.UTC().Truncate(time.Second)
	r.Hash = r.sum()
	return r
}

// Verify checks records that follow prev and returns an error that names the
// first one that is missing, changed or out of place.
func Verify(prev Record, records []Record) error {
	for _, r := range records {
		if r.Seq != prev.Seq+1 {
			return errors.Newf("audit: record %d follows record %d", r.Seq, prev.Seq)
		}
		if r.Prev != prev.Hash {
			return errors.Newf("audit: record %d does not follow from record %d", r.Seq, prev.Seq)
		}
		if r.Hash != r.sum() {
			return errors.Newf("audit: record %d was changed", r.Seq)
		}
		prev = r
	}
	return nil
}
