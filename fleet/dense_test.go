package fleet_test

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// TestDenseMessagesTakeLittleMemory guards against a message of 4 MiB that ends a control host since
// its empty elements take over a hundred times the memory once they are decoded.
func TestDenseMessagesTakeLittleMemory(t *testing.T) {
	// 64 MiB are what a configuration in the platform's format may take once it is decoded.
	const elements, maxBytes = 4 << 20, 64 << 20
	type fields map[string]any
	message := types.Encode(fields{"document": fields{"plan": fields{"routes": denseArray(elements)}}})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := types.Decode[fleet.PutPlan](message)
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > maxBytes {
		t.Errorf("a message of %d bytes allocates %d (error: %v), want at most %d", len(message), n, err, maxBytes)
	}
}

// denseArray returns a CBOR array of n empty elements.
func denseArray(n uint32) types.RawMessage {
	head := binary.BigEndian.AppendUint32([]byte{0x9a}, n)
	return append(head, bytes.Repeat([]byte{0xf6}, int(n))...)
}
