package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// frameHeaderBytes is the size of a frame's header: a magic number, the length
// of the payload, the checksum of the payload and the checksum of the header
// fields before it, four bytes each in little-endian order.
const frameHeaderBytes = 16

// frameMagic is the magic number at the start of a frame. Scans search for it.
const frameMagic uint32 = 0xb5a7_51e9

// MaxFrameBytes is the maximum size of a frame's payload. It keeps a damaged
// length field from exhausting the memory.
const MaxFrameBytes = 256 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errBadFrame is returned if no intact frame starts at the given position.
var errBadFrame = errors.New("store: no intact frame")

// appendFrame appends a frame with the given payload to dst.
func appendFrame(dst, payload []byte) []byte {
	var h [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(h[0:], frameMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[12:], crc32.Checksum(h[:12], castagnoli))
	return append(append(dst, h[:]...), payload...)
}

// readFrame returns the payload of the frame at the start of b, and the bytes
// after the frame. On error, rest is b.
func readFrame(b []byte) (payload, rest []byte, err error) {
	if len(b) < frameHeaderBytes {
		return nil, b, errBadFrame
	}
	if binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, b, errBadFrame
	}
	if crc32.Checksum(b[:12], castagnoli) != binary.LittleEndian.Uint32(b[12:]) {
		return nil, b, errBadFrame
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > MaxFrameBytes || len(b)-frameHeaderBytes < n {
		return nil, b, errBadFrame
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, b, errBadFrame
	}
	return payload, b[frameHeaderBytes+n:], nil
}

// containsFrame reports whether an intact frame starts at any position in b.
func containsFrame(b []byte) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for i := 0; i+frameHeaderBytes <= len(b); i++ {
		if [4]byte(b[i:i+4]) != magic {
			continue
		}
		if _, _, err := readFrame(b[i:]); err == nil {
			return true
		}
	}
	return false
}

// lengthBytes is the size of the length field before each journal record.
const lengthBytes = 4

func appendLength(b []byte, n uint32) []byte { return binary.LittleEndian.AppendUint32(b, n) }

func decodeLength(b []byte) uint32 { return binary.LittleEndian.Uint32(b) }
