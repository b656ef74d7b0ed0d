package soak_test

import (
	"archive/tar"
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// buildProduction builds the production commit from the history of this repository and
// returns the path of the binary. It skips the test where there is no history: outside of
// a repository and in a shallow clone.
func buildProduction(t *testing.T) string {
	t.Helper()
	if shallow, err := git("rev-parse", "--is-shallow-repository"); err != nil || shallow != "false" {
		t.Skipf("needs the history of the repository: shallow %q, %v", shallow, err)
	}
	commit, err := git("rev-parse", "--verify", "--quiet", *production+"^{commit}")
	if err != nil {
		t.Fatalf("the repository has no commit %q: %v", *production, err)
	}
	source := t.TempDir()
	archive, err := exec.Command("git", "-C", "..", "archive", "--format=tar", commit).Output()
	if err != nil {
		t.Fatal(err)
	}
	if err := extract(archive, source); err != nil {
		t.Fatal(err)
	}
	binary := filepath.Join(source, "banyanspur")
	build := exec.Command("go", "build", "-o", binary, "./cmd/banyanspur")
	build.Dir = source
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build of %s: %v\n%s", commit, err, output)
	}
	return binary
}

// git runs git in the repository and returns its output.
func git(args ...string) (string, error) {
	output, err := exec.Command("git", append([]string{"-C", ".."}, args...)...).Output()
	return strings.TrimSpace(string(output)), err
}

// extract writes the files of an archive, but for the journal, below dir.
func extract(archive []byte, dir string) error {
	for r := tar.NewReader(bytes.NewReader(archive)); ; {
		h, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if h.Typeflag != tar.TypeReg || strings.HasPrefix(h.Name, "journal/") {
			continue
		}
		name := filepath.Join(dir, filepath.FromSlash(h.Name))
		if err := os.MkdirAll(filepath.Dir(name), 0o750); err != nil {
			return err
		}
		b, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		if err := os.WriteFile(name, b, 0o600); err != nil {
			return err
		}
	}
}
