//go:build crowd

package crowd_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/host"
)

// TestOperatorsExhaustControlHost guards against a control host that runs out of memory or
// descriptors since clients of its port for operators send more than they may or do not finish.
func TestOperatorsExhaustControlHost(t *testing.T) {
	invalid := fmt.Appendf(nil, `{"note":%q}`, bytes.Repeat([]byte("x"), bodyLimit))
	dense := fmt.Appendf(nil, `{"version":1000000,"routes":[%s{}]}`, bytes.Repeat([]byte("{},"), bodyLimit/3)) // Takes many times its size once it is decoded.
	rows := []row{
		{name: "unfinished plans", size: 60, do: unfinished(putConfig, bodyLimit, 0)},
		{name: "unfinished chunks", size: 60, do: chunked(putConfig, 60<<10, bodyLimit/(60<<10))},
		{name: "chunks without end", size: 60, do: chunked(putConfig, 60<<10, 16*bodyLimit/(60<<10))},
		{name: "invalid plans", size: 60, do: whole(putConfig, invalid)},
		{name: "dense plans", size: 16, do: whole(putConfig, dense)},
	}
	for i := range rows {
		rows[i].role, rows[i].port = host.NodeControl, operatorPort
	}
	runRows(t, append(rows, portRows("operators", host.NodeControl, operatorPort)...))
}

// TestClientsExhaustPorts guards against a process that runs out of memory or descriptors since
// clients of the ports for checks of readiness, metrics and other hosts do not finish.
func TestClientsExhaustPorts(t *testing.T) {
	runRows(t, portRows("readiness", host.NodeEntry, readyPort))
	runRows(t, portRows("metrics", host.NodeStore, metricsPort))
	runRows(t, portRows("peers", host.NodeStore, peerPort))
	var rows []row
	for _, role := range []host.NodeRole{host.NodeEntry, host.NodeStore, host.NodeControl} {
		rows = append(
			rows, row{name: "unfinished frames", role: role, port: peerPort, size: 32, do: frames(16<<20, true)},
			row{name: "frames of garbage", role: role, port: peerPort, size: 32, do: frames(8<<20, false)},
			row{name: "idle peers", role: role, port: peerPort, size: 450, files: 400, do: idlePeer},
		)
	}
	for i, r := range rows {
		rows[i].name = string(r.role) + ": " + r.name
	}
	runRows(t, rows)
}

// portRows returns what any port that serves HTTP must bear.
func portRows(name string, role host.NodeRole, port int) []row {
	post := post("/")
	return []row{
		{name: name + ": headers without end", role: role, port: port, size: 200, do: longHeader(240 << 10)},
		{name: name + ": slow headers", role: role, port: port, size: 200, do: slowHeader},
		{name: name + ": silent connections", role: role, port: port, size: 450, files: 400, do: silent},
		{name: name + ": idle connections", role: role, port: port, size: 450, files: 400, do: idle},
		{name: name + ": unfinished bodies", role: role, port: port, size: 60, do: unfinished(post, bodyLimit, 0)},
	}
}

// TestCallersExhaustOlderInterface guards against a process of the older interface, whose bodies
// have up to 8 MiB, that runs out of memory under many of them at once. Its settings name no
// memory; the process has a whole fleet and its targets.
func TestCallersExhaustOlderInterface(t *testing.T) {
	const port, largest, most = 18400, 8 << 20, 1024
	f := &fleet{t: t, files: deploymentFiles}
	p := &process{name: "local", address: "127.0.0.1", dir: t.TempDir(), role: "local", memoryMB: most}
	f.hosts = []*process{p}
	f.run(p, "", "local", "--port", strconv.Itoa(port), "--data", filepath.Join(p.dir, "data"))
	f.watch()
	key := ""
	for end := time.Now().Add(maxWait); key == "" && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.checkAlive(p)
		log, _ := os.ReadFile(filepath.Join(p.dir, "log")) // Created by run.
		if _, rest, found := strings.Cut(string(log), "caller's key  "); found {
			key, _, _ = strings.Cut(rest, "\n")
		}
	}
	ordinary := func(when string) {
		body := []byte(`{"model":"assistant","messages":[{"role":"user","content":"Is it free?"}]}`)
		f.retry("a call "+when, http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d/v1/chat/completions", port), http.Header{"Authorization": {"Bearer " + key}}, body)
	}
	ordinary("at first")
	head := func() string { return header(http.MethodPost, "/v1/chat/completions", key) }
	for _, do := range []behavior{unfinished(head, largest, 0), chunked(head, 60<<10, largest/(60<<10))} {
		stop := crowd(t, fmt.Sprintf("127.0.0.1:%d", port), 160, do)
		ordinary("beside the crowd")
		stop()
		ordinary("afterwards")
	}
	f.check()
}

// TestTurnsExhaustStores guards against stores that run out of memory since all entry hosts send
// them many large turns at once.
func TestTurnsExhaustStores(t *testing.T) {
	f := newFleet(t, deploymentFiles)
	var stops []func()
	for _, p := range f.hosts[6:] {
		stops = append(stops, crowd(t, fmt.Sprintf("%s:%d", p.address, callerPort), 16, whole(post("/turn/"), wholeBody)))
	}
	f.serveOrdinary(f.first(host.NodeStore), "beside the crowd")
	for _, stop := range stops {
		stop()
	}
	f.serveAll(f.first(host.NodeStore))
	f.check()
}
