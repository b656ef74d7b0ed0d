package quorum_test

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

// members returns a membership with the given hosts, named by single letters. A digit after
// a letter is the number of disks that the host has lost.
func members(voters, learners []string) quorum.Members {
	var m quorum.Members
	for _, id := range voters {
		m.Voters = append(m.Voters, quorum.Member{ID: quorum.ReplicaID(id), Host: types.HostID(id[:1])})
	}
	for _, id := range learners {
		m.Learners = append(m.Learners, quorum.Member{ID: quorum.ReplicaID(id), Host: types.HostID(id[:1])})
	}
	return m
}

// TestNextMembers guards against changes of the membership that leave a group with fewer
// spares, or without a voter that is only briefly away.
func TestNextMembers(t *testing.T) {
	const timeout = 2 * time.Second
	for _, c := range []struct {
		name                   string
		voters, learners, away []string
		wantVoters, wantLeft   []string
	}{
		{"an odd group keeps a voter that is away", []string{"a", "b", "c"}, nil, []string{"c"}, []string{"a", "b", "c"}, nil},
		{"an even group drops a voter that is away", []string{"a", "b", "c", "d"}, nil, []string{"d"}, []string{"a", "b", "c"}, nil},
		{"a learner replaces a voter that is away", []string{"a", "b", "c"}, []string{"d"}, []string{"c"}, []string{"a", "b"}, []string{"d"}},
		{"a learner that is away replaces no voter", []string{"a", "b", "c"}, []string{"d"}, []string{"c", "d"}, []string{"a", "b", "c"}, []string{"d"}},
		{"a learner that is away is no voter", []string{"a", "b", "c"}, []string{"d"}, []string{"d"}, []string{"a", "b", "c"}, []string{"d"}},
		{"an even group takes a learner and keeps a voter that is away", []string{"a", "b", "c", "d"}, []string{"e"}, []string{"d"}, []string{"a", "b", "c", "d", "e"}, nil},
		{"a learner replaces the voter of its host", []string{"a", "b", "c"}, []string{"c1"}, []string{"c"}, []string{"a", "b"}, []string{"c1"}},
		{"the second learner replies", []string{"a", "b", "c"}, []string{"d", "e"}, []string{"d"}, []string{"a", "b", "c", "e"}, []string{"d"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := members(c.voters, c.learners)
			s := quorum.Status{Commit: 10, Match: map[quorum.ReplicaID]quorum.Index{}, SinceLastReply: map[quorum.ReplicaID]time.Duration{}}
			for _, o := range m.All() {
				s.Match[o.ID] = 10
			}
			for _, id := range c.away {
				s.SinceLastReply[quorum.ReplicaID(id)] = timeout + 1
			}
			if got := s.NextMembers(m, timeout); !got.Equal(members(c.wantVoters, c.wantLeft)) {
				t.Errorf("got %+v, want voters %v and learners %v", got, c.wantVoters, c.wantLeft)
			}
		})
	}
}

// TestMembersAreReadBesideBootstrap guards against a host that reports, to one that asks while it
// founds the group, that the group exists and has no members. The other one would take part in it
// without knowing them, and never stand for election.
func TestMembersAreReadBesideBootstrap(t *testing.T) {
	want := quorum.Members{Voters: []quorum.Member{{ID: "h0/x", Host: "h0"}, {ID: "h1/x", Host: "h1"}}}
	for range 300 {
		dir := t.TempDir()
		var g errgroup.Group
		g.Go(func() error { return quorum.Bootstrap(dir, want) })
		for joined := false; !joined; {
			var got quorum.Members
			var err error
			if joined, got, err = quorum.ReadMembers(dir); err != nil {
				t.Fatal(err)
			}
			if joined && !got.Equal(want) {
				t.Errorf("the group exists with the members %+v", got)
			}
		}
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
	}
}
