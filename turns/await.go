package turns

import (
	"context"
	"time"
)

// maxMapWait is how long a request waits for the map that it was made with. A client that is
// told at once that the store lacks the map would only send the request again.
const maxMapWait = 300 * time.Millisecond

// awaitMap waits until the store's map is as new as the one that a request was made with, ctx
// ends or maxMapWait has passed. It does not wait for a request to another store.
func (s *Store) awaitMap(ctx context.Context, to StoreID, shard Shard, epoch Epoch) {
	if to != s.id {
		return
	}
	var timeout <-chan time.Time
	for {
		changed := s.olderMap(shard, epoch)
		if changed == nil {
			return
		}
		if timeout == nil {
			timer := time.NewTimer(maxMapWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// olderMap returns nil if the store's map has at least the given epoch of a shard, or else a
// channel that is closed when the map changes.
func (s *Store) olderMap(shard Shard, epoch Epoch) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shardMap != nil && s.shardMap.Placement(shard).Epoch >= epoch {
		return nil
	}
	if s.mapChanged == nil {
		s.mapChanged = make(chan struct{})
	}
	return s.mapChanged
}
