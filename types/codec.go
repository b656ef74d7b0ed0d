package types

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// decodeMode bounds what a damaged or hostile message can ask for.
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

// Encode returns v in CBOR, the format of all messages between our processes
// and of all durable state. It panics if v's type cannot be encoded, which no
// input can bring about.
func Encode[T any](v T) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrapf(err, "types: encode %T", v))
	}
	return b
}

// Decode reads a value that [Encode] wrote.
func Decode[T any](b []byte) (T, error) {
	var v T
	if err := decodeMode.Unmarshal(b, &v); err != nil {
		return v, errors.Wrapf(err, "types: decode %T", v)
	}
	return v, nil
}

// Raw is a part of a message that is decoded later.
type Raw = cbor.RawMessage

// DecodeFirst reads the first of several values that stand one behind the
// other and returns what follows it.
func DecodeFirst[T any](b []byte) (v T, rest []byte, err error) {
	rest, err = decodeMode.UnmarshalFirst(b, &v)
	if err != nil {
		return v, nil, errors.Wrapf(err, "types: decode %T", v)
	}
	return v, rest, nil
}
