package types

import (
	"encoding/binary"
	"math/bits"
	"reflect"

	"github.com/cockroachdb/errors"
)

// A message of one byte for each empty element of a list takes over a hundred times its size once
// it is decoded. Messages of the fleet's tests take up to 11 times their size, and up to twice from
// 4 KiB on, since fields have names in the encoding.
const (
	// freeDecodedBytes is the memory that a decoded message may take whatever its size is. Most
	// messages are so small that they cannot take more, and are not examined.
	freeDecodedBytes = 256 << 10
	// decodedFactor is the memory that a decoded message may take, as a multiple of its size, up
	// to maxDecodedBytes.
	decodedFactor   = 32
	maxDecodedBytes = 64 << 20
	// largeDecodedFactor is the same for plans and snapshots beyond 16 MiB, which take up to twice
	// their size.
	largeDecodedFactor = 4
)

// ErrTooDense is returned for a message that takes too much memory once it is decoded.
var ErrTooDense = errors.New("types: the message takes too much memory for its size")

// decodedLimit returns the memory that a message of n bytes may take once it is decoded.
func decodedLimit(n int) int64 {
	size := int64(n)
	return max(freeDecodedBytes, min(decodedFactor*size, maxDecodedBytes), largeDecodedFactor*size)
}

// CheckMemory returns an error if the first of the concatenated values in b takes too much memory
// once it is decoded into a value of type T. The error is marked as [ErrTooDense]. Values that are not
// well-formed pass, since decoding them fails before it takes memory.
func CheckMemory[T any](b []byte) error {
	t := memoryTypeOf(reflect.TypeFor[T]())
	if int64(len(b))*t.maxPerByte <= freeDecodedBytes {
		return nil
	}
	w := memoryWalker{b: b, limit: decodedLimit(len(b))}
	if ok := w.value(t, 0); ok && w.total <= decodedLimit(w.off) || !ok && w.total <= w.limit {
		return nil
	}
	return errors.Wrapf(ErrTooDense, "%v in %d bytes", reflect.TypeFor[T](), len(b))
}

const (
	// maxNesting is a depth at which decodeMode refuses a message.
	maxNesting = 64
	// mismatchBytes is the memory of the error for a value that does not fit its type. Decoding
	// goes on after it.
	mismatchBytes = 128
)

// The major types of CBOR.
const (
	majorUint = iota
	majorNegative
	majorBytes
	majorText
	majorArray
	majorMap
	majorTag
	majorSimple
)

// The additional information of a CBOR head.
const (
	infoNull       = 22
	infoUndefined  = 23
	infoIndefinite = 31
	breakByte      = 0xff
)

// memoryWalker adds up the memory that an encoding takes once it is decoded.
type memoryWalker struct {
	b     []byte
	off   int
	total int64
	limit int64 // the walk ends beyond it
}

// head is the start of an encoded value.
type head struct {
	major, info byte
	value       uint64
}

// head reads the start of a value. It returns false if the encoding is not well-formed.
func (w *memoryWalker) head() (h head, ok bool) {
	if w.off >= len(w.b) {
		return head{}, false
	}
	first := w.b[w.off]
	h = head{major: first >> 5, info: first & 0x1f}
	w.off++
	if h.info < 24 {
		h.value = uint64(h.info)
		return h, true
	}
	if h.info == infoIndefinite {
		return h, h.major >= majorBytes && h.major <= majorMap
	}
	if h.info > 27 {
		return head{}, false
	}
	n := 1 << (h.info - 24)
	rest := w.b[w.off:]
	if len(rest) < n {
		return head{}, false
	}
	switch n {
	case 1:
		h.value = uint64(rest[0])
	case 2:
		h.value = uint64(binary.BigEndian.Uint16(rest))
	case 4:
		h.value = uint64(binary.BigEndian.Uint32(rest))
	default:
		h.value = binary.BigEndian.Uint64(rest)
	}
	w.off += n
	return h, true
}

// add adds n bytes. It returns false if that exceeds the limit.
func (w *memoryWalker) add(n int64) bool {
	w.total += n
	return w.total <= w.limit
}

// value adds what the next value takes if it is decoded as t, besides what t itself takes where it
// is stored. t is nil for values that are skipped. It returns false if the encoding is not
// well-formed or takes more than the limit.
func (w *memoryWalker) value(t *memoryType, depth int) bool {
	start := w.off
	h, ok := w.head()
	if !ok || depth > maxNesting {
		return false
	}
	if t != nil && t.kind == memoryRaw {
		return w.skipRest(h, depth) && w.add(int64(w.off-start))
	}
	if h.major == majorTag {
		return w.value(t, depth+1)
	}
	if h.major == majorSimple && (h.info == infoNull || h.info == infoUndefined) {
		return true
	}
	if t != nil && !w.add(t.pointees+t.mismatch(h.major)) {
		return false
	}
	switch h.major {
	case majorBytes, majorText:
		return w.text(t, h)
	case majorArray:
		return w.array(t, h, depth)
	case majorMap:
		return w.mapping(t, h, depth)
	}
	return true
}

// skipRest skips the value of which the head was read.
func (w *memoryWalker) skipRest(h head, depth int) bool {
	switch h.major {
	case majorBytes, majorText:
		return w.text(nil, h)
	case majorArray:
		return w.array(nil, h, depth)
	case majorMap:
		return w.mapping(nil, h, depth)
	case majorTag:
		return w.value(nil, depth+1)
	}
	return true
}

// text adds a string, which is built in parts if its length is not given.
func (w *memoryWalker) text(t *memoryType, h head) bool {
	if h.info != infoIndefinite {
		part, ok := w.part(h)
		return ok && (t == nil || w.add(int64(len(part)+7)&^7))
	}
	for !w.isBreak() {
		part, ok := w.head()
		if !ok || part.major != h.major || part.info == infoIndefinite {
			return false
		}
		b, ok := w.part(part)
		if !ok || t != nil && !w.add(3*int64(len(b)+7)) {
			return false
		}
	}
	return w.off <= len(w.b)
}

// part returns the bytes of a string with a length.
func (w *memoryWalker) part(h head) (b []byte, ok bool) {
	if h.value > uint64(len(w.b)-w.off) {
		return nil, false
	}
	b = w.b[w.off : w.off+int(h.value)]
	w.off += len(b)
	return b, true
}

// isBreak skips the end of a list of unknown length. It returns true at the end of the encoding, too,
// which makes off exceed the length.
func (w *memoryWalker) isBreak() bool {
	if w.off < len(w.b) && w.b[w.off] != breakByte {
		return false
	}
	w.off++
	return true
}

// more reports whether the element with index i follows.
func (w *memoryWalker) more(h head, i uint64) bool {
	if h.info == infoIndefinite {
		return !w.isBreak()
	}
	return i < h.value
}

// array adds the elements of an array, and the slice that holds them.
func (w *memoryWalker) array(t *memoryType, h head, depth int) bool {
	var element *memoryType
	var size int64
	if t != nil && t.element != nil && t.kind != memoryMap {
		element, size = t.element, t.elementBytes
	}
	if h.info != infoIndefinite {
		if h.value > uint64(len(w.b)-w.off) { // Each element has a byte.
			return false
		}
		if !w.add(int64(h.value) * size) {
			return false
		}
		size = 0
	}
	for i := uint64(0); w.more(h, i); i++ {
		if size > 0 && !w.add(size) || !w.value(element, depth+1) {
			return false
		}
	}
	return w.off <= len(w.b)
}

// mapping adds the pairs of a CBOR map, and the Go map that holds them.
func (w *memoryWalker) mapping(t *memoryType, h head, depth int) bool {
	if t != nil && t.kind == memoryStruct {
		return w.fields(t, h, depth)
	}
	var key, element *memoryType
	if t != nil && (t.kind == memoryMap || t.kind == memoryAny) {
		key, element = t.key, t.element
	} else {
		t = nil
	}
	if h.info != infoIndefinite {
		if h.value > uint64(len(w.b)-w.off)/2 { // Each key and each value has a byte.
			return false
		}
		if t != nil && !w.add(t.mapBytes(h.value)) {
			return false
		}
	}
	n := uint64(0)
	for ; w.more(h, n); n++ {
		if !w.value(key, depth+1) || !w.value(element, depth+1) {
			return false
		}
		if t != nil && h.info == infoIndefinite && bits.OnesCount64(n) <= 1 && !w.add(t.mapBytes(n+1)) {
			return false // The map grows as pairs are added.
		}
	}
	return w.off <= len(w.b) && (t == nil || t.kind != memoryAny || w.add(t.mapBytes(n))) // Maps of any type grow, too.
}

// fields adds the fields of a struct.
func (w *memoryWalker) fields(t *memoryType, h head, depth int) bool {
	if h.info != infoIndefinite && h.value > uint64(len(w.b)-w.off)/2 {
		return false
	}
	next := 0
	for i := uint64(0); w.more(h, i); i++ {
		name, ok := w.name(depth)
		if !ok {
			return false
		}
		var f *memoryType
		if f, next = t.field(name, next); !w.value(f, depth+1) {
			return false
		}
	}
	return w.off <= len(w.b)
}

// name reads the key of a field. It is empty if no field can have it.
func (w *memoryWalker) name(depth int) (name []byte, ok bool) {
	h, ok := w.head()
	if !ok {
		return nil, false
	}
	if h.major != majorText {
		return nil, w.skipRest(h, depth+1)
	}
	if h.info != infoIndefinite {
		return w.part(h)
	}
	for !w.isBreak() {
		part, ok := w.head()
		if !ok || part.major != majorText || part.info == infoIndefinite {
			return nil, false
		}
		b, ok := w.part(part)
		if !ok {
			return nil, false
		}
		name = append(name, b...)
	}
	return name, w.off <= len(w.b)
}
