package config_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/config"
)

const nodeSettings = `host = "store-1"
zone = "zone-a"
address = "10.1.0.34"
peerPorts = [7780, 7795]
seeds = ["10.1.0.35:8367", "10.2.0.41:8367"]
founding = true
dataDir = "/data"
losses = 1
memoryMB = 324
graceSeconds = 8.5
catchUpSeconds = 8
linkMbps = 130.0
targetList = "10.200.0.99:8362"
`

func TestParseNodeSettings(t *testing.T) {
	n, err := config.ParseNodeSettings("node.toml", []byte(nodeSettings))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("10.1.0.34:7780", n.PeerAddress()); diff != "" {
		t.Errorf("peer address (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"10.1.0.35:7780", "10.2.0.41:7780"}, n.SeedPeerAddresses()); diff != "" {
		t.Errorf("seed addresses (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("8.5s", n.Grace().String()); diff != "" {
		t.Errorf("grace period (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("8s", n.CatchUp().String()); diff != "" {
		t.Errorf("catch-up time (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(16.25e6, n.LinkBytesPerSecond()); diff != "" {
		t.Errorf("bandwidth (-want +got):\n%s", diff)
	}
}

func TestNodeSettingsFindings(t *testing.T) {
	for name, change := range map[string][2]string{
		"host":           {`"store-1"`, `""`},
		"address":        {`"10.1.0.34"`, `"nowhere"`},
		"peerPorts":      {`[7780, 7795]`, `[7795]`},
		"seeds":          {`["10.1.0.35:8367", "10.2.0.41:8367"]`, `[]`},
		"seeds.1":        {`"10.2.0.41:8367"`, `"10.2.0.41"`},
		"losses":         {`losses = 1`, `losses = -1`},
		"zoneLosses":     {`losses = 1`, "losses = 1\nzoneLosses = 2"},
		"coldOver":       {`losses = 1`, "losses = 1\ncoldOver = -0.5"},
		"coldSlack":      {`losses = 1`, "losses = 1\ncoldSlack = nan"},
		"catchUpSeconds": {`losses = 1`, "losses = 1\ncatchUpSeconds = -1.0"},
		"linkMbps":       {`losses = 1`, "losses = 1\nlinkMbps = inf"},
		"nonsense":       {`losses`, "nonsense = 1\nlosses"},
	} {
		_, err := config.ParseNodeSettings("node.toml", []byte(strings.Replace(nodeSettings, change[0], change[1], 1)))
		var found config.Findings
		if !errors.As(err, &found) {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if diff := cmp.Diff(name, found[0].Path); diff != "" {
			t.Errorf("path of the finding (-want +got):\n%s", diff)
		}
	}
}
