package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/limit"
)

// BenchmarkTargetDemand measures what a request to a target that names a limit costs the
// leader: one demand among those of the given number of hosts that use the target.
func BenchmarkTargetDemand(b *testing.B) {
	for _, hosts := range []int{8, 30, 100, 400} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			target := newLimitedTarget(20, hosts)
			target.now = target.now.Add(10 * time.Second)
			for n := range b.N {
				target.now = target.now.Add(time.Millisecond)
				target.renew(limit.Holder(fmt.Sprintf("host-%d/0", n%hosts)), 1, false)
			}
		})
	}
}
