package config_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/config"
)

// TestChangeOfSettings guards against a field that changes while the process runs although it
// needs a restart, and against one that is lost.
func TestChangeOfSettings(t *testing.T) {
	before := config.NodeSettings{Host: "store-1", Losses: 1, Seeds: []string{"10.1.0.35:8367"}, MemoryMB: 100}
	after := config.NodeSettings{Host: "store-2", Losses: 2, Seeds: []string{"10.1.0.36:8367"}, MemoryMB: 100}
	got, changed, kept := before.Change(after, func(field string) bool { return field == "host" })
	want := config.NodeSettings{Host: "store-1", Losses: 2, Seeds: []string{"10.1.0.36:8367"}, MemoryMB: 100}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([][]string{{"seeds", "losses"}, {"host"}}, [][]string{changed, kept}); diff != "" {
		t.Errorf("changed and kept fields (-want +got):\n%s", diff)
	}
}
