package turns

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// Store is one replica of the shards that its [Map] assigns to it. Set the
// exported fields, then call [Store.Open] and [Store.Run]. The other methods
// are safe for concurrent use.
type Store struct {
	// Dir is the store's directory. No other store may use it.
	Dir string
	// Disk performs the operations on the files in Dir.
	Disk store.Disk
	// Clock is the process's monotonic clock.
	Clock types.Clock
	// Ticks starts the checks for expired turns, each of which ends before the
	// next tick is received. The default is a ticker. Tests in virtual time set
	// it.
	Ticks <-chan time.Time
	// Capacity is the space that the store may take. Once it is used up, the store
	// refuses new programs and then turns, but removes none before its time.
	Capacity Capacity
	// CatchUp is the time after which the next store may be lost, counted from when this
	// one is back with an empty directory. Copies end well within it, if the link
	// permits. The default, 0, copies 2 MB/s of each of up to four shards.
	CatchUp time.Duration
	// LinkBytesPerSecond is the bandwidth of the host's link, of which copies take a part
	// only. The default, 0, is for an unknown bandwidth.
	LinkBytesPerSecond float64
	// Log receives events. The zero value discards them.
	Log event.Log

	opened  time.Time // when Open was called
	id      StoreID
	journal *store.Journal
	queue   chan pendingWrite // of live writes
	copies  copyQueue
	// copiesReady has an element if copies may wait for the disk.
	copiesReady chan struct{}
	diskTimes   diskTimes // only used by Run
	// compactions requests [Store.compact] of Run, which sends its result to the channel that it
	// has received.
	compactions chan chan<- []uint64
	rotatedAt   types.Mono // when the current segment was started; only used by Run
	// spareWanted has an element if a segment is to be created ahead.
	spareWanted chan struct{}

	mu           sync.RWMutex // guards the fields below
	index        index
	shardMap     *Map            // nil until the first map is received
	mapChanged   chan struct{}   // closed when shardMap changes; nil if no request waits for that
	copiedEpochs map[Shard]Epoch // epoch at which each shard was last copied
	copier       *copier         // nil until CopyShards is called
	// retained is the time by which the ages of turns and claims are measured. It
	// starts at 0 and only advances with the checks for expired turns.
	retained types.Mono
	// retention is the age at which turns expire, or 0 as long as it is unknown
	// and none do.
	retention time.Duration
	diskLimit int64 // of the journal, by Capacity and the free space; 0 if there is none
	// diskLimitAt is when the free space was read for diskLimit.
	diskLimitAt types.Mono
	full        bool // whether the last event said that programs are refused
}

const (
	identityFile = "identity"
	journalDir   = "journal"
	// journaledPrefix begins the ID of a store that was stored after the journal had been
	// created. Earlier builds stored the ID first, and their journals have no list of segments
	// until this build has opened them.
	journaledPrefix = "j-"
	// queueCapacity is the maximum number of live writes that wait for the disk.
	queueCapacity = 4096
	// maxSegmentBytes is the size of the current segment above which a new one is
	// started.
	maxSegmentBytes = 8 << 20
	// maxBatchBytes is the size of inputs and outputs at which a batch of
	// writes that share one sync is complete. It is the most that a store writes in one sync, so
	// that with syncs of a second it still takes what a link of 64 Mbit/s brings. Copies take that
	// much only while a sync takes that long, see [diskTimes].
	maxBatchBytes = maxSegmentBytes
)

// record is a journal record. Either Turn or Program is set.
type record struct {
	Turn    *Turn    `json:"turn,omitempty"`
	Program *Program `json:"program,omitempty"`
	// age is the time since the turn was last used when the record was made. It
	// is not 0 only for a turn that was copied from another store, and is not
	// part of the journal.
	age time.Duration
}

// indexRecord is the part of a journal record that the index needs. A start decodes all records,
// and inputs and outputs are nearly all of their bytes.
type indexRecord struct {
	Turn    *turnHeader `json:"turn"`
	Program *Program    `json:"program"`
}

// turnHeader is a [Turn] without its input and output.
type turnHeader struct {
	Account  types.AccountID `json:"account"`
	ID       TurnID          `json:"id"`
	Previous TurnID          `json:"previous"`
	Shard    Shard           `json:"shard"`
	Program  types.ProgramID `json:"program"`
}

// turn returns the turn without its input and output, or nil.
func (h *turnHeader) turn() *Turn {
	if h == nil {
		return nil
	}
	return &Turn{Account: h.Account, ID: h.ID, Previous: h.Previous, Shard: h.Shard, Program: h.Program}
}

// Open reads the store's directory, which it creates if needed, and returns the
// store's ID. If the directory is corrupt or a part of it is missing, Open removes it and the
// store gets a new ID, as after the loss of a disk.
func (s *Store) Open() (StoreID, error) {
	s.opened = time.Now()
	s.Disk = s.Disk.RememberingSyncs()
	s.queue, s.copiesReady = make(chan pendingWrite, queueCapacity), make(chan struct{}, 1)
	s.compactions = make(chan chan<- []uint64)
	s.spareWanted = make(chan struct{}, 1)
	s.copiedEpochs = map[Shard]Epoch{}
	err := s.open()
	if errors.Is(err, store.ErrCorrupt) {
		s.Log.Write(event.LogCorrupt, event.Fields{"folder": s.Dir, "error": err.Error()})
		if err = s.Disk.RemoveAll(s.Dir, identityFile); err != nil {
			return "", errors.Wrap(err, "turns: remove the corrupt directory")
		}
		err = s.open()
	}
	if err == nil {
		s.updateCapacity()
	}
	return s.id, err
}

// open reads the directory. An identity without its journal is one that has lost it, and must not
// be used any more: the store would answer that turns do not exist which it has acknowledged.
func (s *Store) open() error {
	s.index = newIndex()
	if err := s.Disk.MakeDir(s.Dir); err != nil {
		return err
	}
	id, err := s.Disk.ReadFile(s.Dir, identityFile)
	if errors.Is(err, os.ErrNotExist) {
		return s.create()
	}
	if err != nil {
		return errors.Wrap(err, "turns: read the identity")
	}
	s.id = StoreID(id)
	journaled := strings.HasPrefix(string(id), journaledPrefix)
	if _, err := os.Stat(s.journalDir()); errors.Is(err, os.ErrNotExist) {
		journaled = true // Earlier builds have created the journal when the store was opened, too.
	}
	return s.openJournal(journaled)
}

// create creates the journal and then the identity of a new store. A journal without an identity
// is what remains of a store whose directory was being removed or created.
func (s *Store) create() error {
	if err := s.Disk.RemoveAll(s.journalDir()); err != nil {
		return err
	}
	s.id = StoreID(journaledPrefix + types.RandomID())
	if err := s.openJournal(false); err != nil {
		return err
	}
	if err := s.Disk.WriteFile(s.Dir, identityFile, []byte(s.id)); err != nil {
		return errors.CombineErrors(err, s.journal.Close())
	}
	return nil
}

func (s *Store) openJournal(mustExist bool) error {
	var err error
	s.journal, err = s.Disk.OpenJournalOf(store.JournalOwner{ID: string(s.id), MustExist: mustExist}, s.journalDir(), s.replay)
	return err
}

func (s *Store) journalDir() string { return filepath.Join(s.Dir, journalDir) }

// replay adds a journal record to the index.
func (s *Store) replay(location store.Location, b []byte) error {
	r, err := types.DecodeStored[indexRecord](b)
	if err != nil {
		return errors.Mark(err, store.ErrCorrupt)
	}
	s.index.add(record{Turn: r.Turn.turn(), Program: r.Program}, location, s.retained)
	return nil
}

// Faults that a store returns.
var (
	errOverloaded = types.NewFault(types.CodeOverloaded, "the store's disk does not keep up").WithRetryAfter(time.Second)
	errDiskFailed = types.NewFault(types.CodeUnavailable, "the store's disk failed to read or write").WithRan(types.MayHaveRun).WithRetryAfter(time.Second)
	// errOutdatedEpoch is returned for a request that was made with an older
	// map than the store's.
	errOutdatedEpoch = types.NewFault(types.CodeConflict, "the shard has moved").WithRetryAfter(mapRetryAfter)
	// errWrongStore is returned for a request that is addressed to another
	// store.
	errWrongStore = types.NewFault(types.CodeNotFound, "another store has this address")
	// errMapPending is returned if the store has no map yet, or an older map
	// than the one that the request was made with.
	errMapPending = types.NewFault(types.CodeUnavailable, "the store has not received the current shard map yet").WithRetryAfter(mapRetryAfter)
)

// mapRetryAfter is how long a newer map usually takes to arrive. It is the
// retry delay of faults that are due to different maps.
const mapRetryAfter = 50 * time.Millisecond

// SetMap replaces the store's map by a newer one.
func (s *Store) SetMap(m *Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shardMap = m
	if s.mapChanged != nil {
		close(s.mapChanged)
		s.mapChanged = nil
	}
}

// checkRequest returns an error unless the request is addressed to this store
// and its epoch is that of the shard in the store's map. The caller must hold
// mu.
func (s *Store) checkRequest(to StoreID, shard Shard, epoch Epoch) error {
	if to != s.id {
		return errWrongStore
	}
	if s.shardMap == nil {
		return errMapPending
	}
	switch current := s.shardMap.Placement(shard).Epoch; {
	case epoch < current:
		return errOutdatedEpoch
	case epoch > current:
		return errMapPending
	}
	return nil
}
