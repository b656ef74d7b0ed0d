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

// sim runs the cores of one group with a simulated clock, network and disks. It
// records every violation of the protocol's guarantees.
type sim struct {
	now       types.Mono
	rand      *rand.Rand
	hosts     []*simHost
	inTransit []packet
	latency   time.Duration    // time until a message is handled, besides tickInterval
	syncTime  time.Duration    // time that a write takes at least
	steps     int              // number of outputs handled so far
	fault     func(h *simHost) // injected into the host that handles output faultStep
	faultStep int              // the value of steps at which fault is injected; -1 for none
	// voterTimeout is how long unresponsive voters are kept beside a replacement, or in an
	// even group; 0 for ever.
	voterTimeout time.Duration

	leaders     map[quorum.Term]quorum.ReplicaID // the leader of each term
	committed   map[quorum.Index]quorum.Entry    // entries that any replica has applied
	acked       map[string]bool                  // commands that were applied on the replica that proposed them
	lastAck     types.Mono
	maxAckGap   time.Duration // longest time between two acknowledgements
	nextCommand int
	violations  []string
}

// packet is a message in transit.
type packet struct {
	quorum.Message
	due types.Mono
}

// simHost is a host with one replica and a disk. The disk's content survives a
// crash of the replica, unless the crash includes the loss of the disk.
type simHost struct {
	sim                    *sim
	name                   types.HostID
	id                     quorum.ReplicaID
	core                   *quorum.Core // nil while the replica is down
	disk                   simDisk
	stalledUntil           types.Mono     // when the write under way ends
	writing                *quorum.Output // being made durable, or nil
	queued                 quorum.Output  // made durable after writing
	clockRate              float64        // rate of the host's clock relative to simulated time
	suspendedUntil         types.Mono
	restartAt              types.Mono // when a crashed replica starts again
	inboundPartitionUntil  types.Mono
	outboundPartitionUntil types.Mono
	alterPackets           func([]packet) []packet // applied once, to the next packets that the host sends
	crashAt                crashPoint
	stopAfterStep          bool // shuts down in an orderly way after this step
	diskLosses             int
	pending                map[quorum.Index]quorum.Entry // proposals of this replica that are not applied yet
	applied                quorum.Index
}

// simDisk is the durable state of a replica.
type simDisk struct {
	hard    quorum.HardState
	snap    quorum.Snapshot
	entries []quorum.Entry
}

// crashPoint is the point at which a replica crashes while it handles an output.
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
	h.writing, h.queued = nil, quorum.Output{}
}

// crash ends the replica, which starts again after restartDelay, or at restartAt if that is
// later. A write that is under way may or may not become durable. If the disk is lost as well,
// the replica returns under a new ID.
func (h *simHost) crash(loseDisk bool) {
	if h.writing != nil && h.sim.rand.IntN(2) == 0 {
		h.persist(*h.writing)
	}
	h.core, h.writing = nil, nil
	h.restartAt = max(h.restartAt, h.sim.now.Add(restartDelay))
	if loseDisk {
		h.diskLosses++
		h.id = quorum.ReplicaID(fmt.Sprintf("%s/%d", h.name, h.diskLosses))
		h.disk = simDisk{}
	}
}

// run advances simulated time by d.
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

// isRunning reports whether the replica is up and not suspended.
func (h *simHost) isRunning() bool { return h.core != nil && h.sim.now >= h.suspendedUntil }

func (h *simHost) tick() {
	if h.core == nil && h.sim.now >= h.restartAt {
		h.start()
	}
	if h.isRunning() {
		h.core.Tick(h.clock())
		h.processOutputs()
	}
}

// deliver delivers the messages that are due. Messages to a suspended host are
// held back until it resumes.
func (s *sim) deliver() {
	due := s.inTransit
	s.inTransit = nil
	for _, p := range due {
		h := s.host(p.To.Host())
		switch {
		case p.due > s.now || s.now < h.suspendedUntil:
			s.inTransit = append(s.inTransit, p)
		case h.core != nil && s.now >= h.inboundPartitionUntil && p.To == h.id:
			h.core.Step(h.clock(), p.Message)
			h.processOutputs()
		}
	}
}

func (s *sim) host(name types.HostID) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })
	return s.hosts[i]
}

// processOutputs handles the outputs of the core, as quorum.Replica does.
func (h *simHost) processOutputs() {
	h.write()
	for h.isRunning() {
		out := h.core.DrainOutput() // Handling an output may crash the replica.
		if out.HardState == nil && len(out.Entries)+len(out.Immediate)+len(out.AfterSync)+len(out.Committed) == 0 && out.Install == nil {
			break
		}
		h.handleOutput(out)
	}
	if h.core != nil && h.core.Role() == quorum.Leader {
		h.sim.checkLeader(h)
	}
}

// handleOutput carries out one output, as far as it need not wait for the disk. It
// injects the fault, if it is due, and stops where the replica crashes.
func (h *simHost) handleOutput(out quorum.Output) {
	s := h.sim
	if s.steps == s.faultStep && s.fault != nil {
		s.fault(h)
	}
	s.steps++
	h.send(out.Immediate)
	if out.Install != nil {
		h.applied = out.Install.Index
	}
	h.apply(out.Committed)
	if h.writing != nil {
		h.sendContacts(out.AfterSync)
	}
	out.Immediate, out.Committed = nil, nil
	h.queued.Merge(out)
	h.write()
	if h.core != nil && h.stopAfterStep {
		h.stop()
	}
}

// write makes outputs durable in order and sends the messages that waited for them,
// until the disk stalls, the replica crashes or nothing is queued.
func (h *simHost) write() {
	for h.isRunning() {
		if h.writing == nil {
			if h.queued.HardState == nil && len(h.queued.Entries)+len(h.queued.AfterSync) == 0 && h.queued.Install == nil {
				return
			}
			h.beginWrite()
		}
		if h.sim.now < h.stalledUntil || h.crashesAt(crashBeforeSync) {
			return
		}
		out := *h.writing
		h.persist(out)
		h.writing = nil
		h.core.RecordWrite(h.sim.syncTime)
		if h.crashesAt(crashAfterSync) || h.crashesAt(crashWithDiskLoss) {
			return
		}
		h.send(out.AfterSync)
	}
}

// sendContacts tells leaders that they have been heard, for replies that wait for
// the disk.
func (h *simHost) sendContacts(replies []quorum.Message) {
	for _, m := range replies {
		if contact, ok := m.Contact(); ok && m.Term == h.disk.hard.Term {
			h.send([]quorum.Message{contact})
		}
	}
}

// stop transfers leadership and then shuts the replica down.
func (h *simHost) stop() {
	h.stopAfterStep = false
	h.core.TransferLeadership(h.clock())
	if h.core.LeaseUntil(h.clock()) != 0 {
		h.sim.reportf("%s stops while it holds a lease", h.id)
	}
	h.send(h.core.DrainOutput().Immediate)
	h.crash(false)
}

// crashesAt crashes the replica if it is to crash at the given point, and reports
// whether it did.
func (h *simHost) crashesAt(at crashPoint) bool {
	if h.crashAt != at {
		return false
	}
	h.crashAt = crashNever
	if at == crashBeforeSync {
		h.writing = nil // Nothing of it becomes durable.
	}
	h.crash(at == crashWithDiskLoss)
	return true
}

func (h *simHost) persist(out quorum.Output) {
	if out.Install != nil {
		h.disk.snap, h.disk.entries = *out.Install, nil
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
		packets = append(packets, packet{Message: m, due: h.sim.now.Add(tickInterval + h.sim.latency)})
	}
	if h.alterPackets != nil && len(packets) > 0 {
		packets = h.alterPackets(packets)
		h.alterPackets = nil
	}
	if h.sim.now >= h.outboundPartitionUntil {
		h.sim.inTransit = append(h.sim.inTransit, packets...)
	}
}

func (h *simHost) apply(entries []quorum.Entry) {
	for _, e := range entries {
		h.sim.checkCommitted(h, e)
		if p, ok := h.pending[e.Index]; ok && p.Term == e.Term {
			h.sim.recordAck(string(e.Data))
		}
		delete(h.pending, e.Index)
		h.applied = e.Index
	}
}

// compact replaces the entries that the replica has applied by a snapshot.
func (h *simHost) compact() {
	if h.core == nil || h.writing != nil || h.applied == h.disk.snap.Index {
		return
	}
	snap := h.core.SnapshotAt(h.applied)
	h.disk.entries = h.core.Compact(snap)
	h.disk.snap = snap
}

// propose proposes a command on every replica that considers itself the leader.
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

// maintainMembers changes the membership as a control host does: replicas that
// are not members become learners, and the leader turns learners into voters.
func (s *sim) maintainMembers() {
	for _, h := range s.hosts {
		if !h.isRunning() || h.core.Role() != quorum.Leader || s.now < h.inboundPartitionUntil || s.now < h.outboundPartitionUntil {
			continue
		}
		m := h.core.Members()
		for _, o := range s.hosts {
			if o.isRunning() && !m.Has(o.id) && s.now >= o.outboundPartitionUntil && o.status().ShouldJoin(o.clock(), rejoinTimeout) {
				m = m.WithLearner(quorum.Member{ID: o.id, Host: o.name})
			}
		}
		if len(m.Learners) == len(h.core.Members().Learners) {
			m = h.status().NextMembers(m, s.voterTimeout)
		}
		_, _ = h.core.ProposeMembers(h.clock(), m)
		h.processOutputs()
	}
}

// rejoinTimeout is how long a replica is without contact to a leader before it asks whether
// it is still a member.
const rejoinTimeout = time.Second

// status returns the replica's status, as far as changes of the membership need it.
func (h *simHost) status() quorum.Status {
	status := quorum.Status{
		ID: h.id, Role: h.core.Role(), Commit: h.core.Commit(), Members: h.core.Members(), LeaderContact: h.core.LastLeaderContact(),
		Match: map[quorum.ReplicaID]quorum.Index{}, SinceLastReply: map[quorum.ReplicaID]time.Duration{},
	}
	for _, m := range status.Members.All() {
		status.Match[m.ID] = h.core.Match(m.ID)
		status.SinceLastReply[m.ID] = h.core.SinceLastReply(m.ID, h.clock())
	}
	return status
}
