package types

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// decodeMode limits the nesting and the collection sizes that a corrupt or
// hostile message can request.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  32,
		MaxArrayElements: 1 << 22,
		MaxMapPairs:      1 << 22,
	}.DecMode()
	if err != nil {
		panic(err) // The options above are constant.
	}
	return mode
}()

// Encode returns the CBOR encoding of v. CBOR is the format of all messages
// between hosts and of all durable state. Encode panics if the type of v cannot
// be encoded, which is a programming error and does not depend on input.
func Encode[T any](v T) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrapf(err, "types: encode %T", v))
	}
	return b
}

// Decode parses a value encoded by [Encode].
func Decode[T any](b []byte) (T, error) {
	var v T
	if err := decodeMode.Unmarshal(b, &v); err != nil {
		return v, errors.Wrapf(err, "types: decode %T", v)
	}
	return v, nil
}

// RawMessage is an encoded part of a message whose decoding is deferred.
type RawMessage = cbor.RawMessage

// DecodeFirst parses the first of several concatenated values and returns the
// remaining bytes.
func DecodeFirst[T any](b []byte) (v T, rest []byte, err error) {
	rest, err = decodeMode.UnmarshalFirst(b, &v)
	if err != nil {
		return v, nil, errors.Wrapf(err, "types: decode %T", v)
	}
	return v, rest, nil
}
