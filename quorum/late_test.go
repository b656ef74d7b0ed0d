package quorum_test

import (
	"testing"
	"time"
)

// TestElectionOnLateHosts guards against groups that elect no leader for as long as messages
// take more than a fraction of the election timeout, as on hosts that are scheduled late: a
// candidate gave up before the votes arrived, and so did the next one.
func TestElectionOnLateHosts(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 5)
		s.latency = 200 * time.Millisecond
		s.run(10 * time.Second)
		if len(s.leaders) == 0 {
			t.Errorf("seed %d: no leader was elected within 10 s", seed)
		}
	}
}
