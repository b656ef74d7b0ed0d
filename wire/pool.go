package wire

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
)

// Pool keeps links to hosts whose addresses become known while the process
// runs. Set the exported fields, then call [Pool.Run]; [Pool.Link] is safe for
// concurrent use at any time.
type Pool struct {
	// Secret is presented to every host.
	Secret string
	// Log receives events. The zero value discards them.
	Log event.Log

	mu    sync.Mutex
	links map[string]*pooled
	ready chan struct{} // closed once Run has begun
	once  sync.Once
	ctx   context.Context //nolint:containedctx // The life of all links is that of Run.
	group *errgroup.Group
}

// pooled is a link with the means to end it.
type pooled struct {
	*Link
	used   time.Time
	cancel context.CancelFunc
}

// idleLink is how long a link stays connected that nobody asks for.
const idleLink = 30 * time.Second

func (p *Pool) init() {
	p.once.Do(func() {
		p.links = map[string]*pooled{}
		p.ready = make(chan struct{})
	})
}

// Run keeps the links connected until ctx ends, and drops those that nobody
// has asked for in a while.
func (p *Pool) Run(ctx context.Context) error {
	p.init()
	group, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.ctx, p.group = ctx, group
	for _, l := range p.links {
		p.start(l)
	}
	p.mu.Unlock()
	close(p.ready)
	ticker := time.NewTicker(idleLink)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
			p.dropIdle()
		}
	}
}

// Link returns the link to an address, which connects by itself. The link is
// dropped once it has not been asked for in a while; ask again each time.
func (p *Pool) Link(address string) *Link {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l == nil {
		l = &pooled{Link: &Link{Address: address, Secret: p.Secret, Log: p.Log}}
		p.links[address] = l
		if p.group != nil {
			p.start(l)
		}
	}
	l.used = time.Now()
	return l.Link
}

func (p *Pool) start(l *pooled) {
	ctx, cancel := context.WithCancel(p.ctx)
	l.cancel = cancel
	p.group.Go(func() error { return l.Run(ctx) })
}

func (p *Pool) dropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.links {
		if time.Since(l.used) > idleLink {
			l.cancel()
			delete(p.links, address)
		}
	}
}
