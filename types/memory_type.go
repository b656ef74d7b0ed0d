package types

import (
	"math/bits"
	"reflect"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// memoryKind is how a type takes memory when a value is decoded into it.
type memoryKind int

const (
	memoryScalar memoryKind = iota // numbers and what has no parts
	memoryString
	memoryRaw // the encoding itself
	memorySlice
	memoryArray
	memoryMap
	memoryStruct
	memoryAny
)

const (
	anyBytes = 16 // of an interface, and of a value in it
	// mapHeaderBytes is the memory of an empty map.
	mapHeaderBytes = 48
	// mapGroup is the number of pairs for which a map takes memory at once.
	mapGroup = 8
	// maxInlineBytes is the size of keys and elements from which on a map has pointers to them.
	maxInlineBytes = 128
)

// memoryType describes a type for [CheckMemory].
type memoryType struct {
	kind     memoryKind
	size     int64 // where a value is stored
	pointees int64 // of the pointers to it, and what else a value takes that is not null

	// key and element are the parts of maps, slices and arrays.
	key, element *memoryType
	elementBytes int64 // memory of one element of a slice

	fields []memoryField  // of a struct, in order
	byName map[string]int // indices of fields

	maxPerByte int64 // the most that a byte of an encoding may take; set for the type of a message
}

// memoryField is a field of a struct.
type memoryField struct {
	name string
	t    *memoryType
}

// field returns the type of the field with the given name, or nil, and the index of the one after
// it, which is likely to be the next one in a message. Names match as they do when a message is
// decoded.
func (t *memoryType) field(name []byte, likely int) (f *memoryType, next int) {
	if likely < len(t.fields) && t.fields[likely].name == string(name) {
		return t.fields[likely].t, likely + 1
	}
	if i, ok := t.byName[string(name)]; ok {
		return t.fields[i].t, i + 1
	}
	for i, f := range t.fields {
		if len(f.name) == len(name) && strings.EqualFold(f.name, string(name)) {
			return f.t, i + 1
		}
	}
	return nil, likely
}

// mismatch returns the memory of the error if a value of a major type cannot be decoded as t.
func (t *memoryType) mismatch(major byte) int64 {
	ok := true
	switch t.kind {
	case memoryScalar:
		ok = major != majorArray && major != majorMap
	case memoryString:
		ok = major == majorText || major == majorBytes
	case memorySlice, memoryArray:
		ok = major == majorArray || major == majorBytes
	case memoryMap, memoryStruct:
		ok = major == majorMap
	}
	if ok {
		return 0
	}
	return mismatchBytes
}

// mapBytes returns the memory of a map with n pairs.
func (t *memoryType) mapBytes(n uint64) int64 {
	if n == 0 {
		return mapHeaderBytes
	}
	slots := uint64(mapGroup)
	if n > mapGroup {
		slots = 1 << bits.Len64(n*mapGroup/(mapGroup-1)) // Maps are filled to seven eighths.
	}
	pair, apart := int64(1), int64(0) // One byte is for the hash.
	for _, part := range []*memoryType{t.key, t.element} {
		if part.size > maxInlineBytes {
			pair, apart = pair+8, apart+part.size
		} else {
			pair += part.size
		}
	}
	return mapHeaderBytes + int64(slots)*pair + int64(n)*apart + t.key.size + t.element.size
}

// memoryTypes holds the types of messages that have been examined, by [reflect.Type].
var memoryTypes sync.Map

// memoryTypeOf returns the description of the type of a message.
func memoryTypeOf(t reflect.Type) *memoryType {
	if known, ok := memoryTypes.Load(t); ok {
		return known.(*memoryType)
	}
	known := map[reflect.Type]*memoryType{}
	m := newMemoryType(t, known)
	var perValue, perElement int64
	for _, part := range known {
		value, element := part.pointees+mismatchBytes, part.elementBytes
		if part.kind == memoryMap || part.kind == memoryAny {
			value, element = value+2*part.mapBytes(1), max(element, 2*(part.mapBytes(mapGroup+1)-mapHeaderBytes)/(mapGroup+1))
		}
		perValue, perElement = max(perValue, value), max(perElement, element)
	}
	const perTextByte = 24
	m.maxPerByte = perValue + perElement + perTextByte
	memoryTypes.Store(t, m)
	return m
}

var (
	rawType         = reflect.TypeFor[RawMessage]()
	unmarshalerType = reflect.TypeFor[cbor.Unmarshaler]()
)

// newMemoryType returns the description of t. known holds those of the message so far, since types
// may contain themselves.
func newMemoryType(t reflect.Type, known map[reflect.Type]*memoryType) *memoryType {
	if m, ok := known[t]; ok {
		return m
	}
	m := &memoryType{size: int64(t.Size())}
	known[t] = m
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
		m.pointees += int64(t.Size())
	}
	if t == rawType || reflect.PointerTo(t).Implements(unmarshalerType) {
		m.kind = memoryRaw
		return m
	}
	switch t.Kind() {
	case reflect.String:
		m.kind = memoryString
	case reflect.Slice, reflect.Array:
		m.kind, m.element = memorySlice, newMemoryType(t.Elem(), known)
		m.elementBytes = m.element.size
		if t.Kind() == reflect.Array {
			m.kind, m.elementBytes = memoryArray, 0
		}
	case reflect.Map:
		m.kind, m.key, m.element = memoryMap, newMemoryType(t.Key(), known), newMemoryType(t.Elem(), known)
	case reflect.Struct:
		m.kind, m.byName = memoryStruct, map[string]int{}
		m.addFields(t, known)
	case reflect.Interface:
		m.kind, m.key, m.element, m.elementBytes = memoryAny, m, m, anyBytes
		m.pointees += 2 * anyBytes // The value, and the head of a string or a slice.
	}
	return m
}

// addFields adds the fields of a struct, first its own, then those of embedded structs.
func (t *memoryType) addFields(s reflect.Type, known map[reflect.Type]*memoryType) {
	var embedded []reflect.Type
	for i := range s.NumField() {
		f := s.Field(i)
		tag, ok := f.Tag.Lookup("cbor")
		if !ok {
			tag = f.Tag.Get("json")
		}
		if tag == "-" {
			continue
		}
		name, _, _ := strings.Cut(tag, ",")
		if f.Anonymous && name == "" {
			e := f.Type
			if e.Kind() == reflect.Pointer {
				e = e.Elem()
				t.pointees += int64(e.Size())
			}
			if e.Kind() == reflect.Struct {
				embedded = append(embedded, e)
				continue
			}
		}
		if !f.IsExported() {
			continue
		}
		if name == "" {
			name = f.Name
		}
		if _, ok := t.byName[name]; !ok {
			t.byName[name] = len(t.fields)
			t.fields = append(t.fields, memoryField{name, newMemoryType(f.Type, known)})
		}
	}
	for _, e := range embedded {
		t.addFields(e, known)
	}
}
