package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// CommandSet numbers the sets of commands that a build can apply. Each set contains those
// before it.
type CommandSet uint

const (
	// CommandSetZones adds [Evacuate] to the first commands, for which builds declare
	// nothing.
	CommandSetZones CommandSet = 1
	// CommandSetReform adds [Reform].
	CommandSetReform CommandSet = 2
	// ownCommandSet is the set that this build can apply.
	ownCommandSet = CommandSetReform
)

const (
	// commandSetsInterval is the pause between two rounds of requests to the members that
	// have not declared the command set of this build.
	commandSetsInterval = time.Second
	// commandSetsTimeout bounds the requests before a command is proposed. A member that
	// does not reply within it counts with its last declaration.
	commandSetsTimeout = 300 * time.Millisecond
	// commandSetsTTL is the age of declarations up to which they are not requested again.
	commandSetsTTL = 500 * time.Millisecond
	// commandSetsFile is the name of the file that keeps the declarations, so that a
	// group of which a voter is lost together with all processes still takes orders.
	commandSetsFile = "commands"
)

// commandSets holds the command sets that replicas have declared. It is safe for
// concurrent use.
type commandSets struct {
	mu       sync.Mutex
	declared map[quorum.ReplicaID]CommandSet
	unsaved  bool       // declared differs from the file
	askedAt  types.Mono // when all members were asked last
	asked    bool
}

// load reads the declarations that save has written. Unreadable ones are ignored, since
// members declare them again.
func (s *commandSets) load(dir string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declared = map[quorum.ReplicaID]CommandSet{}
	b, err := os.ReadFile(filepath.Join(dir, commandSetsFile))
	if err != nil {
		return
	}
	if declared, err := types.DecodeStored[map[quorum.ReplicaID]CommandSet](b); err == nil && declared != nil {
		s.declared = declared
	}
}

// set records a declaration.
func (s *commandSets) set(id quorum.ReplicaID, declared CommandSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.declared[id]; !ok || last != declared {
		s.declared[id], s.unsaved = declared, true
	}
}

// save writes the declarations of the members of the group, and drops those of others. It
// does nothing if no declaration has changed since the last successful call.
func (s *commandSets) save(disk store.Disk, dir string, members quorum.Members) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unsaved {
		return nil
	}
	for id := range s.declared {
		if !members.Has(id) {
			delete(s.declared, id)
		}
	}
	err := disk.WriteFile(dir, commandSetsFile, types.Encode(s.declared))
	s.unsaved = err != nil
	return err
}

func (s *commandSets) get(id quorum.ReplicaID) CommandSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.declared[id]
}

// expired reports whether the members were asked longer than commandSetsTTL ago, and if
// so, records that they are asked now.
func (s *commandSets) expired(now types.Mono) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asked && now.Sub(s.askedAt) < commandSetsTTL {
		return false
	}
	s.asked, s.askedAt = true, now
	return true
}

// maintainCommandSets asks the members of the group which commands they can apply, until
// all have declared the set of this build. All control hosts do, so that any new leader
// knows. It runs until ctx ends.
func (c *Control) maintainCommandSets(ctx context.Context) error {
	for types.Sleep(ctx, commandSetsInterval) {
		s := c.replica.Status()
		c.askCommandSets(ctx, s, func(m quorum.Member) bool { return c.commandSets.get(m.ID) < ownCommandSet })
	}
	return nil
}

// askCommandSets asks those members for which ask returns true, at the same time, and
// records what they declare. A host whose data directory is new replies for another
// replica than the member.
func (c *Control) askCommandSets(ctx context.Context, s quorum.Status, ask func(quorum.Member) bool) {
	ctx, cancel := context.WithTimeout(ctx, commandSetsTimeout)
	defer cancel()
	var group errgroup.Group
	for _, m := range s.Members.All() {
		if m.ID != s.ID && ask(m) {
			group.Go(func() error {
				reply, err := c.sendHello(ctx, string(m.Host))
				if err == nil && s.Members.Has(reply.ID) {
					c.commandSets.set(reply.ID, reply.Commands)
				}
				return nil
			})
		}
	}
	_ = group.Wait() // Members that do not reply keep their last declaration.
	if err := c.commandSets.save(c.Disk, c.Dir, s.Members); err != nil {
		c.Log.Write(event.DiskIOFailed, event.Fields{"path": commandSetsFile, "error": err.Error()})
	}
}

// refuseCommandSet returns why commands of the given set must not be proposed, or the
// empty string if they may: each voter has declared that it can apply them, and each
// learner that replies, since it may become a voter.
func (c *Control) refuseCommandSet(ctx context.Context, needed CommandSet) string {
	s := c.replica.Status()
	if c.commandSets.expired(c.Clock()) {
		c.askCommandSets(ctx, s, func(quorum.Member) bool { return true })
	}
	var missing []string
	for _, m := range s.Members.All() {
		lost := !s.Members.IsVoter(m.ID) && s.SinceLastReply[m.ID] > voterTimeout
		if m.ID != s.ID && !lost && c.commandSets.get(m.ID) < needed {
			missing = append(missing, string(m.Host))
		}
	}
	if len(missing) == 0 {
		return ""
	}
	slices.Sort(missing)
	return fmt.Sprintf("control hosts that have not declared that they can apply the order: %s", strings.Join(missing, ", "))
}
