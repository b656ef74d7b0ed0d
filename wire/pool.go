package wire

import (
	"context"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// Pool maintains links to hosts whose addresses become known while the process
// runs. Set the exported fields, then call [Pool.Run]. [Pool.Link] is safe for
// concurrent use at any time.
type Pool struct {
	// Secret authenticates this process to every host.
	Secret string
	// Log receives events. The zero value discards them.
	Log event.Log
	// OwnAddress and DialTimeout are those of the links.
	OwnAddress  string
	DialTimeout time.Duration
	// Budget is that of the process. See [Server].
	Budget *Budget

	mu    sync.Mutex
	links map[string]*pooledLink
	ready chan struct{} // closed once Run has started the links
	once  sync.Once
	ctx   context.Context //nolint:containedctx // All links live as long as Run. It is nil before.
	// running runs the links.
	running types.Background
}

// pooledLink is a link and the function that stops it.
type pooledLink struct {
	*Link
	lastUsed time.Time
	cancel   context.CancelFunc
}

// linkIdleTimeout is the time since the last call of [Pool.Link] after which a
// link is closed.
const linkIdleTimeout = 30 * time.Second

func (p *Pool) init() {
	p.once.Do(func() {
		p.links = map[string]*pooledLink{}
		p.ready = make(chan struct{})
	})
}

// Run keeps the links connected until ctx ends, and closes those that were not
// requested for linkIdleTimeout. It always returns nil.
func (p *Pool) Run(ctx context.Context) error {
	p.init()
	p.mu.Lock()
	p.ctx = ctx
	for _, l := range p.links {
		p.startLink(l)
	}
	p.mu.Unlock()
	close(p.ready)
	ticker := time.NewTicker(linkIdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.running.Wait()
			return nil
		case <-ticker.C:
			p.closeIdle()
		}
	}
}

// Link returns the link to an address, which connects in the background. A link
// is closed some time after Link last returned it, so call Link before each use
// instead of storing the result.
func (p *Pool) Link(address string) *Link {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l == nil {
		l = &pooledLink{Link: &Link{Address: address, Secret: p.Secret, Log: p.Log, OwnAddress: p.OwnAddress, DialTimeout: p.DialTimeout, Budget: p.Budget, OnLost: p.checkAll}}
		p.links[address] = l
		if p.ctx != nil {
			p.startLink(l)
		}
	}
	l.lastUsed = time.Now()
	return l.Link
}

// startLink runs a link, which stays unconnected if the pool ends. The caller must hold mu.
func (p *Pool) startLink(l *pooledLink) {
	ctx, cancel := context.WithCancel(p.ctx)
	l.cancel = cancel
	if ctx.Err() == nil {
		p.running.Go(func() { _ = l.Run(ctx) }) // It always returns nil.
	}
}

// Redial makes the link to another process, if there is one to its address, dial now
// unless it is connected. That process is known to be up, as after it has connected to
// this one.
func (p *Pool) Redial(address string) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[address]; l != nil && address != p.OwnAddress {
		l.Link.Redial()
	}
}

// checkAll checks all links after one was lost. What has broken one connection without
// closing it may have broken the others, and those that are rarely used would show it
// only when they are needed.
func (p *Pool) checkAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Check()
	}
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.links {
		if time.Since(l.lastUsed) > linkIdleTimeout {
			l.cancel()
			delete(p.links, address)
		}
	}
}
