package config

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// NodeSettings holds the settings of one process of a fleet whose hosts discover
// each other through a few seed addresses.
type NodeSettings struct {
	// Host is the name of the host, unique in the fleet.
	Host types.HostID `toml:"host"`
	// Zone is the availability zone.
	Zone types.ZoneID `toml:"zone"`
	// Address is the IP address at which other hosts reach this one.
	Address string `toml:"address"`
	// Bind is the IP address on which the host listens for other hosts. The
	// default is Address.
	Bind string `toml:"bind"`
	// PeerPorts are the first and the last of the ports reserved for the
	// fleet, the same on every host. The first serves other hosts, the last
	// serves metrics.
	PeerPorts []int `toml:"peerPorts"`
	// Seeds are the addresses of one to three control hosts. Their ports are
	// ignored, since all hosts use the same peer ports.
	Seeds []string `toml:"seeds"`
	// Founding is set when the whole fleet starts for the first time and has
	// to be bootstrapped.
	Founding bool `toml:"founding"`
	// DataDir is the directory for durable state, required on control hosts
	// and stores.
	DataDir string `toml:"dataDir"`
	// CallerListen is the address on which an entry host accepts callers.
	CallerListen string `toml:"callerListen"`
	// ReadyListen is the address on which an entry host serves readiness
	// checks. If empty, it serves none.
	ReadyListen string `toml:"readyListen"`
	// OperatorListen is the address on which a control host accepts orders of
	// operators. If empty, it accepts none.
	OperatorListen string `toml:"operatorListen"`
	// Losses is the number of hosts with a disk whose simultaneous loss the
	// fleet must survive.
	Losses int `toml:"losses"`
	// ZoneLosses is the number of availability zones whose loss, instead of that of single
	// hosts, the fleet must survive: 0, the default, or 1.
	ZoneLosses int `toml:"zoneLosses"`
	// MemoryMB is the memory available to the process, in units of 2^20 bytes.
	// 0 means no limit.
	MemoryMB int64 `toml:"memoryMB"`
	// GraceSeconds is the time that the process has to stop after SIGTERM, in
	// seconds. The default is 30.
	GraceSeconds float64 `toml:"graceSeconds"`
	// MaxKeyStalenessMS is how long an entry host that cannot reach the control
	// hosts may go on accepting a revoked key, in milliseconds. 0 means no
	// bound.
	MaxKeyStalenessMS float64 `toml:"keyStaleMS"`
	// TargetListAddress is the address of the platform's list of targets. It is
	// empty if the platform has none.
	TargetListAddress string `toml:"targetList"`
	// ColdOver and ColdSlack bound the requests that a cold target gets in any second:
	// ColdOver times the rate of its service plus ColdSlack. The defaults are 1 and 0.
	ColdOver  float64 `toml:"coldOver"`
	ColdSlack float64 `toml:"coldSlack"`
	// TargetPace limits the requests to targets that recover from failures.
	TargetPace bool `toml:"targetPace"`
	// PaceSelective makes TargetPace wait until a target has reported how slow its machine
	// is at the moment, or the plan bounds the requests that cold targets get.
	PaceSelective bool `toml:"paceSelective"`
	// CatchUpSeconds is the time after which the next host may be lost, counted from when a
	// host is back with an empty disk, in seconds. Stores copy their shards within it. 0, the
	// default, means that it is unknown: they copy at a fixed rate.
	CatchUpSeconds float64 `toml:"catchUpSeconds"`
	// LinkMbps is the bandwidth of the host's link, in 10^6 bits per second. Copies of shards
	// take a part of it only. 0, the default, means that it is unknown.
	LinkMbps float64 `toml:"linkMbps"`
	// SecretFile is the file with the secret that all hosts share. Without it,
	// anyone who can reach the peer ports is trusted.
	SecretFile string `toml:"secretFile"`
}

// ParseNodeSettings decodes and validates the settings of one process. The error,
// if any, is of type [Findings].
func ParseNodeSettings(file string, b []byte) (NodeSettings, error) {
	return parse(file, b, checkNodeSettings)
}

// maxSeeds is the maximum number of seeds.
const maxSeeds = 3

func checkNodeSettings(n *NodeSettings, found *Findings) {
	checkName(found, "host", n.Host)
	checkName(found, "zone", n.Zone)
	if net.ParseIP(n.Address) == nil {
		found.add("address", "%q is not an IP address", n.Address)
	}
	if n.Bind != "" && net.ParseIP(n.Bind) == nil {
		found.add("bind", "%q is not an IP address", n.Bind)
	}
	if len(n.PeerPorts) != 2 || n.PeerPorts[0] <= 0 || n.PeerPorts[1] <= n.PeerPorts[0] {
		found.add("peerPorts", "must be the first and the last port of a range of at least two")
	}
	if len(n.Seeds) == 0 || len(n.Seeds) > maxSeeds {
		found.add("seeds", "%d seeds are listed, expected 1 to %d", len(n.Seeds), maxSeeds)
	}
	for i, s := range n.Seeds {
		checkAddress(found, fmt.Sprintf("seeds.%d", i), s)
	}
	if n.Losses < 0 {
		found.add("losses", "%d is negative", n.Losses)
	}
	if n.ZoneLosses < 0 || n.ZoneLosses > 1 {
		found.add("zoneLosses", "%d is not 0 or 1", n.ZoneLosses)
	}
	checkBound(found, "coldOver", n.ColdOver, maxColdBound)
	checkBound(found, "coldSlack", n.ColdSlack, maxColdBound)
	checkBound(found, "catchUpSeconds", n.CatchUpSeconds, maxCatchUpSeconds)
	checkBound(found, "linkMbps", n.LinkMbps, maxLinkMbps)
}

const (
	// maxColdBound is the maximum of the settings that bound the requests to cold targets.
	maxColdBound = 1e6
	// maxCatchUpSeconds is a day, and maxLinkMbps 1 Tbit/s. Higher values are taken for
	// mistakes of the unit.
	maxCatchUpSeconds = 86400
	maxLinkMbps       = 1e6
)

func checkBound(found *Findings, path string, value, most float64) {
	if !(value >= 0 && value <= most) { // Also if it is not a number.
		found.add(path, "%v is not a number from 0 to %v", value, most)
	}
}

// PeerAddress returns the address at which other hosts reach this one.
func (n NodeSettings) PeerAddress() string { return n.peerAt(n.Address) }

// PeerListen returns the address on which this host listens for other hosts.
func (n NodeSettings) PeerListen() string {
	if n.Bind != "" {
		return n.peerAt(n.Bind)
	}
	return n.PeerAddress()
}

// SeedPeerAddresses returns the peer addresses of the seeds.
func (n NodeSettings) SeedPeerAddresses() []string {
	var peers []string
	for _, s := range n.Seeds {
		host, _, err := net.SplitHostPort(s)
		if err == nil { // Always nil for validated settings.
			peers = append(peers, n.peerAt(host))
		}
	}
	return peers
}

func (n NodeSettings) peerAt(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(n.PeerPorts[0]))
}

// MetricsAddress returns the address on which the process serves its metrics.
func (n NodeSettings) MetricsAddress() string {
	return net.JoinHostPort(n.Address, strconv.Itoa(n.PeerPorts[1]))
}

// Grace returns the time that the process has to stop after SIGTERM.
func (n NodeSettings) Grace() time.Duration {
	if n.GraceSeconds <= 0 {
		return defaultGracePeriod
	}
	return time.Duration(n.GraceSeconds * float64(time.Second))
}

// CatchUp returns the time after which the next host may be lost, or 0 if it is unknown.
func (n NodeSettings) CatchUp() time.Duration {
	return time.Duration(n.CatchUpSeconds * float64(time.Second))
}

// LinkBytesPerSecond returns the bandwidth of the host's link, or 0 if it is unknown.
func (n NodeSettings) LinkBytesPerSecond() float64 { return n.LinkMbps * 1e6 / 8 }

// MaxKeyStaleness returns the maximum age of an entry host's copy of the keys; 0
// means no bound. It is the setting times [minClockRate], so that the setting also
// holds on a host whose clock runs slow.
func (n NodeSettings) MaxKeyStaleness() time.Duration {
	return time.Duration(minClockRate * n.MaxKeyStalenessMS * float64(time.Millisecond))
}

// minClockRate is the lowest allowed rate of one clock relative to another.
const minClockRate = 0.8

// defaultGracePeriod applies if the settings do not specify one.
const defaultGracePeriod = 30 * time.Second
