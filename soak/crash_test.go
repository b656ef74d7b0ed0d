package soak_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// contactTime is the time after the third crash from which on a request that ends
	// its targets may reach at most maxLateRuns further ones.
	contactTime = 3 * time.Second
	maxLateRuns = 3
	// crashResendInterval is the pause after which a caller sends such a request again.
	crashResendInterval = 150 * time.Millisecond
	// crashTargets is the number of targets of each service, in three zones.
	crashTargets = 6
)

// TestCrashingRequestIsRefusedByAllHosts guards against a request that ends every
// target that runs it and is sent again and again, through different entry hosts: at
// most maxLateRuns of its attempts may reach a target once the third crash is
// contactTime ago, also after an entry host, the leader of the configuration group
// or all control hosts have been killed. Other requests are not refused for it.
func TestCrashingRequestIsRefusedByAllHosts(t *testing.T) {
	for _, path := range []string{"/turn/", "/charge/", "/lookup/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			c, tg := startServing(t, 3, crashTargets, crashTargets)
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			for i := range uint64(concurrentPrograms) {
				g.Go(func() error { c.runPrograms(ctx, 300+i); return nil })
			}
			g.Go(func() error {
				r := rand.New(rand.NewPCG(3, 5))
				for ctx.Err() == nil {
					c.send(ctx, r, attempt{account: unlimitedAccount, path: path, requestBody: crashingInput, program: "crashing"})
					time.Sleep(crashResendInterval)
				}
				return nil
			})
			time.Sleep(6 * time.Second)
			entry, controls := c.fleet.hosts[6], c.fleet.hosts[:3]
			c.fleet.killAndRestart(entry, 200*time.Millisecond)
			c.fleet.killControlHosts(controls, 100*time.Millisecond)
			time.Sleep(4 * time.Second)
			cancel()
			_ = g.Wait() // The goroutines always return nil.
			checkLateCrashes(t, tg)
			checkNotBlamed(t, c)
		})
	}
}

// killControlHosts kills the given hosts at the same time and restarts them after d.
func (f *fleet) killControlHosts(hosts []*testHost, d time.Duration) {
	var g sync.WaitGroup
	for _, h := range hosts {
		g.Go(func() { f.killAndRestart(h, d) })
	}
	g.Wait()
}

// checkLateCrashes checks how many targets ended later than contactTime after the
// third one.
func checkLateCrashes(t *testing.T, tg *targets) {
	t.Helper()
	tg.mu.Lock()
	defer tg.mu.Unlock()
	late := 0
	for i, at := range tg.crashes {
		if i >= 3 && at.Sub(tg.crashes[2]) > contactTime {
			late++
		}
	}
	t.Logf("%d targets ended, %d of them later than %v after the third", len(tg.crashes), late, contactTime)
	if len(tg.crashes) < 3 {
		t.Errorf("only %d targets ended, so nothing was tested", len(tg.crashes))
	}
	if late > maxLateRuns {
		t.Errorf("%d targets ended later than %v after the third, at most %d may", late, contactTime, maxLateRuns)
	}
}

// blameText is part of the body of a refusal because of crashes.
const blameText = "targets ended while they ran this request"

// checkNotBlamed checks that no request but the one with crashingInput was refused
// because of crashes.
func checkNotBlamed(t *testing.T, c *callers) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	blamed := 0
	for _, a := range c.attempts {
		if a.requestBody != crashingInput && strings.Contains(a.responseBody, blameText) {
			blamed++
			t.Errorf("%s %s with body %q was refused: %s", a.path, a.id, a.requestBody, a.responseBody)
		}
	}
	t.Logf("%d of %d other requests were blamed", blamed, len(c.attempts))
}

// TestLostZoneBlamesNoRequest guards against blaming requests for a zone whose targets
// all end at once, several times, while many callers send the same few requests and
// send them again after a failure.
func TestLostZoneBlamesNoRequest(t *testing.T) {
	c, tg := startServing(t, 4, crashTargets, crashTargets)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for i := range uint64(concurrentPrograms) {
		g.Go(func() error { c.runPrograms(ctx, 400+i); return nil })
	}
	for range 4 {
		time.Sleep(500 * time.Millisecond)
		for i, s := range tg.servers[:len(tg.list)] {
			if i%3 == 0 {
				s.crash(crashDowntime)
			}
		}
		time.Sleep(crashDowntime)
	}
	cancel()
	_ = g.Wait() // The goroutines always return nil.
	checkNotBlamed(t, c)
}
