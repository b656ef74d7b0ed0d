package soak_test

import (
	"math/rand/v2"
	"sync"

	"github.com/banyanspur/banyanspur/host"
)

// fleetSize is the number of hosts of each role, and what their settings say about them.
type fleetSize struct {
	controls, stores, entries, zones int

	losses  int     // number of hosts with a disk that may be lost at once
	grace   float64 // seconds
	catchUp float64 // seconds; used if asProgram is set
	// limits holds what hosts have, by role.
	limits map[host.NodeRole]hostLimits
	// asProgram is set if hosts run the program as deploy/system.toml builds and starts it,
	// instead of the test binary.
	asProgram bool
	// plan returns the plan with a version in the platform's format.
	plan func(version int) []byte
}

// small is the size of the fleet in most tests.
var small = fleetSize{controls: 3, stores: 3, entries: 3, zones: 3, losses: 1, grace: 4, plan: planDocument}

// role returns the role of the host at an index, and its index among those of the role.
func (s fleetSize) role(i int) (host.NodeRole, int) {
	switch disks := s.controls + s.stores; {
	case i < s.controls:
		return host.NodeControl, i
	case i < disks:
		return host.NodeStore, i - s.controls
	default:
		return host.NodeEntry, i - disks
	}
}

func (f *fleet) controls() []*testHost { return f.hosts[:f.size.controls] }

// diskHosts returns the hosts with a disk, the control hosts and stores.
func (f *fleet) diskHosts() []*testHost { return f.hosts[:f.size.controls+f.size.stores] }

func (f *fleet) entries() []*testHost { return f.hosts[f.size.controls+f.size.stores:] }

// lockedSource is a source of random numbers for faults that overlap.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}
