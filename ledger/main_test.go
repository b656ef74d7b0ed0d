package ledger_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of random tests unless one is given with
// -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
