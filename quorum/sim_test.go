package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

const (
	quantum     = 5 * time.Millisecond
	proposeGap  = 10 * time.Millisecond
	compactGap  = 150 * time.Millisecond
	restartTime = 700 * time.Millisecond
	faultTime   = 2 * time.Second
)

// sim runs the cores of one group over a simulated clock, network and disks.
type sim struct {
	now   types.Mono
	rand  *rand.Rand
	hosts []*simHost
	wires []packet
	steps int // outputs that were carried out so far
	fault func(h *simHost)
	at    int // the step at which the fault is injected; -1 for none

	terms     map[quorum.Term]quorum.ReplicaID // the leader of each term
	committed map[quorum.Index]quorum.Entry    // what any replica applied
	acked     map[string]bool                  // commands whose proposer saw them applied
	lastAck   types.Mono
	maxGap    time.Duration // the longest time without an acknowledgement, after the first
	next      int
	problems  []string
}

// packet is a message on its way.
type packet struct {
	quorum.Message
	due types.Mono
}

// simHost is a host with its disk, which survives the replica's death.
type simHost struct {
	s       *sim
	name    types.HostID
	id      quorum.ReplicaID
	core    *quorum.Core // nil while the replica is dead
	disk    simDisk
	rate    float64 // of the host's clock
	frozen  types.Mono
	restart types.Mono // when a dead replica starts again
	cutIn   types.Mono
	cutOut  types.Mono
	mangle  func([]packet) []packet // changes what the host sends, once
	dieAt   diePoint
	stops   bool // stops in an orderly way after this step
	wiped   int
	waiting map[quorum.Index]quorum.Entry // proposals of this replica
	applied quorum.Index
}

type simDisk struct {
	hard    quorum.HardState
	snap    quorum.Snapshot
	entries []quorum.Entry
}

// diePoint tells where within a step a replica dies.
type diePoint int

const (
	dieNever diePoint = iota
	dieBeforeSync
	dieAfterSync
	dieWithDisk
)

func newSim(seed uint64, voters int) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 7)), at: -1, terms: map[quorum.Term]quorum.ReplicaID{},
		committed: map[quorum.Index]quorum.Entry{}, acked: map[string]bool{},
	}
	var members quorum.Members
	for i := range voters {
		h := &simHost{s: s, name: types.HostID(fmt.Sprintf("h%d", i)), rate: 1}
		h.id = quorum.ReplicaID(h.name + "/0")
		s.hosts = append(s.hosts, h)
		members.Voters = append(members.Voters, quorum.Member{ID: h.id, Host: h.name})
	}
	for _, h := range s.hosts {
		h.disk.snap.Members = members
		h.boot()
	}
	return s
}

func (h *simHost) clock() types.Mono { return types.Mono(float64(h.s.now) * h.rate) }

func (h *simHost) boot() {
	h.core = quorum.NewCore(quorum.Options{
		ID: h.id, Rand: h.s.rand, Start: h.clock(),
		HardState: h.disk.hard, Snapshot: h.disk.snap, Entries: h.disk.entries,
	})
	h.waiting = map[quorum.Index]quorum.Entry{}
	h.applied = h.disk.snap.Index
}

func (h *simHost) die(wipe bool) {
	h.core = nil
	h.restart = h.s.now.Add(restartTime)
	if wipe {
		h.wiped++
		h.id = quorum.ReplicaID(fmt.Sprintf("%s/%d", h.name, h.wiped))
		h.disk = simDisk{}
	}
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(quantum) {
		s.deliver()
		for _, h := range s.hosts {
			h.tick()
		}
		if time.Duration(s.now)%proposeGap == 0 {
			s.propose()
		}
		s.keepMembers()
		s.checkLeases()
		if time.Duration(s.now)%compactGap == 0 {
			s.hosts[s.rand.IntN(len(s.hosts))].compact()
		}
	}
}

func (h *simHost) awake() bool { return h.core != nil && h.s.now >= h.frozen }

func (h *simHost) tick() {
	if h.core == nil && h.s.now >= h.restart {
		h.boot()
	}
	if h.awake() {
		h.core.Tick(h.clock())
		h.flush()
	}
}

// deliver hands over the messages that are due. Those for a frozen host wait.
func (s *sim) deliver() {
	due := s.wires
	s.wires = nil
	for _, p := range due {
		h := s.host(p.To.Host())
		switch {
		case p.due > s.now || s.now < h.frozen:
			s.wires = append(s.wires, p)
		case h.core != nil && s.now >= h.cutIn && p.To == h.id:
			h.core.Step(h.clock(), p.Message)
			h.flush()
		}
	}
}

func (s *sim) host(name types.HostID) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })
	return s.hosts[i]
}

// flush carries out what the core asks for, as the shell does.
func (h *simHost) flush() {
	for h.awake() {
		out := h.core.Take() // A step may end the replica.
		if out.HardState == nil && len(out.Entries)+len(out.Now)+len(out.AfterSync)+len(out.Committed) == 0 && out.Install == nil {
			break
		}
		h.carryOut(out)
	}
	if h.core != nil && h.core.Role() == quorum.Leader {
		h.s.noteLeader(h)
	}
}

func (h *simHost) carryOut(out quorum.Output) {
	s := h.s
	if s.steps == s.at && s.fault != nil {
		s.fault(h)
	}
	s.steps++
	h.send(out.Now)
	if h.dies(dieBeforeSync) {
		return
	}
	h.persist(out)
	if h.dies(dieAfterSync) {
		return
	}
	if h.dies(dieWithDisk) {
		return
	}
	h.apply(out.Committed)
	h.send(out.AfterSync)
	if h.stops {
		h.stop()
	}
}

// stop hands the lead over and ends the replica.
func (h *simHost) stop() {
	h.stops = false
	h.core.Transfer(h.clock())
	if h.core.LeaseUntil(h.clock()) != 0 {
		h.s.problem("%s stops with a lease", h.id)
	}
	h.send(h.core.Take().Now)
	h.die(false)
}

func (h *simHost) dies(at diePoint) bool {
	if h.dieAt != at {
		return false
	}
	h.dieAt = dieNever
	h.die(at == dieWithDisk)
	return true
}

func (h *simHost) persist(out quorum.Output) {
	if out.Install != nil {
		h.disk.snap, h.disk.entries = *out.Install, nil
		h.applied = out.Install.Index
	}
	if out.HardState != nil {
		h.disk.hard = *out.HardState
	}
	if len(out.Entries) > 0 {
		keep := out.Entries[0].Index - h.disk.snap.Index - 1
		h.disk.entries = append(h.disk.entries[:keep], out.Entries...)
	}
}

func (h *simHost) send(messages []quorum.Message) {
	var packets []packet
	for _, m := range messages {
		if m.To == h.id {
			h.core.Step(h.clock(), m)
			continue
		}
		if m.Kind == quorum.MsgSnapshot {
			snap := h.disk.snap
			m.Snapshot = &snap
		}
		packets = append(packets, packet{Message: m, due: h.s.now.Add(quantum)})
	}
	if h.mangle != nil && len(packets) > 0 {
		packets = h.mangle(packets)
		h.mangle = nil
	}
	if h.s.now >= h.cutOut {
		h.s.wires = append(h.s.wires, packets...)
	}
}

func (h *simHost) apply(entries []quorum.Entry) {
	for _, e := range entries {
		h.s.noteCommitted(h, e)
		if w, ok := h.waiting[e.Index]; ok && w.Term == e.Term {
			h.s.noteAck(string(e.Data))
		}
		delete(h.waiting, e.Index)
		h.applied = e.Index
	}
}

// compact snapshots what the replica has applied.
func (h *simHost) compact() {
	if h.core == nil || h.applied == h.disk.snap.Index {
		return
	}
	snap := h.core.SnapshotAt(h.applied)
	h.disk.entries = h.core.Compact(snap)
	h.disk.snap = snap
}

// propose gives a command to every replica that thinks it leads.
func (s *sim) propose() {
	for _, h := range s.hosts {
		if !h.awake() || h.core.Role() != quorum.Leader {
			continue
		}
		s.next++
		data := fmt.Appendf(nil, "command-%d", s.next)
		i, err := h.core.Propose(h.clock(), data)
		if err == nil {
			h.waiting[i] = quorum.Entry{Term: h.core.Term()}
		}
		h.flush()
	}
}

// keepMembers does what the control host does: replicas that do not belong ask to
// join, and the leader makes learners voters.
func (s *sim) keepMembers() {
	for _, h := range s.hosts {
		if !h.awake() || h.core.Role() != quorum.Leader || s.now < h.cutIn || s.now < h.cutOut {
			continue
		}
		m := h.core.Members()
		for _, o := range s.hosts {
			if o.awake() && !m.Has(o.id) && s.now >= o.cutOut {
				m = m.WithLearner(quorum.Member{ID: o.id, Host: o.name})
			}
		}
		status := quorum.Status{Commit: h.core.Commit(), Match: map[quorum.ReplicaID]quorum.Index{}}
		for _, l := range m.Learners {
			status.Match[l.ID] = h.core.Match(l.ID)
		}
		if len(m.Learners) == len(h.core.Members().Learners) {
			m = status.NextMembers(m, 0)
		}
		_, _ = h.core.ProposeMembers(h.clock(), m)
		h.flush()
	}
}
