package turns

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Register makes the store answer other processes through server.
func (s *Store) Register(server *wire.Server) {
	wire.Handle(server, KindClaim, s.claim)
	wire.Handle(server, KindClose, s.close)
	wire.Handle(server, KindChain, s.chain)
	wire.Handle(server, KindCopy, s.copyOut)
}

// claim notes a claim, answers with all that are known once it is durable, and
// has it seen by later claims from the moment on at which it is noted.
func (s *Store) claim(ctx context.Context, req ClaimRequest) (ClaimReply, error) {
	key := programKey{req.Account, req.Program}
	var reply ClaimReply
	s.mu.Lock()
	err := s.check(req.To, req.Shard, req.Epoch)
	if err == nil {
		var sp *spending
		if req.Claim.Attempt == "" {
			sp = s.index.claim(key, nil, s.Clock())
		} else {
			sp = s.index.claim(key, []Claim{req.Claim}, s.Clock())
		}
		reply.Claims = sp.claims.list()
	}
	s.mu.Unlock()
	if err != nil || req.Claim.Attempt == "" {
		return reply, err
	}
	return reply, s.save(ctx, record{Program: &Program{Account: req.Account, Program: req.Program, Claims: []Claim{req.Claim}}})
}

func (s *Store) close(ctx context.Context, req CloseRequest) (Done, error) {
	s.mu.Lock()
	err := s.check(req.To, req.Shard, req.Epoch)
	if err == nil {
		s.index.claim(programKey{req.Account, req.Program}, []Claim{req.Claim}, s.Clock())
	}
	s.mu.Unlock()
	if err != nil {
		return Done{}, err
	}
	records := []record{{Program: &Program{Account: req.Account, Program: req.Program, Claims: []Claim{req.Claim}}}}
	if req.Turn != nil {
		records = append(records, record{Turn: req.Turn})
	}
	return Done{}, s.save(ctx, records...)
}

// chainBytes bounds the turns of one reply.
const chainBytes = 1 << 20

func (s *Store) chain(_ context.Context, req ChainRequest) (ChainReply, error) {
	var reply ChainReply
	if req.To != s.id {
		return reply, errOther
	}
	size := 0
	for id := req.Turn; id != "" && size < chainBytes; {
		t, ok, err := s.read(turnKey{req.Account, id})
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
	return reply, nil
}

func (s *Store) read(key turnKey) (t Turn, ok bool, err error) {
	s.mu.RLock()
	at, ok := s.index.turns[key]
	s.mu.RUnlock()
	if !ok {
		return Turn{}, false, nil
	}
	b, err := s.journal.Read(at.place)
	if err != nil {
		s.Log.Write(event.StoreRefused, event.Fields{"error": err.Error(), "turn": key.id, "step": "read"})
		return Turn{}, false, errDisk
	}
	r, err := types.Decode[record](b)
	if err != nil || r.Turn == nil {
		return Turn{}, false, errors.Wrap(errDisk, "the record is no turn")
	}
	return *r.Turn, true, nil
}

// copyBytes bounds one reply to a store that copies a shard.
const copyBytes = 256 << 10

// copyOut answers a store that copies a shard. It serves nothing before it
// knows the map under which the copy is made: from then on it refuses writers
// who do not write to the copying store as well.
func (s *Store) copyOut(_ context.Context, req CopyRequest) (CopyReply, error) {
	s.mu.RLock()
	err := s.check(req.To, req.Shard, req.Epoch)
	s.mu.RUnlock()
	if err != nil {
		return CopyReply{}, err
	}
	reply := CopyReply{Next: req.From}
	if !req.From.Programs {
		reply.Programs = s.programsOf(req.Shard)
		reply.Next.Programs = true
	}
	keys, next, done := s.keysOf(req.Shard, req.From)
	reply.Next.Segment, reply.Next.Index, reply.Done = next.Segment, next.Index, done
	for _, key := range keys {
		t, ok, err := s.read(key)
		if err != nil {
			return CopyReply{}, err
		}
		if ok {
			reply.Turns = append(reply.Turns, t)
		}
	}
	return reply, nil
}

func (s *Store) programsOf(shard Shard) []Program {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var programs []Program
	for key, sp := range s.index.programs {
		if ShardOf(key.account, key.program) == shard && len(sp.claims) > 0 {
			programs = append(programs, Program{Account: key.account, Program: key.program, Claims: sp.claims.list()})
		}
	}
	return programs
}

// keysOf returns the turns of a shard from a position on, as many as fit one
// reply, and where to go on.
func (s *Store) keysOf(shard Shard, from Position) (keys []turnKey, next Position, done bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var numbers []uint64
	for n := range s.index.segments {
		if n >= from.Segment {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	size := 0
	next = from
	for _, n := range numbers {
		start := 0
		if n == from.Segment {
			start = from.Index
		}
		all := s.index.segments[n].keys
		for i := start; i < len(all); i++ {
			next = Position{Segment: n, Index: i + 1}
			at := s.index.turns[all[i]]
			if at.shard != shard {
				continue
			}
			keys = append(keys, all[i])
			if size += int(at.place.Length); size > copyBytes {
				return keys, next, false
			}
		}
	}
	return keys, next, true
}
