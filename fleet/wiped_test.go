package fleet_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// powerReturnBound is the time within which the configuration can be read again after all
// hosts have lost power, by the deployments (recover_s).
const powerReturnBound = 15 * time.Second

// TestTwoDisksLostWithPower guards against an acknowledged plan that is lost, or a group
// that does not return, when two of five control hosts lose their directories while all
// hosts lose power, right after the plan was acknowledged. The hosts in missed were away when
// the plan was put, so that only one host keeps it. Hosts 0 to 2 are the seeds.
func TestTwoDisksLostWithPower(t *testing.T) {
	for _, c := range []struct {
		name          string
		wiped, missed []int
	}{
		{"two seeds", []int{0, 1}, nil},
		{"a seed and another", []int{0, 4}, nil},
		{"no seeds", []int{3, 4}, nil},
		{"two seeds, kept by the third", []int{0, 1}, []int{3, 4}},
		{"two seeds, kept by no seed", []int{1, 2}, []int{0, 3}},
		{"no seeds, kept by a seed", []int{3, 4}, []int{0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, client, peers := newBootstrappedFleet(t)
			for _, i := range c.missed {
				f.controls[i].stop()
			}
			putPlan(t, client, 2, "choir")
			for _, p := range f.controls {
				p.stop()
			}
			for _, i := range c.wiped {
				if err := os.RemoveAll(f.controls[i].dir); err != nil {
					t.Fatal(err)
				}
			}
			start := time.Now()
			f.runAll()
			ctx, cancel := context.WithTimeout(context.Background(), powerReturnBound)
			defer cancel()
			reply, err := client.Read(ctx)
			readAfter := time.Since(start)
			if diff := cmp.Diff("2 choir", string(reply.Body)); err != nil || diff != "" {
				t.Errorf("plan read back after %v: %v (-want +got):\n%s", readAfter, err, diff)
			}
			f.waitForVoters(peers, 5, f.controls...)
			t.Logf("plan read back after %v, five voters after %v", readAfter, time.Since(start))
		})
	}
}
