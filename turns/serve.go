package turns

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Register adds the handlers of the store's requests to server.
func (s *Store) Register(server *wire.Server) {
	wire.HandleState(server, KindClaim, s.handleClaim)
	wire.HandleState(server, KindClose, s.handleClose)
	wire.Handle(server, KindChain, s.handleChain)
	wire.Handle(server, KindCopy, s.handleCopy)
	wire.Handle(server, KindList, s.handleList)
	wire.Handle(server, KindFetch, s.handleFetch)
	wire.HandleState(server, KindAdopt, s.handleAdopt)
	wire.Handle(server, KindContinued, s.handleContinued)
}

// handleClaim adds a claim and returns all claims on the program's budget that
// the store had at that moment, including the new one. It replies once the new
// claim is durable, or at once if it is held, but later requests read the claim as soon as it is added.
func (s *Store) handleClaim(ctx context.Context, req ClaimRequest) (ClaimReply, error) {
	ctx, cancel := req.Within.limit(ctx)
	defer cancel()
	s.awaitMap(ctx, req.To, req.Shard, req.Epoch)
	key, claim := programKey{req.Account, req.Program}, req.Claim
	var reply ClaimReply
	s.mu.Lock()
	err := s.checkRequest(req.To, req.Shard, req.Epoch)
	if err == nil && claim.Attempt != "" {
		err = s.checkCapacity(key, nil)
	}
	if err == nil {
		program := s.index.addRequested(key, claim, s.retained, s.Clock())
		reply = ClaimReply{Claims: program.claims.sorted(), Held: program.held.list(s.Clock())}
	}
	s.mu.Unlock()
	if err != nil || claim.Attempt == "" || claim.Hold != 0 {
		return reply, err
	}
	return reply, s.persist(ctx, record{Program: &Program{Account: req.Account, Program: req.Program, Claims: []Claim{claim}}})
}

// handleClose settles a claim and writes the turn of the request, if any. It
// replies once both are durable. It fails if the shard has moved on meanwhile:
// while the turn waits for the disk, the index does not contain it, so the copies
// of a move that has begun may lack it.
func (s *Store) handleClose(ctx context.Context, req CloseRequest) (EmptyReply, error) {
	ctx, cancel := req.Within.limit(ctx)
	defer cancel()
	s.awaitMap(ctx, req.To, req.Shard, req.Epoch)
	records := []record{{Program: &Program{Account: req.Account, Program: req.Program, Claims: []Claim{req.Claim}}}}
	s.mu.Lock()
	err := s.checkRequest(req.To, req.Shard, req.Epoch)
	if err == nil && req.Turn != nil && !s.index.hasTurn(*req.Turn) {
		err = s.checkCapacity(programKey{req.Account, req.Program}, req.Turn)
	}
	if err == nil {
		s.index.addClaims(programKey{req.Account, req.Program}, []Claim{req.Claim}, s.retained)
		if req.Turn != nil && !s.index.hasTurn(*req.Turn) { // A repeated request finds the turn written.
			turn := *req.Turn
			turn.Program = req.Program
			records = append(records, record{Turn: &turn})
		}
	}
	s.mu.Unlock()
	if err != nil {
		return EmptyReply{}, err
	}
	if err := s.enqueue(ctx, pendingWrite{records: records, skipKnown: true}); err != nil {
		return EmptyReply{}, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if err := s.checkRequest(req.To, req.Shard, req.Epoch); err != nil {
		return EmptyReply{}, types.AsFault(err).WithRan(types.MayHaveRun)
	}
	return EmptyReply{}, nil
}

// maxChainBytes is the size of inputs and outputs at which a reply to a chain
// request is full.
const maxChainBytes = 1 << 20

// handleChain returns a turn and the turns before it, newest first, as far as
// this store has them. If it lacks the turn, it returns its epochs.
func (s *Store) handleChain(_ context.Context, req ChainRequest) (ChainReply, error) {
	var reply ChainReply
	if req.To != s.id {
		return reply, errWrongStore
	}
	epochs := s.epochs() // Before the turn is looked up: afterwards, the epoch may be that of a copy that has added it.
	size := 0
	for id := req.Turn; id != "" && size < maxChainBytes; {
		t, ok, err := s.readTurn(turnKey{req.Account, id})
		if err != nil {
			return ChainReply{}, err
		}
		if !ok {
			break
		}
		reply.Turns = append(reply.Turns, t)
		size += len(t.Input) + len(t.Output)
		id = t.Previous
	}
	if len(reply.Turns) == 0 {
		reply.Epochs = epochs
	}
	return reply, nil
}

// epochs returns the epochs of all shards in the store's map, or nil if it has
// none.
func (s *Store) epochs() []Epoch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.shardMap == nil {
		return nil
	}
	epochs := make([]Epoch, 0, len(s.shardMap.Shards))
	for _, p := range s.shardMap.Shards {
		epochs = append(epochs, p.Epoch)
	}
	return epochs
}

// readTurn reads a turn from the journal. ok is false if the store lacks it.
func (s *Store) readTurn(key turnKey) (t Turn, ok bool, err error) {
	location, ok := s.turnLocation(key)
	if !ok {
		return Turn{}, false, nil
	}
	b, err := s.journal.Read(location)
	if errors.Is(err, os.ErrNotExist) { // It was rewritten, or has expired, and its segment was removed.
		if location, ok = s.turnLocation(key); !ok {
			return Turn{}, false, nil
		}
		b, err = s.journal.Read(location)
	}
	if err != nil {
		s.Log.Write(event.DiskIOFailed, event.Fields{"error": err.Error(), "turn": key.id, "step": "read"})
		return Turn{}, false, errDiskFailed
	}
	r, err := types.DecodeStored[record](b)
	if err != nil || r.Turn == nil {
		return Turn{}, false, errors.Wrap(errDiskFailed, "the record does not contain a turn")
	}
	return *r.Turn, true, nil
}

// turnLocation returns the location of a turn in the journal. ok is false if
// the store lacks it.
func (s *Store) turnLocation(key turnKey) (location store.Location, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.index.turns[key]
	if t == nil {
		return store.Location{}, false
	}
	return t.location, true
}

// maxCopyBytes is the size of turn records at which a reply to a copy request
// is full.
const maxCopyBytes = 256 << 10

// handleCopy returns one part of a shard to a store that copies it. It fails
// until this store has the map with the epoch of the copy. With that map, this
// store rejects writers with an older one, which would not write to the copying
// store.
func (s *Store) handleCopy(_ context.Context, req CopyRequest) (CopyReply, error) {
	s.mu.RLock()
	err := s.checkRequest(req.To, req.Shard, req.Epoch)
	s.mu.RUnlock()
	if err != nil {
		return CopyReply{}, err
	}
	reply := CopyReply{Next: req.From}
	if !req.From.Programs {
		reply.Programs = s.shardPrograms(req.Shard)
		reply.Next.Programs = true
	}
	keys, next, done := s.shardTurns(req.Shard, req.From)
	reply.Next.Segment, reply.Next.Index, reply.Done = next.Segment, next.Index, done
	for _, key := range keys {
		t, ok, err := s.readTurn(key)
		if err != nil {
			return CopyReply{}, err
		}
		if ok {
			reply.Turns = append(reply.Turns, t)
			reply.Ages = append(reply.Ages, s.turnAge(key))
		}
	}
	return reply, nil
}

// turnAge returns the time since a turn was last used, or 0 if the store lacks
// it.
func (s *Store) turnAge(key turnKey) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.index.turns[key]
	if t == nil {
		return 0
	}
	return s.retained.Sub(t.lastUsed)
}

// shardPrograms returns the programs of a shard that have claims.
func (s *Store) shardPrograms(shard Shard) []Program {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var programs []Program
	for key, program := range s.index.programs {
		if ShardOf(key.account, key.program) == shard && len(program.claims) > 0 {
			programs = append(programs, Program{Account: key.account, Program: key.program, Claims: program.claims.sorted()})
		}
	}
	return programs
}

// shardTurns returns the keys of a shard's turns from a position on, as many as
// one reply takes, and the position after them. done is set if there are no
// more.
func (s *Store) shardTurns(shard Shard, from Position) (keys []turnKey, next Position, done bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var segments []uint64
	for n := range s.index.segments {
		if n >= from.Segment {
			segments = append(segments, n)
		}
	}
	slices.Sort(segments)
	size := 0
	next = from
	for _, n := range segments {
		start := 0
		if n == from.Segment {
			start = from.Index
		}
		segmentKeys := s.index.segments[n].keys
		for i := start; i < len(segmentKeys); i++ {
			next = Position{Segment: n, Index: i + 1}
			indexed := s.index.turns[segmentKeys[i]]
			if indexed == nil || indexed.shard != shard || indexed.location.Segment != n {
				continue
			}
			keys = append(keys, segmentKeys[i])
			if size += int(indexed.location.Length); size > maxCopyBytes {
				return keys, next, false
			}
		}
	}
	return keys, next, true
}
