package turns

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// catchUpShare is the part of [Store.CatchUp] within which copies are to be
	// complete. The rest is for the start of the move, for the lists, for requests that
	// fail and for the end of the move.
	catchUpShare = 0.6
	// lateShare is the part of the time for copies, as a divisor, over which the rest is
	// spread once less time than that is left.
	lateShare = 8
	// linkCopyShare is the part of the bandwidth of the store's link that copies may
	// take. The writes and reads of live programs need the rest.
	linkCopyShare = 0.8
	// minCopyRate is the rate, in bytes per second and for each of up to minRateShards
	// shards, at which shards are copied even if there is time for less.
	minCopyRate   = 2 << 20
	minRateShards = 4
	// maxConcurrentParts limits the lists and parts that are requested at the same time and
	// not late, and so their memory: 4 MB on the links, and some 12 MB decoded. At 13 MB/s, it
	// allows for 300 ms from a request until the reply. Late parts are bounded by one of each source of a shard.
	maxConcurrentParts = 16
	// maxUnwrittenBytes limits the turns that have arrived and wait for the disk. A disk whose
	// syncs take 600 ms still takes 13 MB/s.
	maxUnwrittenBytes = maxBatchBytes
	// maxPaceLag is how far the pace may lag behind and be made up for. On a busy machine, sleeps end 100 ms late.
	maxPaceLag = 200 * time.Millisecond
)

// copyPace spreads the copies of all shards of a store over the time that is left for
// them, and over their sources. It is safe for concurrent use.
type copyPace struct {
	opened   time.Time     // when the store was opened
	span     time.Duration // the time for all copies, or 0 if there is no limit
	linkRate float64       // the most that copies may take, in bytes per second; 0 for no limit
	// parts is for the lists and parts that are requested, and unwritten for the bytes that have arrived and wait for
	// the disk.
	parts, unwritten *slackSemaphore
	// turn and linkTurn are held by the one that waits until next, or until nextOnLink.
	turn, linkTurn *slackSemaphore
	group          errgroup.Group  // runs the requests for parts, and writes
	ctx            context.Context //nolint:containedctx // Ends the requests for parts, which outlive the copy of a shard.

	mu      sync.Mutex // guards the fields below
	shards  int        // that are being copied
	started time.Time  // from when on span counts for them
	missing int64      // bytes of these shards that are known to be missing
	next    time.Time  // when the next part may be requested
	// nextOnLink is when the next part may arrive over the link of this store.
	nextOnLink time.Time
	sources    map[StoreID]*sourceLoad
}

// sourceLoad is what is known of a store from which turns are fetched.
type sourceLoad struct {
	lastTook time.Duration // of the last part
	parts    int           // that are requested from it now
}

var (
	copyMissing = metrics.NewGauge("banyanspur_turns_copy_missing_bytes", nil)
	copySeconds = metrics.NewHistogram("banyanspur_turns_copy_seconds")
)

func newCopyPace(ctx context.Context, opened time.Time, catchUp time.Duration, linkBytesPerSecond float64) *copyPace {
	return &copyPace{
		ctx: ctx, opened: opened, span: time.Duration(catchUpShare * float64(catchUp)), linkRate: linkCopyShare * linkBytesPerSecond,
		parts: newSlackSemaphore(maxConcurrentParts), unwritten: newSlackSemaphore(maxUnwrittenBytes),
		turn: newSlackSemaphore(1), linkTurn: newSlackSemaphore(1), sources: map[StoreID]*sourceLoad{},
	}
}

// maxShards returns the number of shards that may be copied at the same time. With a
// time for the copies it is all of them, since the bytes that are missing in all shards
// must be known.
func (p *copyPace) maxShards() int {
	if p.span > 0 {
		return ShardCount
	}
	return minRateShards
}

// begin records that the copy of a shard begins. If it is the only one, the time for
// copies begins, or has begun when the store was opened: a store that has lost its disk
// has to catch up from then on.
func (p *copyPace) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shards++
	if p.shards > 1 {
		return
	}
	p.started = time.Now()
	if p.started.Sub(p.opened) < p.span {
		p.started = p.opened
	}
}

// end records that the copy of a shard has ended, of which so many bytes are missing.
func (p *copyPace) end(missing int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shards--
	p.missing -= missing
	copyMissing.Set(float64(p.missing))
}

// addMissing adds to the bytes that are missing.
func (p *copyPace) addMissing(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missing += bytes
	copyMissing.Set(float64(p.missing))
}

// acquire waits until a list or a part of a shard with the given slack may be requested, and reports whether it may:
// not if ctx has ended. The caller must call release after the reply may wait for the disk, or once it is
// late.
func (p *copyPace) acquire(ctx context.Context, of slack) bool {
	return p.parts.acquire(ctx, of, 1) == nil
}

func (p *copyPace) release() { p.parts.release(1) }

// acquireWrite waits until turns of the given size, which have arrived, may wait for the disk. It fails if
// ctx ends before. The caller must call ended once they are written.
func (p *copyPace) acquireWrite(ctx context.Context, of slack, bytes int) (ended func(), err error) {
	n := min(bytes, maxUnwrittenBytes)
	if err := p.unwritten.acquire(ctx, of, n); err != nil {
		return nil, err
	}
	return func() { p.unwritten.release(n) }, nil
}

// wait waits until a part of the given size may be requested, by this store or by one that adopts it.
func (p *copyPace) wait(ctx context.Context, of slack, bytes int) {
	p.waitTurn(ctx, p.turn, of, &p.next, bytes, p.rate)
}

// waitLink waits until a part of the given size may arrive over the link of this store.
func (p *copyPace) waitLink(ctx context.Context, of slack, bytes int) {
	if p.linkRate > 0 {
		p.waitTurn(ctx, p.linkTurn, of, &p.nextOnLink, bytes, func(time.Time) float64 { return p.linkRate })
	}
}

// waitTurn waits until *next, in an order by slack, and sets it to the time after which further bytes follow at a rate.
func (p *copyPace) waitTurn(ctx context.Context, turn *slackSemaphore, of slack, next *time.Time, bytes int, rate func(now time.Time) float64) {
	if turn.acquire(ctx, of, 1) != nil {
		return
	}
	defer turn.release(1)
	p.mu.Lock()
	delay := time.Until(*next)
	p.mu.Unlock()
	types.Sleep(ctx, max(0, delay))
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	begin := *next
	if begin.Before(now.Add(-maxPaceLag)) {
		begin = now
	}
	*next = begin.Add(time.Duration(float64(bytes) / rate(now) * float64(time.Second)))
}

// rate returns at how many bytes per second parts are requested: what is missing is
// spread over the time that is left. The caller must hold mu.
func (p *copyPace) rate(now time.Time) float64 {
	rate := float64(minCopyRate * min(max(p.shards, 1), minRateShards))
	if p.span > 0 {
		left := max(p.started.Add(p.span).Sub(now), p.span/lateShare)
		rate = max(rate, float64(p.missing)/left.Seconds())
	}
	return rate
}

// compareSources compares two sources by when a further part from them would arrive.
func (p *copyPace) compareSources(a, b StoreID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, y := p.source(a), p.source(b)
	return cmp.Or(cmp.Compare(x.lastTook*time.Duration(1+x.parts), y.lastTook*time.Duration(1+y.parts)), cmp.Compare(x.parts, y.parts))
}

// source returns the load of a source. The caller must hold mu.
func (p *copyPace) source(id StoreID) *sourceLoad {
	if p.sources[id] == nil {
		p.sources[id] = &sourceLoad{}
	}
	return p.sources[id]
}

// requested records that a part is requested from a source, and returns a function
// that records its arrival or failure.
func (p *copyPace) requested(id StoreID) (ended func()) {
	start := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.source(id).parts++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		load := p.source(id)
		load.parts--
		load.lastTook = time.Since(start)
	}
}
