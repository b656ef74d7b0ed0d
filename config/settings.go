package config

import (
	"fmt"
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

// Role is what a process does.
type Role string

// The roles of a process.
const (
	// RoleEntry serves callers.
	RoleEntry Role = "entry"
	// RoleControl keeps replicas of the shard groups and serves operators.
	RoleControl Role = "control"
)

// Settings are what one process is told at its start.
type Settings struct {
	// Host names the host; no two processes share it.
	Host types.HostID `toml:"host"`
	// Zone is the availability zone.
	Zone types.ZoneID `toml:"zone"`
	// Roles lists what the process does.
	Roles []Role `toml:"roles"`
	// DataDir is the folder for durable state; control hosts need it.
	DataDir string `toml:"dataDir"`
	// PeerListen is where a control host listens for our other processes.
	PeerListen string `toml:"peerListen"`
	// CallerListen is where an entry host listens for callers.
	CallerListen string `toml:"callerListen"`
	// AdminListen is where the process listens for operators, health checks
	// and metrics.
	AdminListen string `toml:"adminListen"`
	// ClusterSecretFile holds the secret that our processes share.
	ClusterSecretFile string `toml:"clusterSecretFile"`
	// Groups is the number of shard groups for client accounts. It must be the
	// same everywhere and cannot be changed once the groups are formed. The
	// default is 1.
	Groups uint32 `toml:"groups"`
	// HostListFile is the platform's list of live and leaving hosts. It is
	// optional.
	HostListFile string `toml:"hostListFile"`
	// Control lists all control hosts.
	Control []ControlHost `toml:"control"`
	// Operator lists who may give orders.
	Operator []Operator `toml:"operator"`
}

// ControlHost is where a control host listens for our other processes.
type ControlHost struct {
	Host    types.HostID `toml:"host"`
	Address string       `toml:"address"`
}

// Operator may give orders.
type Operator struct {
	Name    types.OperatorID `toml:"name"`
	KeyHash types.KeyHash    `toml:"keyHash"`
}

// Has reports whether the process has the given role.
func (s Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }

// MaxControlHosts is the most hosts that may be set aside for control.
const MaxControlHosts = 13

const maxGroups = 1024

// ParseSettings reads the settings of one process. The error holds [Findings]
// for all that is wrong.
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
		found.add("clusterSecretFile", "the file with the secret that our processes share is missing")
	}
	if s.Groups > maxGroups {
		found.add("groups", "%d is more than %d groups", s.Groups, maxGroups)
	}
	s.checkControl(found)
	for i, o := range s.Operator {
		checkName(found, fmt.Sprintf("operator.%d.name", i), o.Name)
		if len(o.KeyHash) != len(types.HashKey("")) {
			found.add(fmt.Sprintf("operator.%d.keyHash", i), "the hash has %d characters, not %d", len(o.KeyHash), len(types.HashKey("")))
		}
	}
}

func (s *Settings) checkRoles(found *Findings) {
	if len(s.Roles) == 0 {
		found.add("roles", "give entry, control or both")
	}
	for _, r := range s.Roles {
		if r != RoleEntry && r != RoleControl {
			found.add("roles", "%q is neither entry nor control", r)
		}
	}
	if s.Has(RoleEntry) {
		checkAddress(found, "callerListen", s.CallerListen)
	}
	if s.Has(RoleControl) {
		checkAddress(found, "peerListen", s.PeerListen)
		if s.DataDir == "" {
			found.add("dataDir", "a control host needs a folder for its state")
		}
	}
}

func (s *Settings) checkControl(found *Findings) {
	if n := len(s.Control); n == 0 || n > MaxControlHosts {
		found.add("control", "%d control hosts are listed, not 1 to %d", n, MaxControlHosts)
	}
	self := false
	seen := map[types.HostID]bool{}
	for i, c := range s.Control {
		checkName(found, fmt.Sprintf("control.%d.host", i), c.Host)
		checkAddress(found, fmt.Sprintf("control.%d.address", i), c.Address)
		if seen[c.Host] {
			found.add(fmt.Sprintf("control.%d.host", i), "the control host %q is listed already", c.Host)
		}
		seen[c.Host] = true
		self = self || c.Host == s.Host
	}
	if s.Has(RoleControl) && !self {
		found.add("control", "this host, %q, is not listed", s.Host)
	}
}
