package config_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

// findingLocations formats each finding as "file:line: path".
func findingLocations(t *testing.T, err error) []string {
	t.Helper()
	var found config.Findings
	if !errors.As(err, &found) {
		t.Fatalf("no findings: %v", err)
	}
	var locations []string
	for _, f := range found {
		locations = append(locations, fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Path))
	}
	return locations
}

// TestQuestionnaireFindings checks that all errors of a questionnaire are
// reported together, each with its line.
func TestQuestionnaireFindings(t *testing.T) {
	text := `[[account]]
name = "choir"
requestsPerSecond = -1.0
burst = 0
keyHashes = ["short"]

[[account]]
name = "choir"
requestsPerSecond = 1.0
burst = 1
colour = "red"

[[service]]
name = "booking"
kind = "odd"
nonIdempotent = ["deposits"]
[[service.target]]
name = "b 1"
address = "booking.example:80"
zone = "z"
`
	_, err := config.ParseQuestionnaire("q.toml", []byte(text))
	want := []string{
		"q.toml:11: account.colour",
		"q.toml:8: account.1.name",
		"q.toml:3: account.0.requestsPerSecond",
		"q.toml:4: account.0.burst",
		"q.toml:5: account.0.keyHashes",
		"q.toml:15: service.0.kind",
		"q.toml:16: service.0.nonIdempotent",
		"q.toml:17: service.0.target.0",
		"q.toml:19: service.0.target.0.address",
	}
	if diff := cmp.Diff(want, findingLocations(t, err)); diff != "" {
		t.Errorf("(-want +got):\n%s\n%v", diff, err)
	}
}

// TestSettingsFindings checks that all errors of a settings file are reported
// together.
func TestSettingsFindings(t *testing.T) {
	text := `host = "c1"
zone = "z"
roles = ["control", "cook"]
peerListen = "nowhere"
adminListen = "127.0.0.1"
[[control]]
host = "c2"
address = "127.0.0.1:1"
[[operator]]
name = "o"
keyHash = "x"
`
	_, err := config.ParseSettings("s.toml", []byte(text))
	want := []string{
		"s.toml:3: roles", "s.toml:4: peerListen", "s.toml:1: dataDir", "s.toml:5: adminListen",
		"s.toml:1: clusterSecretFile", "s.toml:1: control", "s.toml:11: operator.0.keyHash",
	}
	if diff := cmp.Diff(want, findingLocations(t, err)); diff != "" {
		t.Errorf("(-want +got):\n%s\n%v", diff, err)
	}
}

// TestIsNonIdempotent checks that all spellings of a path that a target may treat
// as equal match a non-idempotent prefix.
func TestIsNonIdempotent(t *testing.T) {
	s := config.Service{NonIdempotentPrefixes: []string{"/deposits"}}
	for path, want := range map[string]bool{
		"/deposits": true, "/deposits/7": true, "/Deposits": true, "//deposits": true, "/x/../deposits": true,
		"/%64eposits": true, "/./deposits": true, "/rooms": false, "/rooms/deposits": false,
	} {
		if diff := cmp.Diff(want, s.IsNonIdempotent(path)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", path, diff)
		}
	}
}

// TestDiff checks that applying the difference of two configurations to the
// first yields the second.
func TestDiff(t *testing.T) {
	var a, b config.Fleet
	a.Apply(config.Change{
		PutAccounts: []config.Account{{ID: "x", Rate: 1, Burst: 1}, {ID: "y", Rate: 1, Burst: 1}},
		PutKeys:     []config.Key{{Hash: types.HashKey("k"), Account: "x"}},
	})
	b.Apply(config.Change{
		PutAccounts: []config.Account{{ID: "y", Rate: 2, Burst: 1}, {ID: "z", Rate: 1, Burst: 1}},
		PutServices: []config.Service{{ID: "s", Kind: config.KindTool}},
	})
	change := a.Diff(b)
	a.Apply(change)
	a.Version = b.Version
	if diff := cmp.Diff(b, a); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if n := a.Diff(b).Size(); n != 0 {
		t.Errorf("%d differences remain", n)
	}
}

// FuzzQuestionnaire checks that an arbitrary questionnaire yields either a valid
// configuration or findings that all carry a file and a line.
func FuzzQuestionnaire(f *testing.F) {
	f.Add("[[account]]\nname = \"a\"\nrequestsPerSecond = 1.0\nburst = 1\n")
	f.Add("account = 3\n[[account]]\n")
	f.Add(strings.Repeat("[", 100))
	f.Fuzz(func(t *testing.T, text string) {
		fleet, err := config.ParseQuestionnaire("q", []byte(text))
		if err == nil {
			if err := fleet.Check(); err != nil {
				t.Error(err)
			}
			return
		}
		for _, location := range findingLocations(t, err) {
			if !strings.HasPrefix(location, "q:") || strings.HasPrefix(location, "q:0") {
				t.Errorf("finding without file or line: %s", location)
			}
		}
	})
}

// FuzzSettings checks that arbitrary settings yield either a result or findings.
func FuzzSettings(f *testing.F) {
	f.Add("host = \"a\"\nroles = [\"entry\"]\n[[control]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := config.ParseSettings("s", []byte(text)); err != nil {
			findingLocations(t, err)
		}
	})
}
