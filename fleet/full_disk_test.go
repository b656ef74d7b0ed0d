package fleet_test

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// refuseWrites makes a control host that has not been started yet unable to create its data
// directory, as on a full disk, until the returned function is called.
func refuseWrites(t *testing.T, p *process) (accept func()) {
	t.Helper()
	if err := os.WriteFile(p.dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := os.Remove(p.dir); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFleetBootstrapsAfterFullDisk guards against a fleet that never takes a change since
// the disk of one seed was full when all hosts started for the first time: a process that
// starts again is not told that the fleet starts for the first time.
func TestFleetBootstrapsAfterFullDisk(t *testing.T) {
	f := newFleet(t, 5)
	accept := refuseWrites(t, f.controls[1])
	f.runAll()
	time.Sleep(time.Second)
	accept()
	c, peers := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	f.waitForVoters(peers, 5, f.controls...)
	if diff := cmp.Diff("1 choir", readPlan(t, c)); diff != "" {
		t.Errorf("plan read back (-want +got):\n%s", diff)
	}
}
