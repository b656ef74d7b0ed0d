package gate

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/poison"
	"github.com/banyanspur/banyanspur/relay"
	"github.com/banyanspur/banyanspur/types"
)

// probeDelay is the pause between an interrupted request and the probe of its target.
// A process that ends closes its connections and its listener at slightly different
// times, and takes longer than this to start again.
const probeDelay = 100 * time.Millisecond

// silentTime is how long a target must have been silent when the caller disconnects
// for the request to count as interrupted by the target.
const silentTime = time.Second

// maxUnreported limits the crashes that are kept for the next report while the leader
// does not respond. The oldest are dropped.
const maxUnreported = 4096

var (
	targetEndsTotal = metrics.NewCounter("banyanspur_gate_target_ends_total")
	poisonousTotal  = metrics.NewCounter("banyanspur_gate_poisonous_total")
)

// crashDetector finds out which requests targets were running when their processes
// ended, and which requests are to be refused for that. The zero value is ready to
// use. It is safe for concurrent use.
type crashDetector struct {
	mu sync.Mutex
	// interrupted holds, for each target that is being probed, the requests that
	// were interrupted there since the last probe started.
	interrupted map[types.TargetID][]interruption
	// draining holds when each target was last listed as draining.
	draining map[types.TargetID]time.Time
	// table holds the crashes that this host has observed. It decides alone while
	// the leader does not respond.
	table poison.Table
	// unreported and completed are to be reported to the leader, whose table has
	// the ID reportedTo.
	unreported []poison.Crash
	completed  map[types.Fingerprint]bool
	reportedTo string
	// checksum identifies the list of suspects that the leader sent last.
	checksum uint64
	watched  map[types.Fingerprint]bool
	listed   map[types.Fingerprint]bool // poisonous according to the leader
	proven   map[types.Fingerprint]bool // poisonous according to table
}

// interruption is an attempt whose target is being probed.
type interruption struct {
	poison.Crash
	completed bool // A target has completed the request since.
}

// fingerprint identifies the request across attempts: it is the same for all
// attempts that have the caller's account, the method, the host, the path and the
// body in common.
func (c *call) fingerprint() types.Fingerprint {
	if c.cachedFingerprint == "" {
		c.cachedFingerprint = types.FingerprintOf([]byte(c.accountID()), []byte(c.r.Method), []byte(c.r.Host), []byte(c.requestURI()), c.body)
	}
	return c.cachedFingerprint
}

// refusePoisonous refuses a request that has ended the targets that ran it.
func (c *call) refusePoisonous() *errorResponse {
	if !c.poisonous() {
		return nil
	}
	poisonousTotal.Inc()
	return &errorResponse{
		status: http.StatusServiceUnavailable, retryAfter: poison.QuarantineTime, reason: poisonousReason,
		logFields: event.Fields{"fingerprint": c.fingerprint()},
	}
}

// poisonousReason is the reason of a refusal because of crashes.
const poisonousReason = "targets ended while they ran this request; it is refused for now"

func (c *call) poisonous() bool {
	d := &c.gate.crashes
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.listed) == 0 && len(d.proven) == 0 {
		return false
	}
	f := c.fingerprint()
	return d.listed[f] || d.proven[f]
}

// interruptedByTarget reports whether a request without a complete response was
// interrupted by its target: this host has not ended it, and the caller is still there, or
// left after the target had been silent for silentTime.
func (c *call) interruptedByTarget() bool {
	if c.gate.answersEnded() {
		return false
	}
	lastActivity := c.lastSentAt
	if c.lastEventAt.After(lastActivity) {
		lastActivity = c.lastEventAt
	}
	return c.r.Context().Err() == nil || time.Since(lastActivity) >= silentTime
}

// recordInterrupted records that the target's response to this request ended without
// being complete, and has the target probed.
func (c *call) recordInterrupted(t fleet.Target) {
	g := c.gate
	now := g.Clock()
	first := g.crashes.addInterrupted(poison.Crash{
		Fingerprint: c.fingerprint(), Attempt: types.AttemptID(c.id), Target: t.ID, Zone: t.Zone, SentAt: now.Add(-time.Since(c.lastSentAt)), EndedAt: now,
	})
	if first {
		g.background.Go(func() { g.probe(g.backgroundCtx, t) })
	}
}

// addInterrupted adds an interrupted request and reports whether it is the first one
// since the last probe of its target.
func (d *crashDetector) addInterrupted(c poison.Crash) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.interrupted == nil {
		d.interrupted = map[types.TargetID][]interruption{}
	}
	d.interrupted[c.Target] = append(d.interrupted[c.Target], interruption{Crash: c})
	return len(d.interrupted[c.Target]) == 1
}

// takeInterrupted returns the requests that were interrupted at a target since its
// last probe.
func (d *crashDetector) takeInterrupted(id types.TargetID) []interruption {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.interrupted[id]
	delete(d.interrupted, id)
	return list
}

// drainingRetention is how long a target that was listed as draining is expected to end.
const drainingRetention = time.Minute

// recordDraining records which targets are listed as draining.
func (d *crashDetector) recordDraining(list []fleet.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(d.draining, func(_ types.TargetID, at time.Time) bool { return now.Sub(at) > drainingRetention })
	for _, t := range list {
		if !t.Draining {
			delete(d.draining, t.ID) // It has started again.
			continue
		}
		if d.draining == nil {
			d.draining = map[types.TargetID]time.Time{}
		}
		d.draining[t.ID] = now
	}
}

// wasDraining reports whether a target was listed as draining lately.
func (d *crashDetector) wasDraining(id types.TargetID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.draining[id]
	return ok && time.Since(at) <= drainingRetention
}

// probe connects to a target after probeDelay. If the target does not accept the
// connection, and not from another host either, its process is taken to have ended with
// the interrupted requests. The end of a target that was draining is planned and no crash.
// One that is no longer listed counts, since the list drops targets that have crashed.
func (g *Gate) probe(ctx context.Context, t fleet.Target) {
	types.Sleep(ctx, probeDelay)
	err := g.pool.Probe(ctx, t.Address)
	crashes := g.crashes.takeInterrupted(t.ID)
	planned := g.crashes.wasDraining(t.ID) || g.draining.has(t.ID)
	unconfirmed := g.dialer.HasHosts() && !errors.Is(err, relay.ErrUnreachable)
	fields := event.Fields{"target": t.ID, "zone": t.Zone, "reachable": err == nil, "planned": planned, "requests": len(crashes)}
	if err != nil {
		fields["error"], fields["confirmed"] = err.Error(), !unconfirmed
	}
	g.Log.Write(event.TargetProbed, fields)
	if err == nil || ctx.Err() != nil || planned || unconfirmed {
		return
	}
	targetEndsTotal.Inc()
	g.targets.recordFailure(t.ID)
	g.recordUnreachable(t)
	g.crashes.record(crashes, g.Clock())
}

// record records the requests that a target was running when it ended. The end is recorded
// also for those that have completed since, as it tells whether others ended with it.
func (d *crashDetector) record(crashes []interruption, now types.Mono) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range crashes {
		d.table.Record(c.Crash, now)
		d.unreported = append(d.unreported, c.Crash)
	}
	for _, c := range crashes {
		if c.completed {
			d.clear(c.Fingerprint)
		}
	}
	if n := len(d.unreported) - maxUnreported; n > 0 {
		d.unreported = d.unreported[n:]
	}
}

// recordCompleted records that a target has completed the request, so that the request
// is not blamed for the targets that ended while they ran it.
func (c *call) recordCompleted() {
	d := &c.gate.crashes
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table.Empty() && len(d.watched) == 0 && len(d.listed) == 0 && len(d.interrupted) == 0 {
		return
	}
	f := c.fingerprint()
	for _, list := range d.interrupted {
		for i := range list {
			list[i].completed = list[i].completed || list[i].Fingerprint == f
		}
	}
	if d.table.Suspect(f) || d.watched[f] || d.listed[f] {
		d.clear(f)
	}
}

// clear ends the suspicion of a request that has completed, and has the leader told. The
// caller must hold mu.
func (d *crashDetector) clear(f types.Fingerprint) {
	d.table.Clear(f)
	delete(d.listed, f)
	delete(d.proven, f)
	if d.completed == nil {
		d.completed = map[types.Fingerprint]bool{}
	}
	d.completed[f] = true
}

// crashReport is what a host reports to the leader in one exchange.
type crashReport struct {
	crashes   []poison.Crash
	completed []types.Fingerprint
	checksum  uint64
}

// nextReport returns what is to be reported to the leader.
func (d *crashDetector) nextReport() crashReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := crashReport{crashes: slices.Clone(d.unreported), checksum: d.checksum}
	for f := range d.completed {
		r.completed = append(r.completed, f)
	}
	return r
}

// addTo adds the report to a request that is sent now.
func (r crashReport) addTo(req *fleet.LoadsRequest, now types.Mono) {
	for _, c := range r.crashes {
		req.Crashes = append(req.Crashes, fleet.NewCrashReport(c, now))
	}
	req.Completed, req.SuspectsChecksum = r.completed, r.checksum
}

// reported records that the leader with the given table has received a report. A new
// leader gets all crashes with the next report, and the ends of targets whose requests have
// completed since, which show what ended at the same time.
func (d *crashDetector) reported(r crashReport, tableID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreported = d.unreported[min(len(r.crashes), len(d.unreported)):]
	for _, f := range r.completed {
		delete(d.completed, f)
	}
	if tableID != d.reportedTo {
		d.unreported, d.reportedTo = append(d.table.Crashes(), d.table.Ends()...), tableID
	}
}

// updateSuspects determines which requests are refused: those that the leader lists,
// which is nil if its list has not changed, and those that this host's own observations
// prove. A request that the leader no longer lists has completed on another host.
func (g *Gate) updateSuspects(list *fleet.Suspects) {
	d := &g.crashes
	d.mu.Lock()
	defer d.mu.Unlock()
	if list != nil {
		previous := d.listed
		d.checksum, d.watched, d.listed = list.Checksum, setOf(list.Watched), setOf(list.Poisonous)
		for f := range previous {
			if !d.listed[f] {
				d.table.Clear(f)
			}
		}
	}
	proven, _ := d.table.Verdicts(fleet.ZoneSizes(g.Fleet.View().Targets), g.Clock())
	if list == nil && maps.Equal(setOf(proven), d.proven) {
		return
	}
	d.proven = setOf(proven)
	g.Log.Write(event.SuspectsChanged, event.Fields{"refused": len(d.listed), "watched": len(d.watched), "proven": len(d.proven), "sum": d.checksum})
}

func setOf(list []types.Fingerprint) map[types.Fingerprint]bool {
	set := map[types.Fingerprint]bool{}
	for _, f := range list {
		set[f] = true
	}
	return set
}
