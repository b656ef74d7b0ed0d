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

// hostListInterval is how often the platform's host list is read.
const hostListInterval = time.Second

// leavingHosts holds the IP numbers that the platform's host list calls
// leaving. The list lags and may lack hosts: a host that it does not name is
// taken as live, and one that it names as leaving gets nothing new even if the
// configuration still says otherwise.
type leavingHosts struct {
	mu    sync.RWMutex
	hosts map[string]bool
}

func (l *leavingHosts) contains(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.hosts[host] || l.hosts[address]
}

func (l *leavingHosts) set(hosts map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
}

// pollHostList reads the host list again and again until ctx ends. While it
// cannot be read, the last one counts.
func (e *Entry) pollHostList(ctx context.Context) error {
	if e.HostList == "" {
		return nil
	}
	failed := false
	for ctx.Err() == nil {
		hosts, err := readHostList(e.HostList)
		if err == nil {
			e.leavingHosts.set(hosts)
		} else if !failed {
			e.Log.Write(event.HostListFailed, event.Fields{"file": e.HostList, "error": err.Error()})
		}
		failed = err != nil
		types.Sleep(ctx, hostListInterval)
	}
	return nil
}

// readHostList reads lines of an IP number, with or without a port, and "live"
// or "leaving". It returns the leaving ones.
func readHostList(file string) (map[string]bool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "entry: read host list")
	}
	leaving := map[string]bool{}
	scanner := bufio.NewScanner(bytes.NewReader(b))
	for n := 1; scanner.Scan(); n++ {
		fields := strings.Fields(scanner.Text())
		switch {
		case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		case len(fields) == 2 && fields[1] == "leaving":
			leaving[fields[0]] = true
		case len(fields) == 2 && fields[1] == "live":
		default:
			return nil, errors.Newf("entry: host list line %d is not an address and live or leaving", n)
		}
	}
	return leaving, errors.Wrap(scanner.Err(), "entry: read host list")
}
