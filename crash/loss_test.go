package crash_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/store"
)

// TestLosePowerInPlace guards against a loss of power in place that leaves something else than one that writes all files anew, or
// a model that differs from what is left.
func TestLosePowerInPlace(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 1))
		root := t.TempDir()
		m := &crash.Model{Root: root}
		d := store.Disk{Observe: m.Observe}
		for range 3 {
			for range 12 {
				dir, name := filepath.Join(root, fmt.Sprint("d", r.IntN(2))), fmt.Sprint("f", r.IntN(3))
				if err := d.MakeDir(dir); err != nil {
					t.Fatal(err)
				}
				var err error
				switch r.IntN(3) {
				case 0:
					err = d.WriteFile(dir, name, []byte(fmt.Sprint(r.IntN(1e9))))
				case 1:
					err = d.RemoveAll(dir, name)
				case 2:
					var j *store.Journal
					if j, err = d.OpenJournal(filepath.Join(dir, "j"), func(store.Location, []byte) error { return nil }); err == nil {
						_, err = j.Append([][]byte{[]byte(fmt.Sprint(r.IntN(1e9)))})
						_ = j.Close() // What was appended is known.
					}
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			fates := func() func(bool) crash.Fate {
				r := rand.New(rand.NewPCG(seed, 2))
				return func(isName bool) crash.Fate {
					if isName {
						return crash.Fate(r.IntN(2))
					}
					return crash.Fate(r.IntN(3))
				}
			}
			anew := t.TempDir()
			if err := m.LosePower(anew, fates()); err != nil {
				t.Fatal(err)
			}
			if _, err := m.LosePowerInPlace(fates()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(read(t, anew), read(t, root)); diff != "" {
				t.Fatalf("seed %d (-anew +in place):\n%s", seed, diff)
			}
			if n, err := m.Reconcile(); n != 0 || err != nil {
				t.Fatalf("seed %d: the model lacks %d operations, %v", seed, n, err)
			}
			if writes, names := m.Pending(); writes+names > 0 {
				t.Fatalf("seed %d: %d writes and %d names are pending", seed, writes, names)
			}
		}
	}
}
