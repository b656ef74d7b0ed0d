package limit_test

import (
	"fmt"
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

func ExampleBucket() {
	var b limit.Bucket
	now := types.LogTime(0)
	b.SetLimit(now, limit.Limit{Rate: 2, Burst: 1, Version: 1})
	fmt.Println(b.Take(now), b.Take(now), b.Wait(now, 1))
	now = now.Add(500 * time.Millisecond)
	fmt.Println(b.Take(now))
	// Output:
	// true false 500ms
	// true
}
