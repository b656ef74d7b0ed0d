//go:build crowd

package crowd_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/host"
)

// row is a crowd and the port that it is let loose on.
type row struct {
	name  string
	role  host.NodeRole
	port  int
	size  int // connections
	files int // descriptors of each host; deploymentFiles if 0
	do    behavior
}

// runRows runs the crowds one after another, each with a fleet of its own.
func runRows(t *testing.T, rows []row) {
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			files := r.files
			if files == 0 {
				files = deploymentFiles
			}
			f := newFleet(t, files)
			p := f.first(r.role)
			stop := crowd(t, fmt.Sprintf("%s:%d", p.address, r.port), r.size, r.do)
			f.serveOrdinary(p, "beside the crowd")
			f.target.releaseLate()
			stop()
			f.serveAll(p)
			f.check()
		})
	}
}

var wholeBody = bytes.Repeat([]byte("x"), bodyLimit)

// TestCallersExhaustEntryHost guards against an entry host that runs out of memory or descriptors,
// or serves nobody else, since callers send more than they may or do not finish.
func TestCallersExhaustEntryHost(t *testing.T) {
	call, turn, late := post("/call/"), post("/turn/"), post("/late/")
	unknown := func() string { return header("POST", "/call/", "key-unknown") }
	rows := []row{
		{name: "unfinished bodies", size: 32, do: unfinished(call, bodyLimit, 0)},
		{name: "unfinished turns", size: 32, do: unfinished(turn, bodyLimit, 0)},
		{name: "unfinished bodies in pieces", size: 32, do: unfinished(call, bodyLimit, 20*time.Millisecond)},
		{name: "unfinished chunks", size: 32, do: chunked(call, 60<<10, bodyLimit/(60<<10))},
		{name: "unfinished chunks of turns", size: 32, do: chunked(turn, 60<<10, bodyLimit/(60<<10))},
		{name: "chunks without end", size: 32, do: chunked(call, 60<<10, 16*bodyLimit/(60<<10))},
		{name: "chunks of one byte", size: 200, do: chunked(call, 1, 1<<20)},
		{name: "length of 10 GB", size: 32, do: unfinished(call, 10e9, 0)},
		{name: "whole bodies", size: 32, do: whole(call, wholeBody)},
		{name: "whole bodies to a late target", size: 32, do: whole(late, wholeBody)},
		{name: "whole turns", size: 32, do: whole(turn, wholeBody)},
		{name: "headers without end", size: 200, do: longHeader(240 << 10)},
		{name: "slow headers", size: 200, do: slowHeader},
		{name: "silent connections", size: 450, files: 400, do: silent},
		{name: "slow headers beyond the descriptors", size: 450, files: 400, do: slowHeader},
		{name: "idle connections", size: 450, files: 400, do: idle},
		{name: "unread responses", size: 40, do: unreadResponse},
		{name: "many unread responses", size: 300, do: unreadResponse},
		{name: "pipelined requests", size: 40, do: pipelined},
		{name: "unknown key", size: 40, do: unfinished(unknown, bodyLimit, 0)},
	}
	for i := range rows {
		rows[i].role, rows[i].port = host.NodeEntry, callerPort
	}
	runRows(t, rows)
}
