package types

import (
	"bytes"

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

// EncodeSized is [Encode] for large values: it takes size bytes of memory at once, and no more
// if the encoding is not longer.
func EncodeSized[T any](v T, size int) []byte {
	b := bytes.NewBuffer(make([]byte, 0, size))
	if err := cbor.MarshalToBuffer(v, b); err != nil {
		panic(errors.Wrapf(err, "types: encode %T", v))
	}
	return b.Bytes()
}

// null is the encoding of no value.
const null = 0xf6

// EncodeHead returns the encoding of v without its last value, a [RawMessage] that newValue has
// set to the one that it is given. What follows is that value's own encoding, which several
// messages may share.
func EncodeHead[T any](newValue func(last RawMessage) T) []byte {
	b := Encode(newValue(RawMessage{null}))
	if b[len(b)-1] != null {
		panic(errors.Newf("types: the raw message is not the last value of %T", newValue(nil)))
	}
	return b[:len(b)-1]
}

// Decode parses a value encoded by [Encode]. It refuses one that takes too much memory for its size;
// see [CheckMemory].
func Decode[T any](b []byte) (T, error) {
	if err := CheckMemory[T](b); err != nil {
		var v T
		return v, err
	}
	return DecodeStored[T](b)
}

// DecodeStored is [Decode] for what this process has accepted before, such as its durable state. It
// must be readable whatever memory it takes.
func DecodeStored[T any](b []byte) (T, error) {
	var v T
	if err := decodeMode.Unmarshal(b, &v); err != nil {
		return v, errors.Wrapf(err, "types: decode %T", v)
	}
	return v, nil
}

// RawMessage is an encoded part of a message whose decoding is deferred.
type RawMessage = cbor.RawMessage

// DecodeFirst parses the first of several concatenated values and returns the
// remaining bytes. It refuses what [Decode] does.
func DecodeFirst[T any](b []byte) (v T, rest []byte, err error) {
	if err := CheckMemory[T](b); err != nil {
		return v, nil, err
	}
	rest, err = decodeMode.UnmarshalFirst(b, &v)
	if err != nil {
		return v, nil, errors.Wrapf(err, "types: decode %T", v)
	}
	return v, rest, nil
}
