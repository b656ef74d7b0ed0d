package types_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/types"
)

const mib = 1 << 20

type part struct {
	Name   string            `json:"name,omitempty"`
	Limits map[string]large  `json:"limits,omitempty"`
	Next   *part             `json:"next,omitempty"`
	Parts  []part            `json:"parts,omitempty"`
	Labels map[string]string `json:"labels,omitempty"`
	Other  any               `json:"other,omitempty"`
	Raw    types.RawMessage  `json:"raw,omitempty"`
	embeddedPart
}

type embeddedPart struct {
	Hidden []large `json:"hidden,omitempty"`
}

type large struct {
	Numbers [32]uint64 `json:"numbers,omitempty"`
}

// list returns the CBOR array that has n times the same element.
func list(n int, element ...byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0x9a}, uint32(n)), bytes.Repeat(element, n)...)
}

// endless returns the same array without its length.
func endless(n int, element ...byte) []byte {
	return append(append([]byte{0x9f}, bytes.Repeat(element, n)...), 0xff)
}

// field returns the CBOR map with one pair.
func field(name string, value []byte) []byte {
	return append(append([]byte{0xa1}, types.Encode(name)...), value...)
}

// allocated returns the bytes that f allocates.
func allocated(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// TestDecodedMemoryIsBounded guards against messages that take far more memory than their size once
// they are decoded, of whatever parts they consist.
func TestDecodedMemoryIsBounded(t *testing.T) {
	const n, maxBytes = 2 * mib, 64 * mib // What a configuration may take once it is decoded.
	null := byte(0xf6)
	manyOf := func(count int, b []byte) []byte { return list(count, b...) }
	for name, message := range map[string][]byte{
		"empty elements":           field("parts", list(n, null)),
		"empty structs":            field("parts", list(n, 0xa0)),
		"without a length":         field("parts", endless(n, null)),
		"many arrays":              field("parts", manyOf(n/64, field("parts", list(56, null)))),
		"nested arrays":            field("parts", manyOf(1, field("parts", manyOf(1, field("parts", list(n, null)))))),
		"pointers":                 field("parts", manyOf(n/8, field("next", []byte{0xa0}))),
		"small maps":               field("parts", manyOf(n/16, field("limits", field("a", []byte{0xa0})))),
		"another case of the name": field("PARTS", list(n, null)),
		"a name in parts":          append([]byte{0xa1, 0x7f, 0x62, 'p', 'a', 0x63, 'r', 't', 's', 0xff}, list(n, null)...),
		"an embedded field":        field("hidden", list(n, null)),
		"tagged":                   field("parts", append([]byte{0xd9, 0xd9, 0xf7}, list(n, null)...)),
		"any type":                 field("other", list(n, 0xa1, 0x01, 0x02)),
		"maps of any type":         field("other", manyOf(n/8, []byte{0xa3, 0, 0, 1, 0, 2, 0})),
		"of the wrong type":        field("parts", list(n, 0x01)),
		"strings in parts":         field("parts", manyOf(n/16, field("name", []byte{0x7f, 0x61, 'a', 0x61, 'a', 0xff}))),
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			got := allocated(func() { _, err = types.Decode[part](message) })
			if got > maxBytes {
				t.Errorf("%d bytes allocate %d (error: %v), want at most %d", len(message), got, err, maxBytes)
			}
			got = allocated(func() { _, _, err = types.DecodeFirst[part](append(bytes.Clone(message), message...)) })
			if got > maxBytes+4*int64(len(message)) {
				t.Errorf("as the first of two: %d bytes allocate %d (error: %v), want at most %d", len(message), got, err, maxBytes)
			}
		})
	}
}

// TestMessagesOfTheFleetAreAccepted guards against a bound that refuses what hosts send each other:
// long lists, plans with both of their forms, and parts that are decoded later.
func TestMessagesOfTheFleetAreAccepted(t *testing.T) {
	type turn struct {
		Account, Program, ID string
		Number               uint64
	}
	type message struct {
		Epochs   []types.Epoch
		Turns    []turn
		Body     []byte
		Raw      types.RawMessage
		Loads    map[types.TargetID]map[string]int64
		Notes    []string
		Texts    map[string]string
		Optional *turn
	}
	var turns []turn
	loads := map[types.TargetID]map[string]int64{}
	texts := map[string]string{}
	for i := range 300_000 {
		turns = append(turns, turn{"account", "0123456789abcdef01234567", "0123456789abcdef01234567", uint64(i)})
	}
	for i := range 20_000 {
		id := types.TargetID(strings.Repeat("t", i%8) + string(types.Fingerprint(types.FingerprintOf([]byte{byte(i), byte(i >> 8)}))[:8]))
		loads[id] = map[string]int64{"queue": int64(i)}
		texts[string(id)] = string(id)
	}
	for name, want := range map[string]message{
		"epochs": {Epochs: make([]types.Epoch, mib)},
		"turns":  {Turns: turns},
		"plan":   {Body: make([]byte, 16*mib)},
		"raw":    {Raw: types.Encode(make([]byte, 16*mib))},
		"loads":  {Loads: loads},
		"texts":  {Texts: texts, Notes: strings.Split(strings.Repeat("a,", 100_000), ","), Optional: &turn{ID: "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := types.Encode(want)
			got, err := types.Decode[message](b)
			if err != nil {
				t.Fatalf("%d bytes: %v", len(b), err)
			}
			if diff := cmp.Diff(want.Turns, got.Turns); diff != "" {
				t.Errorf("turns (-want +got):\n%s", diff)
			}
			if len(got.Loads) != len(loads) && want.Loads != nil {
				t.Errorf("%d loads, want %d", len(got.Loads), len(loads))
			}
		})
	}
}

// TestStoredValuesStayReadable guards against durable state that an earlier build has written and
// that is refused since it is dense.
func TestStoredValuesStayReadable(t *testing.T) {
	dense := list(mib, 0xf6)
	if _, err := types.Decode[[]part](dense); !errors.Is(err, types.ErrTooDense) {
		t.Errorf("as a message: %v, want %v", err, types.ErrTooDense)
	}
	if got, err := types.DecodeStored[[]part](dense); err != nil || len(got) != mib {
		t.Errorf("as durable state: %d parts, %v", len(got), err)
	}
}

// TestRandomMessagesTakeBoundedMemory guards against encodings that the bound judges in another way
// than they are decoded.
func TestRandomMessagesTakeBoundedMemory(t *testing.T) {
	const seed, messages, size, maxBytes = 52, 200, 256 << 10, 2 * 32 * 256 << 10
	rnd := rand.New(rand.NewPCG(seed, 0))
	names := []string{"name", "limits", "next", "parts", "labels", "other", "raw", "hidden", "numbers", "Parts", "unknown"}
	var value func(b []byte, depth int) []byte
	value = func(b []byte, depth int) []byte {
		if depth > 6 {
			return append(b, 0xf6)
		}
		switch rnd.IntN(6) {
		case 0:
			return append(b, byte(rnd.IntN(24)))
		case 1:
			return append(b, types.Encode(names[rnd.IntN(len(names))])...)
		case 2:
			element := value(nil, depth+1)
			n := min(rnd.IntN(23), size/len(element))
			return append(append(b, 0x80|byte(n)), bytes.Repeat(element, n)...)
		case 3:
			element := value(nil, depth+1)
			return append(append(append(b, 0x9f), bytes.Repeat(element, min(1+rnd.IntN(100), size/len(element)))...), 0xff)
		}
		n := 1 + rnd.IntN(5)
		b = append(b, 0xa0|byte(n))
		for range n {
			b = append(b, types.Encode(names[rnd.IntN(len(names))])...)
			b = value(b, depth+1)
		}
		return b
	}
	refused := 0
	for i := range messages {
		element := value(nil, 0)
		for len(element) > size {
			element = value(nil, 0)
		}
		message := list(size/len(element), element...)
		var err error
		got := allocated(func() { _, err = types.Decode[[]part](message) })
		if got > maxBytes {
			t.Errorf("seed %d, message %d: %d bytes allocate %d (error: %v), want at most %d", seed, i, len(message), got, err, maxBytes)
		}
		if errors.Is(err, types.ErrTooDense) {
			refused++
		}
	}
	t.Logf("%d of %d messages are refused", refused, messages)
}

// BenchmarkDecode measures a small message, a list, and a large body.
func BenchmarkDecode(b *testing.B) {
	type turn struct {
		Account types.AccountID `json:"account"`
		Program types.ProgramID `json:"program"`
		Number  uint64          `json:"number"`
		Labels  []string        `json:"labels"`
	}
	type message struct {
		Host  types.HostID `json:"host"`
		Turns []turn       `json:"turns"`
		Body  []byte       `json:"body"`
	}
	for name, m := range map[string]message{
		"small": {Host: "entry-1", Turns: []turn{{"a", "program-1", 7, []string{"x", "y"}}}, Body: make([]byte, 100)},
		"list":  {Host: "entry-1", Turns: make([]turn, 10_000)},
		"large": {Host: "entry-1", Body: make([]byte, 4*mib)},
	} {
		encoded := types.Encode(m)
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(encoded)))
			for b.Loop() {
				if _, err := types.Decode[message](encoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
