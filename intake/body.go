package intake

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// firstPartBytes is the size of the first part of a body. Each further one is as large as
	// all before it, up to maxPartBytes.
	firstPartBytes = 4 << 10
	maxPartBytes   = 256 << 10
)

// ErrTooLarge is returned for a body that exceeds its limit.
var ErrTooLarge = errors.New("intake: the body is too large")

// ReadAll reads r to its end and charges h as bytes arrive, for at most as much again as has
// arrived. h is in the phase [Working] then and is no longer evicted. length is the number of
// bytes that the peer has announced, or negative if it has not. ReadAll fails with an error marked
// as [ErrTooLarge] if there are more than limit bytes; it then has read at most one more. What
// was charged stays with h.
func ReadAll(h *Holder, r io.Reader, length, limit int64) ([]byte, error) {
	b := reader{holder: h, r: io.LimitReader(r, limit+1), length: length}
	body, err := b.read()
	switch {
	case err != nil:
		return nil, err
	case int64(len(body)) > limit:
		return nil, errors.WithStack(ErrTooLarge)
	case !h.SetPhase(Working):
		return nil, errors.WithStack(ErrEvicted)
	}
	return body, nil
}

// reader reads a body in parts, which it joins in a buffer of the whole size once that is no
// larger than twice what has arrived.
type reader struct {
	holder *Holder
	r      io.Reader
	length int64 // announced length; negative if there is none

	parts [][]byte // all but the last one full
	size  int64    // sum of their lengths
	// charged is the memory of the parts. It exceeds size by no more than size and
	// firstPartBytes.
	charged int64
}

func (b *reader) read() ([]byte, error) {
	for {
		if b.length >= 0 && b.length <= 2*b.size {
			return b.readRest()
		}
		size := min(max(b.size, firstPartBytes), maxPartBytes)
		if err := b.holder.Add(size); err != nil {
			return nil, err
		}
		b.charged += size
		part := make([]byte, size)
		n, err := b.fill(part)
		b.parts, b.size = append(b.parts, part[:n]), b.size+int64(n)
		switch {
		case err == io.EOF && b.size < b.length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return b.join(b.size)
		case err != nil:
			return nil, err
		}
	}
}

// fill reads into p until it is full.
func (b *reader) fill(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = b.r.Read(p[n:])
		n += m
		b.holder.Received(int64(m))
	}
	if n == len(p) {
		err = nil
	}
	return n, err
}

// join returns the parts in one buffer of the given size, and drops them.
func (b *reader) join(size int64) ([]byte, error) {
	if len(b.parts) == 1 && size == b.size {
		return b.parts[0], nil
	}
	if err := b.holder.Add(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for _, p := range b.parts {
		body = append(body, p...)
	}
	b.parts = nil
	b.holder.Release(b.charged)
	return body, nil
}

// readRest reads the rest of a body of which half has arrived into a buffer of the whole size.
func (b *reader) readRest() ([]byte, error) {
	body, err := b.join(b.length)
	if err != nil {
		return nil, err
	}
	for len(body) < cap(body) {
		n, err := b.r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		b.holder.Received(int64(n))
		if err == io.EOF && len(body) < cap(body) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
	}
	return body, nil
}
