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
	tickInterval    = 5 * time.Millisecond
	proposeInterval = 10 * time.Millisecond
	compactInterval = 150 * time.Millisecond
	restartDelay    = 700 * time.Millisecond
	faultDuration   = 2 * time.Second
)

// sim runs the cores of one group over a simulated clock, network and disks.
type sim struct {
	now       types.Mono
	rand      *rand.Rand
	hosts     []*simHost
	inTransit []packet
	steps     int // outputs that were carried out so far
	fault     func(h *simHost)
	faultStep int // the step at which the fault is injected; -1 for none

	leaders     map[quorum.Term]quorum.ReplicaID // the leader of each term
	committed   map[quorum.Index]quorum.Entry    // what any replica applied
	acked       map[string]bool                  // commands whose proposer saw them applied
	lastAck     types.Mono
	maxAckGap   time.Duration // the longest time without an acknowledgement, after the first
	nextCommand int
	violations  []string
}

// packet is a message on its way.
type packet struct {
	quorum.Message
	due types.Mono
}

// simHost is a host with its disk, which survives the replica's death.
type simHost struct {
	sim              *sim
	name             types.HostID
	id               quorum.ReplicaID
	core             *quorum.Core // nil while the replica is dead
	disk             simDisk
	clockRate        float64 // of the host's clock
	frozenUntil      types.Mono
	restartAt        types.Mono // when a dead replica starts again
	inboundCutUntil  types.Mono
	outboundCutUntil types.Mono
	alterPackets     func([]packet) []packet // changes what the host sends, once
	crashAt          crashPoint
	stopAfterStep    bool // shuts down in an orderly way after this step
	diskLosses       int
	pending          map[quorum.Index]quorum.Entry // proposals of this replica
	applied          quorum.Index
}

type simDisk struct {
	hard    quorum.HardState
	snap    quorum.Snapshot
	entries []quorum.Entry
}

// crashPoint tells where within a step a replica dies.
type crashPoint int

const (
	crashNever crashPoint = iota
	crashBeforeSync
	crashAfterSync
	crashWithDiskLoss
)

func newSim(seed uint64, voters int) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 7)), faultStep: -1, leaders: map[quorum.Term]quorum.ReplicaID{},
		committed: map[quorum.Index]quorum.Entry{}, acked: map[string]bool{},
	}
	var members quorum.Members
	for i := range voters {
		h := &simHost{sim: s, name: types.HostID(fmt.Sprintf("h%d", i)), clockRate: 1}
		h.id = quorum.ReplicaID(h.name + "/0")
		s.hosts = append(s.hosts, h)
		members.Voters = append(members.Voters, quorum.Member{ID: h.id, Host: h.name})
	}
	for _, h := range s.hosts {
		h.disk.snap.Members = members
		h.start()
	}
	return s
}

func (h *simHost) clock() types.Mono { return types.Mono(float64(h.sim.now) * h.clockRate) }

func (h *simHost) start() {
	h.core = quorum.NewCore(quorum.Options{
		ID: h.id, Rand: h.sim.rand, Start: h.clock(),
		HardState: h.disk.hard, Snapshot: h.disk.snap, Entries: h.disk.entries,
	})
	h.pending = map[quorum.Index]quorum.Entry{}
	h.applied = h.disk.snap.Index
}

func (h *simHost) crash(wipe bool) {
	h.core = nil
	h.restartAt = h.sim.now.Add(restartDelay)
	if wipe {
		h.diskLosses++
		h.id = quorum.ReplicaID(fmt.Sprintf("%s/%d", h.name, h.diskLosses))
		h.disk = simDisk{}
	}
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(tickInterval) {
		s.deliver()
		for _, h := range s.hosts {
			h.tick()
		}
		if time.Duration(s.now)%proposeInterval == 0 {
			s.propose()
		}
		s.maintainMembers()
		s.checkLeases()
		if time.Duration(s.now)%compactInterval == 0 {
			s.hosts[s.rand.IntN(len(s.hosts))].compact()
		}
	}
}

func (h *simHost) isRunning() bool { return h.core != nil && h.sim.now >= h.frozenUntil }

func (h *simHost) tick() {
	if h.core == nil && h.sim.now >= h.restartAt {
		h.start()
	}
	if h.isRunning() {
		h.core.Tick(h.clock())
		h.processOutputs()
	}
}

// deliver hands over the messages that are due. Those for a frozen host wait.
func (s *sim) deliver() {
	due := s.inTransit
	s.inTransit = nil
	for _, p := range due {
		h := s.host(p.To.Host())
		switch {
		case p.due > s.now || s.now < h.frozenUntil:
			s.inTransit = append(s.inTransit, p)
		case h.core != nil && s.now >= h.inboundCutUntil && p.To == h.id:
			h.core.Step(h.clock(), p.Message)
			h.processOutputs()
		}
	}
}

func (s *sim) host(name types.HostID) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })
	return s.hosts[i]
}

// processOutputs carries out what the core asks for, as the shell does.
func (h *simHost) processOutputs() {
	for h.isRunning() {
		out := h.core.DrainOutput() // A step may end the replica.
		if out.HardState == nil && len(out.Entries)+len(out.Immediate)+len(out.AfterSync)+len(out.Committed) == 0 && out.Install == nil {
			break
		}
		h.handleOutput(out)
	}
	if h.core != nil && h.core.Role() == quorum.Leader {
		h.sim.checkLeader(h)
	}
}

func (h *simHost) handleOutput(out quorum.Output) {
	s := h.sim
	if s.steps == s.faultStep && s.fault != nil {
		s.fault(h)
	}
	s.steps++
	h.send(out.Immediate)
	if h.crashesAt(crashBeforeSync) {
		return
	}
	h.persist(out)
	if h.crashesAt(crashAfterSync) {
		return
	}
	if h.crashesAt(crashWithDiskLoss) {
		return
	}
	h.apply(out.Committed)
	h.send(out.AfterSync)
	if h.stopAfterStep {
		h.stop()
	}
}

// stop transfers leadership and shuts the replica down.
func (h *simHost) stop() {
	h.stopAfterStep = false
	h.core.TransferLeadership(h.clock())
	if h.core.LeaseUntil(h.clock()) != 0 {
		h.sim.reportf("%s stops with a lease", h.id)
	}
	h.send(h.core.DrainOutput().Immediate)
	h.crash(false)
}

func (h *simHost) crashesAt(at crashPoint) bool {
	if h.crashAt != at {
		return false
	}
	h.crashAt = crashNever
	h.crash(at == crashWithDiskLoss)
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
		packets = append(packets, packet{Message: m, due: h.sim.now.Add(tickInterval)})
	}
	if h.alterPackets != nil && len(packets) > 0 {
		packets = h.alterPackets(packets)
		h.alterPackets = nil
	}
	if h.sim.now >= h.outboundCutUntil {
		h.sim.inTransit = append(h.sim.inTransit, packets...)
	}
}

func (h *simHost) apply(entries []quorum.Entry) {
	for _, e := range entries {
		h.sim.checkCommitted(h, e)
		if w, ok := h.pending[e.Index]; ok && w.Term == e.Term {
			h.sim.recordAck(string(e.Data))
		}
		delete(h.pending, e.Index)
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
		if !h.isRunning() || h.core.Role() != quorum.Leader {
			continue
		}
		s.nextCommand++
		data := fmt.Appendf(nil, "command-%d", s.nextCommand)
		i, err := h.core.Propose(h.clock(), data)
		if err == nil {
			h.pending[i] = quorum.Entry{Term: h.core.Term()}
		}
		h.processOutputs()
	}
}

// maintainMembers does what the control host does: replicas that do not belong ask to
// join, and the leader makes learners voters.
func (s *sim) maintainMembers() {
	for _, h := range s.hosts {
		if !h.isRunning() || h.core.Role() != quorum.Leader || s.now < h.inboundCutUntil || s.now < h.outboundCutUntil {
			continue
		}
		m := h.core.Members()
		for _, o := range s.hosts {
			if o.isRunning() && !m.Has(o.id) && s.now >= o.outboundCutUntil {
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
		h.processOutputs()
	}
}
