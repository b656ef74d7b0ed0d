package fakes

import (
	"math/rand/v2"
	"sync"
)

// LockedSource is a source of random numbers that several goroutines may use at the same time.
type LockedSource struct {
	Source rand.Source

	mu sync.Mutex
}

// Uint64 returns the next number.
func (s *LockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Source.Uint64()
}
