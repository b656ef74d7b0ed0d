package config

import (
	"fmt"
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

// Role is a function that a process performs in the fleet.
type Role string

// The roles of a process.
const (
	// RoleEntry serves callers.
	RoleEntry Role = "entry"
	// RoleControl holds replicas of the shard groups and serves operators.
	RoleControl Role = "control"
)

// Settings holds the settings of one process of a fleet whose control hosts are
// listed in advance.
type Settings struct {
	// Host is the name of the host, unique in the fleet.
	Host types.HostID `toml:"host"`
	// Zone is the availability zone.
	Zone types.ZoneID `toml:"zone"`
	// Roles lists the roles of the process, at least one.
	Roles []Role `toml:"roles"`
	// DataDir is the directory for durable state, required on control hosts.
	DataDir string `toml:"dataDir"`
	// PeerListen is the address on which a control host listens for other
	// hosts.
	PeerListen string `toml:"peerListen"`
	// CallerListen is the address on which an entry host accepts callers.
	CallerListen string `toml:"callerListen"`
	// AdminListen is the address on which the process serves operators, health
	// checks and metrics.
	AdminListen string `toml:"adminListen"`
	// ClusterSecretFile is the file with the secret that all hosts share.
	ClusterSecretFile string `toml:"clusterSecretFile"`
	// Groups is the number of shard groups for client accounts. It must be the
	// same on all hosts and cannot be changed once the groups are
	// bootstrapped. The default is 1.
	Groups uint32 `toml:"groups"`
	// HostListFile is the file in which the platform lists live and draining
	// hosts. Optional.
	HostListFile string `toml:"hostListFile"`
	// Control lists all control hosts.
	Control []ControlHost `toml:"control"`
	// Operator lists the operators who may give orders.
	Operator []Operator `toml:"operator"`
}

// ControlHost is a control host and the address at which other hosts reach it.
type ControlHost struct {
	Host    types.HostID `toml:"host"`
	Address string       `toml:"address"`
}

// Operator is the name of an operator and the hash of the key that authorizes
// the operator's orders.
type Operator struct {
	Name    types.OperatorID `toml:"name"`
	KeyHash types.KeyHash    `toml:"keyHash"`
}

// HasRole reports whether the process has the given role.
func (s Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// MaxControlHosts is the maximum number of control hosts in a fleet.
const MaxControlHosts = 13

const maxGroups = 1024

// ParseSettings decodes and validates the settings of one process. The error,
// if any, is of type [Findings].
func ParseSettings(file string, b []byte) (Settings, error) {
	s, err := parse(file, b, checkSettings)
	if s.Groups == 0 {
		s.Groups = 1
	}
	return s, err
}

func checkSettings(s *Settings, found *Findings) {
	checkName(found, "host", s.Host)
	checkName(found, "zone", s.Zone)
	s.checkRoles(found)
	if s.AdminListen != "" {
		checkAddress(found, "adminListen", s.AdminListen)
	}
	if s.ClusterSecretFile == "" {
		found.add("clusterSecretFile", "the file with the secret that all hosts share is not set")
	}
	if s.Groups > maxGroups {
		found.add("groups", "%d groups exceed the maximum of %d", s.Groups, maxGroups)
	}
	s.checkControl(found)
	for i, o := range s.Operator {
		checkName(found, fmt.Sprintf("operator.%d.name", i), o.Name)
		if len(o.KeyHash) != len(types.HashKey("")) {
			found.add(fmt.Sprintf("operator.%d.keyHash", i), "the hash has %d characters, expected %d", len(o.KeyHash), len(types.HashKey("")))
		}
	}
}

func (s *Settings) checkRoles(found *Findings) {
	if len(s.Roles) == 0 {
		found.add("roles", "must list entry, control or both")
	}
	for _, r := range s.Roles {
		if r != RoleEntry && r != RoleControl {
			found.add("roles", "%q is neither entry nor control", r)
		}
	}
	if s.HasRole(RoleEntry) {
		checkAddress(found, "callerListen", s.CallerListen)
	}
	if s.HasRole(RoleControl) {
		checkAddress(found, "peerListen", s.PeerListen)
		if s.DataDir == "" {
			found.add("dataDir", "a control host requires a directory for its state")
		}
	}
}

func (s *Settings) checkControl(found *Findings) {
	if n := len(s.Control); n == 0 || n > MaxControlHosts {
		found.add("control", "%d control hosts are listed, expected 1 to %d", n, MaxControlHosts)
	}
	self := false
	seen := map[types.HostID]bool{}
	for i, c := range s.Control {
		checkName(found, fmt.Sprintf("control.%d.host", i), c.Host)
		checkAddress(found, fmt.Sprintf("control.%d.address", i), c.Address)
		if seen[c.Host] {
			found.add(fmt.Sprintf("control.%d.host", i), "the control host %q is listed more than once", c.Host)
		}
		seen[c.Host] = true
		self = self || c.Host == s.Host
	}
	if s.HasRole(RoleControl) && !self {
		found.add("control", "this host, %q, is not listed", s.Host)
	}
}
