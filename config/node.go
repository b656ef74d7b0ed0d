package config

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Node is what a process of a fleet that finds itself is told at its start.
type Node struct {
	// Host names the host; no two processes share it.
	Host types.HostID `toml:"host"`
	// Zone is the availability zone.
	Zone types.ZoneID `toml:"zone"`
	// Address is the host's IP number.
	Address string `toml:"address"`
	// Bind is the IP number that the host listens on for our own processes, if
	// that is another than the one at which others reach it.
	Bind string `toml:"bind"`
	// PeerPorts are the first and the last port for our own processes. The
	// same ports are free on every host.
	PeerPorts []int `toml:"peerPorts"`
	// Seeds are the addresses of up to three control hosts. Their port is of
	// no interest: all hosts use the same ones among themselves.
	Seeds []string `toml:"seeds"`
	// Founding is set when the whole fleet starts for the first time.
	Founding bool `toml:"founding"`
	// DataDir is the folder for durable state; control hosts and stores need
	// it.
	DataDir string `toml:"dataDir"`
	// CallerListen is where an entry host takes callers.
	CallerListen string `toml:"callerListen"`
	// ReadyListen is where an entry host tells whether it takes callers.
	ReadyListen string `toml:"readyListen"`
	// OperatorListen is where a control host takes operators' orders.
	OperatorListen string `toml:"operatorListen"`
	// Losses is how many hosts with a disk may be lost at once.
	Losses int `toml:"losses"`
	// MemoryMB is what the process may use, in units of 2^20 bytes; 0 stands
	// for no limit.
	MemoryMB int64 `toml:"memoryMB"`
	// GraceSeconds is how long the process has from SIGTERM on.
	GraceSeconds float64 `toml:"graceSeconds"`
	// KeyStaleMS is how many milliseconds a withdrawn key may go on for on an
	// entry host that cannot reach the control hosts; 0 stands for as long as
	// that lasts.
	KeyStaleMS float64 `toml:"keyStaleMS"`
	// TargetList is where the platform lists targets, if it does.
	TargetList string `toml:"targetList"`
	// SecretFile holds what our processes share; without one, whoever reaches
	// the peer ports is trusted.
	SecretFile string `toml:"secretFile"`
}

// ParseNode reads the settings of one process. The error holds [Findings] for
// all that is wrong.
func ParseNode(file string, b []byte) (Node, error) { return parse(file, b, checkNode) }

// maxSeeds is how many seeds a process is told at the most.
const maxSeeds = 3

func checkNode(n *Node, found *Findings) {
	checkName(found, "host", n.Host)
	checkName(found, "zone", n.Zone)
	if net.ParseIP(n.Address) == nil {
		found.add("address", "%q is no IP number", n.Address)
	}
	if n.Bind != "" && net.ParseIP(n.Bind) == nil {
		found.add("bind", "%q is no IP number", n.Bind)
	}
	if len(n.PeerPorts) != 2 || n.PeerPorts[0] <= 0 || n.PeerPorts[1] <= n.PeerPorts[0] {
		found.add("peerPorts", "give the first and the last of at least two ports")
	}
	if len(n.Seeds) == 0 || len(n.Seeds) > maxSeeds {
		found.add("seeds", "%d seeds are listed, not 1 to %d", len(n.Seeds), maxSeeds)
	}
	for i, s := range n.Seeds {
		checkAddress(found, fmt.Sprintf("seeds.%d", i), s)
	}
	if n.Losses < 0 {
		found.add("losses", "%d is negative", n.Losses)
	}
}

// Peer is where this host answers other processes of ours.
func (n Node) Peer() string { return n.peerAt(n.Address) }

// PeerListen is where this host listens for them.
func (n Node) PeerListen() string {
	if n.Bind != "" {
		return n.peerAt(n.Bind)
	}
	return n.Peer()
}

// SeedPeers is where the seeds do.
func (n Node) SeedPeers() []string {
	var peers []string
	for _, s := range n.Seeds {
		host, _, err := net.SplitHostPort(s)
		if err == nil { // The settings were checked.
			peers = append(peers, n.peerAt(host))
		}
	}
	return peers
}

func (n Node) peerAt(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(n.PeerPorts[0]))
}

// Metrics is where the process tells its metrics.
func (n Node) Metrics() string { return net.JoinHostPort(n.Address, strconv.Itoa(n.PeerPorts[1])) }

// Grace is how long the process has from SIGTERM on.
func (n Node) Grace() time.Duration {
	if n.GraceSeconds <= 0 {
		return defaultGrace
	}
	return time.Duration(n.GraceSeconds * float64(time.Second))
}

// KeyStale is how old an entry host's knowledge of keys may be; 0 stands for no
// bound. It is shorter than the setting by the drift allowed between two clocks.
func (n Node) KeyStale() time.Duration {
	return time.Duration(clockDrift * n.KeyStaleMS * float64(time.Millisecond))
}

// clockDrift is how slow one clock may be against another.
const clockDrift = 0.8

// defaultGrace is what a process gives itself if nothing is said.
const defaultGrace = 30 * time.Second
