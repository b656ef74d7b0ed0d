package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestTraceOfProgram guards against tries of a turn that cannot be found by the one ID that they share, that of their program,
// if different hosts had them.
func TestTraceOfProgram(t *testing.T) {
	dir := t.TempDir()
	args := []string{"trace", "p1"}
	for name, text := range map[string]string{
		"entry-1.log": `{"event":405,"msg":"request refused","request":"r1","status":503,"sent":false,"tookMs":900,"reason":"cannot reserve","time":"2026-01-02T10:00:00.900Z"}
{"event":407,"request":"r1","program":"p1","runs":0,"status":503,"tookMs":900,"cause":"cannot reserve","time":"2026-01-02T10:00:00.901Z"}
`,
		"entry-2.log": `{"event":406,"request":"r2","target":"t7","answered":true,"time":"2026-01-02T10:00:02.000Z"}
{"event":407,"request":"r2","program":"p1","runs":1,"status":200,"tookMs":300,"time":"2026-01-02T10:00:02.300Z"}
{"event":407,"request":"r3","program":"p2","runs":1,"status":200,"tookMs":300,"time":"2026-01-02T10:00:02.300Z"}
`,
	} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, file)
	}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), mainEnv+"=1")
	output, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	want := []string{
		"10:00:00.900 entry-1 r1: 503 after 900ms, reached no target; cannot reserve",
		"> 10:00:00.900 entry-1 405 request refused:",
		"10:00:02.000 entry-2 r2: 200 after 300ms, reached t7",
	}
	rest := string(output)
	for _, text := range want {
		i := strings.Index(rest, text)
		if i < 0 {
			t.Fatalf("%q is not printed, or not in order:\n%s", text, output)
		}
		rest = rest[i+len(text):]
	}
	if strings.Contains(string(output), "r3") {
		t.Errorf("requests of another program are printed:\n%s", output)
	}
}
