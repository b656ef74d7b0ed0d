//go:build crowd

package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/host"
)

// peak is the most that a process has held at any sample.
type peak struct {
	mu                 sync.Mutex
	resident, files    int
	unread, withUnread int // bytes that the kernel holds for the process, and with its memory
}

// watch samples all hosts until the test ends.
func (f *fleet) watch() {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				unread := unreadBytes()
				for _, p := range f.hosts {
					p.sample(unread)
				}
			}
		}
	}()
	f.t.Cleanup(func() {
		close(done)
		<-ended
	})
}

// sample updates the peak of a process. Its sockets are those that it has open, and those at
// its address that it has not accepted yet.
func (p *process) sample(unread map[string]int) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return // The process has exited, which checkAlive reports.
	}
	held := unread[p.address]
	entries, _ := os.ReadDir(dir + "fd") // Fails only if the process has exited.
	for _, e := range entries {
		if link, err := os.Readlink(dir + "fd/" + e.Name()); err == nil {
			held += unread[link]
		}
	}
	now := statusBytes(status, "VmRSS:")
	p.peak.mu.Lock()
	defer p.peak.mu.Unlock()
	p.peak.resident, p.peak.files = max(p.peak.resident, statusBytes(status, "VmHWM:")), max(p.peak.files, len(entries))
	p.peak.unread, p.peak.withUnread = max(p.peak.unread, held), max(p.peak.withUnread, now+held)
}

func statusBytes(status []byte, field string) int {
	_, rest, _ := strings.Cut(string(status), "\n"+field)
	words := strings.Fields(rest)
	if len(words) == 0 {
		return 0 // The process is exiting.
	}
	n, _ := strconv.Atoi(words[0]) // Written by the kernel, in KiB.
	return n << 10
}

// unreadBytes returns what the kernel holds for the sockets of this machine, as their
// processes have not read it: by the name of the socket in /proc/PID/fd, and by local address for
// connections that have not been accepted.
func unreadBytes() map[string]int {
	b, _ := os.ReadFile("/proc/net/tcp") // Always exists.
	unread := map[string]int{}
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] != "01" && fields[3] != "08" { // Established, or closed by the other side.
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil || n == 0 {
			continue
		}
		name := "socket:[" + fields[9] + "]"
		if fields[9] == "0" {
			ip, _ := strconv.ParseUint(fields[1][:8], 16, 32) // In the byte order of the machine.
			name = fmt.Sprintf("%d.%d.%d.%d", byte(ip), byte(ip>>8), byte(ip>>16), byte(ip>>24))
		}
		unread[name] += int(n)
	}
	return unread
}

// check checks that all hosts live and are within their memory and descriptors. A tenth of the
// descriptors must be left for files and connections to other hosts.
func (f *fleet) check() {
	f.t.Helper()
	unread := unreadBytes()
	for _, p := range f.hosts {
		f.checkAlive(p)
		p.sample(unread)
		p.peak.mu.Lock()
		memory := max(p.peak.resident, p.peak.withUnread)
		files := p.peak.files
		f.t.Logf("%s: memory at most %d MB of %d (%d MB unread), descriptors at most %d of %d", p.name, memory>>20, p.memoryMB, p.peak.unread>>20, files, f.files)
		p.peak.mu.Unlock()
		if memory > p.memoryMB<<20 {
			f.t.Errorf("%s held %d MB, its machine has %d MB", p.name, memory>>20, p.memoryMB)
		}
		if files > f.files*9/10 {
			f.t.Errorf("%s had %d descriptors open of %d", p.name, files, f.files)
		}
	}
}

func (f *fleet) checkAlive(p *process) {
	f.t.Helper()
	select {
	case <-p.exited:
		log, _ := os.ReadFile(filepath.Join(p.dir, "log")) // Created by the test.
		f.t.Fatalf("%s has exited: %v\n%s", p.name, p.cmd.ProcessState, log[max(0, len(log)-2000):])
	default:
	}
}

// retry attempts an ordinary request until it gets a response with status 200, as callers do: each
// time on a new connection.
func (f *fleet) retry(what, method, url string, header http.Header, body []byte) {
	f.t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last, attempts := "", 0
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, p := range f.hosts {
			f.checkAlive(p)
		}
		attempts++
		req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
		if err != nil {
			panic(err) // Cannot happen: the URL is well-formed.
		}
		req.Header = header.Clone()
		req.Host = header.Get("Host")
		req.Header.Set("X-Request-Id", newID())
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			f.t.Logf("%s was served at attempt %d", what, attempts)
			return
		}
		last = fmt.Sprintf("%d %.200s %v", resp.StatusCode, b, err)
	}
	f.t.Errorf("%s was not served in %d attempts, the last one: %s", what, attempts, last)
}

// callerHeader returns the header of an ordinary request.
func callerHeader() http.Header {
	return http.Header{
		"Host": {"crowd.example"}, "Authorization": {"Bearer key-calm"}, "X-Deadline-Ms": {"4000"}, "X-Program-Id": {newID()},
		"X-Token-Budget": {"100"}, "X-Token-Usage": {"10,40"},
	}
}

// serveOrdinary requires that small ordinary requests are served: a call and a turn by an entry
// host, a read of the plan by a control host.
func (f *fleet) serveOrdinary(p *process, when string) {
	f.t.Helper()
	switch p.role {
	case host.NodeEntry:
		f.call(p, when, "/call/", 10)
		f.call(p, when, "/turn/", 10)
	case host.NodeControl:
		f.retry("a read of the plan at "+p.name+" "+when, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/config", p.address, operatorPort), http.Header{}, nil)
	default:
		f.serveOrdinary(f.first(host.NodeEntry), when)
	}
}

// serveAll requires that after a crowd the host serves what it serves in calm, with the largest
// bodies inside the limits and a change of the plan.
func (f *fleet) serveAll(p *process) {
	f.t.Helper()
	f.serveOrdinary(p, "afterwards")
	f.putPlan(f.first(host.NodeControl))
	entry := f.first(host.NodeEntry)
	f.call(entry, "afterwards", "/call/", bodyLimit)
	f.call(entry, "afterwards", "/turn/", bodyLimit)
	f.retry("a check of readiness", http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readyz", entry.address, readyPort), http.Header{}, nil)
	f.retry("a read of metrics", http.MethodGet, fmt.Sprintf("http://%s:%d/metrics", p.address, metricsPort), http.Header{}, nil)
}

func (f *fleet) call(p *process, when, path string, size int) {
	f.t.Helper()
	f.retry(fmt.Sprintf("a request of %d bytes to %s at %s %s", size, path, p.name, when), http.MethodPost, fmt.Sprintf("http://%s:%d%s", p.address, callerPort, path), callerHeader(), bytes.Repeat([]byte("x"), size))
}

// putPlan puts the next version of the plan.
func (f *fleet) putPlan(p *process) {
	f.t.Helper()
	f.version++
	f.retry("a change of the plan", http.MethodPut, fmt.Sprintf("http://%s:%d/v1/config", p.address, operatorPort), http.Header{}, plan(f.version))
}
