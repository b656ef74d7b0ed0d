package intake_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/intake"
)

// TestBodiesAreReadWhole guards against bodies that lose or gain bytes where their parts are
// joined, with and without an announced length.
func TestBodiesAreReadWhole(t *testing.T) {
	for _, size := range []int{1, 4095, 4096, 4097, 8192, 100_000, 1 << 20, 4 << 20} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i * 7)
		}
		for _, length := range []int64{-1, int64(size)} {
			b := intake.NewBudget(64 << 20)
			h := b.Open("", func() {})
			got, err := intake.ReadAll(h, iotest.HalfReader(bytes.NewReader(want)), length, 4<<20)
			if err != nil {
				t.Errorf("size %d, length %d: %v", size, length, err)
			}
			if diff := cmp.Diff(len(want), len(got)); diff != "" || !bytes.Equal(want, got) {
				t.Errorf("size %d, length %d: the body differs: %s", size, length, diff)
			}
			if held := h.Held(); held < int64(size) || held > 2*int64(size)+4<<10 {
				t.Errorf("size %d, length %d: %d bytes are held", size, length, held)
			}
			h.Close()
			if diff := cmp.Diff(int64(0), b.Used()); diff != "" {
				t.Errorf("size %d, length %d: used after the end: %s", size, length, diff)
			}
		}
	}
}

// TestAnnouncedLengthTakesNoMemory guards against peers that take memory by announcing a long
// body and sending little of it.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	b := intake.NewBudget(64 << 20)
	h := b.Open("", func() {})
	defer h.Close()
	if _, err := intake.ReadAll(h, bytes.NewReader(make([]byte, 1000)), 4<<20, 4<<20); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want %v", err, io.ErrUnexpectedEOF)
	}
	if held := h.Held(); held > 8<<10 {
		t.Errorf("%d bytes are held of a body of which 1000 have arrived", held)
	}
}

// TestLongBodiesAreRefused guards against bodies beyond the limit that are read to their end.
func TestLongBodiesAreRefused(t *testing.T) {
	h := intake.NewBudget(64<<20).Open("", func() {})
	defer h.Close()
	r := bytes.NewReader(make([]byte, 2<<20))
	if _, err := intake.ReadAll(h, r, -1, 1<<20); !errors.Is(err, intake.ErrTooLarge) {
		t.Errorf("error %v, want %v", err, intake.ErrTooLarge)
	}
	if read := r.Size() - int64(r.Len()); read > 1<<20+1 {
		t.Errorf("%d bytes were read", read)
	}
}
