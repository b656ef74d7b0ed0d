package entry

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// hostListInterval is the interval at which the platform's host list is read.
const hostListInterval = time.Second

// drainingHosts holds the addresses of draining hosts, which the platform's host
// list marks as leaving. The list may be stale or incomplete: a host that is not
// listed counts as live, and a draining host gets no new calls even if the
// configuration does not mark its targets as draining. It is safe for concurrent
// use.
type drainingHosts struct {
	mu    sync.RWMutex
	hosts map[string]bool
}

// contains reports whether address, an IP address with or without a port, or
// its IP address alone is listed as draining.
func (l *drainingHosts) contains(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.hosts[host] || l.hosts[address]
}

// set replaces the list. The caller must not modify hosts afterwards.
func (l *drainingHosts) set(hosts map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
}

// pollHostList reads the host list every hostListInterval until ctx ends. While
// the file cannot be read, the last list remains in use; only the first of
// consecutive failures is logged.
func (e *Entry) pollHostList(ctx context.Context) error {
	if e.HostListFile == "" {
		return nil
	}
	failed := false
	for ctx.Err() == nil {
		hosts, err := readHostList(e.HostListFile)
		if err == nil {
			e.drainingHosts.set(hosts)
		} else if !failed {
			e.Log.Write(event.HostListFailed, event.Fields{"file": e.HostListFile, "error": err.Error()})
		}
		failed = err != nil
		types.Sleep(ctx, hostListInterval)
	}
	return nil
}

// readHostList returns the addresses of the draining hosts, which the file marks
// as leaving. Each line has an IP address, with or without a port, and "live" or
// "leaving". Empty lines and lines starting with # are ignored.
func readHostList(file string) (map[string]bool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "entry: read host list")
	}
	draining := map[string]bool{}
	scanner := bufio.NewScanner(bytes.NewReader(b))
	for n := 1; scanner.Scan(); n++ {
		fields := strings.Fields(scanner.Text())
		switch {
		case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		case len(fields) == 2 && fields[1] == "leaving":
			draining[fields[0]] = true
		case len(fields) == 2 && fields[1] == "live":
		default:
			return nil, errors.Newf("entry: host list line %d must be an address followed by live or leaving", n)
		}
	}
	return draining, errors.Wrap(scanner.Err(), "entry: read host list")
}
