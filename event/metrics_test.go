package event_test

import (
	"io/fs"
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestMetricsAreDocumented checks that docs/METRICS.md mentions every metric
// name that occurs in the code.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	name := regexp.MustCompile("[\"`](banyanspur_[a-z_]+)")
	root := os.DirFS("..")
	found := 0
	err = fs.WalkDir(root, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := fs.ReadFile(root, path)
		for _, m := range name.FindAllSubmatch(b, -1) {
			found++
			if !strings.Contains(string(page), "`"+string(m[1])+"`") {
				t.Errorf("%s: %s is not in docs/METRICS.md", path, m[1])
			}
		}
		return err
	})
	if err != nil || found == 0 {
		t.Errorf("%d metrics found, %v", found, err)
	}
}
