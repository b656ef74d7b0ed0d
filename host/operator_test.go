package host_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/platform"
)

// operatorBound is the time within which an operator must have a response: that of an
// acknowledgement in the users' deployments.
const operatorBound = 4 * time.Second

// startLoneControl runs a control host whose group has no leader, until stop is called, and
// returns the address of its operators' interface.
func startLoneControl(t *testing.T) (address string, stop func()) {
	t.Helper()
	ip := fmt.Sprintf("127.%d.77.1", 20+os.Getpid()%200)
	address = ip + ":17211"
	n := &host.Node{
		Role: host.NodeControl, HeaderNames: platform.HeaderNames, OperatorHandler: platform.NewOperatorHandler,
		Settings: config.NodeSettings{
			Host: "control-0", Zone: "zone-0", Address: ip, PeerPorts: []int{17200, 17201}, Seeds: []string{ip + ":17211"},
			OperatorListen: address, DataDir: t.TempDir(), GraceSeconds: 4, MemoryMB: crowdMemoryMB,
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return address, cancel
}

// orderRetire orders that a store is retired and returns the status of the response. It
// retries until the host accepts connections.
func orderRetire(t *testing.T, address string) (int, error) {
	t.Helper()
	client := http.Client{Timeout: 2 * operatorBound}
	var lastErr error
	for range 100 {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/retire/store-0", http.NoBody)
		if err != nil {
			return 0, err
		}
		resp, err := client.Do(req)
		if err == nil {
			defer resp.Body.Close()
			return resp.StatusCode, nil
		}
		if lastErr = err; !strings.Contains(err.Error(), "connection refused") {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, lastErr
}

// TestOperatorsGetResponsesWithoutLeader guards against orders that stay unanswered for as
// long as the operator waits, because the control hosts have no leader.
func TestOperatorsGetResponsesWithoutLeader(t *testing.T) {
	address, _ := startLoneControl(t)
	start := time.Now()
	status, err := orderRetire(t, address)
	if took := time.Since(start); err != nil || status != http.StatusServiceUnavailable || took > operatorBound {
		t.Errorf("status %d, error %v after %v; want 503 within %v", status, err, took, operatorBound)
	}
}

// TestStoppedControlHostAnswersOperators guards against connections of operators that a
// planned stop of a control host cuts without a response.
func TestStoppedControlHostAnswersOperators(t *testing.T) {
	address, stop := startLoneControl(t)
	var g errgroup.Group
	var status int
	g.Go(func() (err error) {
		status, err = orderRetire(t, address)
		return err
	})
	time.Sleep(500 * time.Millisecond) // The order is in flight.
	stop()
	if err := g.Wait(); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("status %d, error %v; want 503", status, err)
	}
}
