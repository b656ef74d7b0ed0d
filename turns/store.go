package turns

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// Store is one copy of the shards that its map names it for. Set the exported
// fields, then call [Store.Open] and [Store.Run]; the other methods are safe
// for concurrent use.
type Store struct {
	// Dir is the folder that belongs to this store alone.
	Dir string
	// Keep is how long a turn is kept at least after it was written. The
	// default is [DefaultKeep].
	Keep time.Duration
	// Clock is the process's clock.
	Clock types.Clock
	// Log receives events. The zero value discards them.
	Log event.Log

	id      StoreID
	journal *store.Journal
	queue   chan write

	mu    sync.RWMutex // guards the fields below
	index index
	now   *Map // nil until the first map is known
	whole map[Shard]Epoch
}

// DefaultKeep is how long turns are kept if the configuration says nothing.
const DefaultKeep = time.Minute

const (
	identityFile = "identity"
	journalDir   = "journal"
	// queueLength is how many writes may wait for the disk.
	queueLength = 4096
	// batchBytes bounds what shares one sync.
	batchBytes = 1 << 20
	// segmentBytes and segmentTime are when a new segment begins.
	segmentBytes = 8 << 20
	segmentTime  = 15 * time.Second
)

// record is what the journal holds; exactly one field is set.
type record struct {
	Turn    *Turn    `json:"turn,omitempty"`
	Program *Program `json:"program,omitempty"`
}

// write is a batch of records that waits for the disk.
type write struct {
	records []record
	done    chan<- error
}

// Open reads the store's folder. A folder that is damaged is emptied, and the
// store comes back under a new identity, as after a lost disk.
func (s *Store) Open() (StoreID, error) {
	s.queue = make(chan write, queueLength)
	s.whole = map[Shard]Epoch{}
	if s.Keep == 0 {
		s.Keep = DefaultKeep
	}
	err := s.open()
	if errors.Is(err, store.ErrCorrupt) {
		s.Log.Write(event.StoreCorrupt, event.Fields{"folder": s.Dir, "error": err.Error()})
		if err = os.RemoveAll(s.Dir); err != nil {
			return "", errors.Wrap(err, "turns: empty the folder")
		}
		err = s.open()
	}
	return s.id, err
}

func (s *Store) open() error {
	s.index = newIndex()
	id, err := os.ReadFile(filepath.Join(s.Dir, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		id = []byte(types.RandomID())
		err = store.WriteFile(s.Dir, identityFile, id)
	}
	if err != nil {
		return errors.Wrap(err, "turns: identity")
	}
	s.id = StoreID(id)
	s.journal, err = store.OpenJournal(filepath.Join(s.Dir, journalDir), s.replay)
	return err
}

func (s *Store) replay(at store.Location, b []byte) error {
	r, err := types.Decode[record](b)
	if err != nil {
		return errors.Mark(err, store.ErrCorrupt)
	}
	s.index.add(r, at, s.Clock())
	return nil
}

// Run writes to the disk until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	defer s.journal.Close()
	ticker := time.NewTicker(segmentTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-s.queue:
			s.writeBatch(s.gather(w))
		case <-ticker.C:
			s.rotate()
		}
		if s.journal.Size() > segmentBytes {
			s.rotate()
		}
	}
}

// gather takes the writes that wait, so that they share one sync.
func (s *Store) gather(first write) []write {
	batch := []write{first}
	size := 0
	for size < batchBytes {
		select {
		case w := <-s.queue:
			batch = append(batch, w)
			for _, r := range w.records {
				size += r.size()
			}
		default:
			return batch
		}
	}
	return batch
}

func (r record) size() int {
	if r.Turn == nil {
		return 0
	}
	return len(r.Turn.Input) + len(r.Turn.Output)
}

func (s *Store) writeBatch(batch []write) {
	var records []record
	var encoded [][]byte
	for _, w := range batch {
		for _, r := range w.records {
			records = append(records, r)
			encoded = append(encoded, types.Encode(r))
		}
	}
	places, err := s.journal.Append(encoded)
	if err != nil {
		s.Log.Write(event.StoreRefused, event.Fields{"error": err.Error(), "records": len(records)})
	} else {
		s.mu.Lock()
		now := s.Clock()
		for i, r := range records {
			s.index.add(r, places[i], now)
		}
		s.mu.Unlock()
	}
	for _, w := range batch {
		w.done <- err
	}
}

// rotate starts a new segment with the programs that are still live, so that
// older segments can go once their turns need not be kept.
func (s *Store) rotate() {
	s.mu.Lock()
	programs := s.index.live(s.Clock(), s.Keep)
	forget := s.index.forget(s.Clock(), s.Keep)
	s.mu.Unlock()
	if err := s.rewrite(programs, forget); err != nil {
		s.Log.Write(event.StoreRefused, event.Fields{"error": err.Error(), "step": "rotate"})
	}
}

func (s *Store) rewrite(programs []Program, forget uint64) error {
	if s.journal.Size() > 0 {
		if err := s.journal.Rotate(); err != nil {
			return err
		}
		var encoded [][]byte
		for _, p := range programs {
			encoded = append(encoded, types.Encode(record{Program: &p}))
		}
		if len(encoded) > 0 {
			if _, err := s.journal.Append(encoded); err != nil {
				return err
			}
		}
	}
	return s.journal.RemoveBefore(forget)
}

// save makes records durable.
func (s *Store) save(ctx context.Context, records ...record) error {
	done := make(chan error, 1)
	select {
	case s.queue <- write{records: records, done: done}:
	case <-ctx.Done():
		return errBusy
	}
	select {
	case err := <-done:
		if err != nil {
			return errDisk
		}
		return nil
	case <-ctx.Done():
		return errBusy.WithRan(types.Unknown)
	}
}

// Faults of a store.
var (
	errBusy = types.NewFault(types.CodeOverloaded, "the store's disk does not keep up").After(time.Second)
	errDisk = types.NewFault(types.CodeUnavailable, "the store's disk refuses writes").WithRan(types.Unknown).After(time.Second)
	// errEpoch tells that the request was made under an older map.
	errEpoch = types.NewFault(types.CodeConflict, "the shard has moved").After(epochPause)
	// errOther tells that the request was meant for another store.
	errOther = types.NewFault(types.CodeNotFound, "another store has this address")
	// errNoMap tells that the store does not know the map of the request yet.
	errNoMap = types.NewFault(types.CodeUnavailable, "the store waits for its map").After(epochPause)
)

// epochPause is how long a newer map usually takes to arrive.
const epochPause = 50 * time.Millisecond

// SetMap brings a newer map into force.
func (s *Store) SetMap(m *Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = m
}

// check reports whether a request under the given epoch may be served.
// Callers hold mu.
func (s *Store) check(to StoreID, shard Shard, epoch Epoch) error {
	if to != s.id {
		return errOther
	}
	if s.now == nil {
		return errNoMap
	}
	switch own := s.now.Placement(shard).Epoch; {
	case epoch < own:
		return errEpoch
	case epoch > own:
		return errNoMap
	}
	return nil
}
