package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/banyanspur/banyanspur/types"
)

// Finding is one validation error of a file or a configuration.
type Finding struct {
	// File is empty and Line is 0 if the configuration was not read from a
	// file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Path is the path of the invalid item, such as "accounts.choir.rate".
	Path string `json:"path"`
	// Message gives the invalid value and what would be valid.
	Message string `json:"message"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	if f.File == "" {
		return f.Path + ": " + f.Message
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Message)
}

// Findings is an error that reports several validation errors together.
type Findings []Finding

// Error returns all findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

func (f *Findings) add(path, format string, args ...any) {
	*f = append(*f, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// errorOrNil returns f as an error, or nil if it is empty.
func (f Findings) errorOrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Check validates the configuration. The error, if any, is of type [Findings].
// The admin state machine stores its text, so the messages must be the same in
// all builds that run together.
func (f Fleet) Check() error {
	var found Findings
	for _, id := range slices.Sorted(maps.Keys(f.Accounts)) {
		f.Accounts[id].check(&found)
	}
	for _, h := range slices.Sorted(maps.Keys(f.Keys)) {
		f.checkKey(&found, h)
	}
	for _, id := range slices.Sorted(maps.Keys(f.Services)) {
		f.Services[id].check(&found)
	}
	for _, id := range slices.Sorted(maps.Keys(f.Targets)) {
		f.checkTarget(&found, f.Targets[id])
	}
	return found.errorOrNil()
}

func (a Account) check(found *Findings) {
	path := fmt.Sprintf("accounts.%s", a.ID)
	checkName(found, path, a.ID)
	if !(a.Rate > 0) || a.Rate > maxRate {
		found.add(path+".rate", "%v is not a rate above 0 and up to %v requests a second", a.Rate, maxRate)
	}
	if a.Burst < 1 || a.Burst > maxBurst {
		found.add(path+".burst", "%d is not a burst of 1 to %d requests", a.Burst, maxBurst)
	}
}

const (
	maxRate  types.PerSecond = 1e6
	maxBurst int             = 1_000_000
)

func (f Fleet) checkKey(found *Findings, h types.KeyHash) {
	path := fmt.Sprintf("keys.%.8s", string(h))
	if len(h) != len(types.HashKey("")) {
		found.add(path, "the hash has %d characters, not %d", len(h), len(types.HashKey("")))
	}
	if _, ok := f.Accounts[f.Keys[h]]; !ok {
		found.add(path, "there is no client account %q", f.Keys[h])
	}
}

func (s Service) check(found *Findings) {
	path := fmt.Sprintf("services.%s", s.ID)
	checkName(found, path, s.ID)
	if !slices.Contains([]ServiceKind{KindModel, KindTool, KindPlain}, s.Kind) {
		found.add(path+".kind", "%q is none of model, tool and plain", s.Kind)
	}
	for _, prefix := range s.NonIdempotentPrefixes {
		if !strings.HasPrefix(prefix, "/") {
			found.add(path+".nonIdempotent", "%q does not start with a slash", prefix)
		}
	}
	if s.Kind == KindModel && len(s.NonIdempotentPrefixes) > 0 {
		found.add(path+".nonIdempotent", "a model's calls are always idempotent")
	}
}

func (f Fleet) checkTarget(found *Findings, t Target) {
	path := fmt.Sprintf("targets.%s", t.ID)
	checkName(found, path, t.ID)
	if _, ok := f.Services[t.Service]; !ok {
		found.add(path+".service", "there is no service %q", t.Service)
	}
	checkAddress(found, path+".address", t.Address)
	checkName(found, path+".zone", t.Zone)
}

func checkName[S ~string](found *Findings, path string, name S) {
	if !types.ValidName(name) {
		found.add(path, "%q is not a name of 1 to %d letters, digits, dots, underscores and hyphens", string(name), types.MaxNameLength)
	}
}

func checkAddress(found *Findings, path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		found.add(path, "%q is not an IP number and a port, such as 10.0.0.7:8000", address)
	}
}
