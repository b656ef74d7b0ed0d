package limit_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// TestMain uses a fixed seed for property tests unless -rapid.seed sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// limitedAccount simulates an account whose limit an issuer divides among hosts.
type limitedAccount struct {
	limit      limit.Limit
	now        types.Mono
	issuer     *limit.Issuer
	holders    map[limit.Holder]*limit.Share
	admittedAt []types.Mono
	// perRequest and hosts are the fields of the issuer.
	perRequest bool
	hosts      int
}

func newLimitedAccount(l limit.Limit) *limitedAccount {
	acct := &limitedAccount{limit: l, holders: map[limit.Holder]*limit.Share{}}
	acct.replaceIssuer()
	return acct
}

// replaceIssuer creates a new issuer without any state of the previous one.
func (acct *limitedAccount) replaceIssuer() {
	acct.issuer = limit.NewIssuer(acct.now)
	acct.issuer.PerRequest, acct.issuer.HostCount = acct.perRequest, acct.hosts
	acct.issuer.SetLimit(acct.limit, acct.now)
}

// renew renews one holder's allotment while some requests wait. If lost is true,
// the holder does not receive the allotment.
func (acct *limitedAccount) renew(h limit.Holder, waiting int, lost bool) {
	s := acct.holders[h]
	if s == nil {
		s = &limit.Share{}
		acct.holders[h] = s
	}
	a := acct.issuer.Renew(s.Demand(h, waiting, acct.now), acct.now)
	if !lost {
		s.Apply(a, acct.now, acct.now)
	}
}

// renewAll renews the allotments of all holders that must report one.
func (acct *limitedAccount) renewAll() {
	for _, h := range slices.Sorted(maps.Keys(acct.holders)) {
		if acct.holders[h].MustReport(acct.now) {
			acct.renew(h, 0, false)
		}
	}
}

func (acct *limitedAccount) take(h limit.Holder) bool {
	s := acct.holders[h]
	if s == nil {
		return false
	}
	s.CountRequest(acct.now)
	if !s.Take(acct.now) {
		return false
	}
	acct.admittedAt = append(acct.admittedAt, acct.now)
	return true
}

// maxExcess returns the largest number of requests by which a time window exceeds
// burst plus rate times its length.
func (acct *limitedAccount) maxExcess() float64 {
	// The window with the largest excess that ends with a request starts with the one at which the sum of
	// what was admitted less what the rate allows was last 0.
	excess, sum := 0.0, 0.0
	for i, at := range acct.admittedAt {
		if i > 0 {
			sum = max(0, sum-at.Sub(acct.admittedAt[i-1]).Seconds()*float64(acct.limit.Rate))
		}
		sum++
		excess = max(excess, sum-float64(acct.limit.Burst))
	}
	return excess
}

// TestNoWindowExceedsLimit has hosts spend all tokens that they can get while
// replies are lost, hosts restart and issuers are replaced. No time window may
// exceed the limit.
func TestNoWindowExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		acct := newLimitedAccount(limit.Limit{Rate: types.PerSecond(rapid.IntRange(5, 60).Draw(t, "rate")), Burst: rapid.IntRange(4, 60).Draw(t, "burst")})
		generation := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			acct.now = acct.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			h := limit.Holder(fmt.Sprintf("host-%d/%d", rapid.IntRange(0, 3).Draw(t, "host"), generation))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				acct.replaceIssuer()
			case 1:
				generation++ // All hosts restart and lose their allotments.
			case 2:
				acct.renew(h, 1, true)
			default:
				acct.renew(h, 1, false)
			}
			for acct.take(h) {
			}
		}
		// A request at the edge of a window counts on both sides.
		if excess := acct.maxExcess(); excess > 1+1e-6 {
			t.Fatalf("a time window has %.2f requests above the limit", excess)
		}
	})
}

// runSkewedLoad sends 36 requests per second of an account with a limit of 40
// through one of eight hosts, and moves to the next host at each step for which
// moves returns true. It returns how many requests were refused.
func runSkewedLoad(steps int, moves func(step int) bool) (refused int) {
	acct := newLimitedAccount(limit.Limit{Rate: 40, Burst: 40})
	acct.now = acct.now.Add(10 * time.Second)
	active := 0
	for step := range steps {
		acct.now = acct.now.Add(25 * time.Millisecond)
		if moves(step) {
			active = (active + 1) % 8
		}
		if step%10 == 0 {
			acct.renewAll()
		}
		if step%10 == 9 {
			continue
		}
		h := limit.Holder(fmt.Sprintf("host-%d/0", active))
		if !acct.take(h) {
			acct.renew(h, 1, false) // A host without tokens renews before it refuses.
			if !acct.take(h) {
				refused++
			}
		}
	}
	return refused
}

// TestSkewedLoadWithinLimit checks that nothing within the limit is refused if all
// callers use one host.
func TestSkewedLoadWithinLimit(t *testing.T) {
	if diff := cmp.Diff(0, runSkewedLoad(400, func(int) bool { return false })); diff != "" {
		t.Errorf("refused within the limit (-want +got):\n%s", diff)
	}
}

// TestLoadMovesToAnotherHost has all callers move to another host. Requests may be
// refused only for the tokens that the former host keeps until its allotment is
// reduced: 0.7 s of 36 requests per second, and at most half of the burst.
func TestLoadMovesToAnotherHost(t *testing.T) {
	refused := runSkewedLoad(400, func(step int) bool { return step == 200 })
	if refused > 20 {
		t.Errorf("%d requests within the limit were refused, want at most 20", refused)
	}
}

// TestIssuerReplacement replaces the issuer while the load is six tenths of the
// limit. Hosts that report their allotments must continue to admit requests, and a
// host without an allotment must be served from the part of the limit that no
// issuer allots, once that part has refilled for a quarter of a second.
func TestIssuerReplacement(t *testing.T) {
	acct := newLimitedAccount(limit.Limit{Rate: 60, Burst: 60})
	acct.now = acct.now.Add(10 * time.Second)
	admit := func(h limit.Holder) bool {
		if acct.take(h) {
			return true
		}
		acct.renew(h, 1, false)
		return acct.take(h)
	}
	served := func(hosts int, steps int) (n int) {
		for step := range steps {
			acct.now = acct.now.Add(28 * time.Millisecond)
			if admit(limit.Holder(fmt.Sprintf("host-%d/0", step%hosts))) {
				n++
			}
		}
		return n
	}
	served(4, 400)
	acct.replaceIssuer()
	served(4, 9)
	if diff := cmp.Diff(40, served(4, 40)); diff != "" {
		t.Errorf("served by hosts with an allotment (-want +got):\n%s", diff)
	}
	if !admit("host-9/0") {
		t.Error("a host without an allotment is not served")
	}
}

// TestShareExpiresWithAllotment checks that a host admits nothing once its
// allotment has expired without a renewal.
func TestShareExpiresWithAllotment(t *testing.T) {
	acct := newLimitedAccount(limit.Limit{Rate: 40, Burst: 40})
	acct.now = acct.now.Add(10 * time.Second)
	for range 20 {
		acct.now = acct.now.Add(20 * time.Millisecond)
		acct.take("host-0/0")
		acct.renew("host-0/0", 1, false)
	}
	if !acct.take("host-0/0") {
		t.Fatal("a new allotment admits no request")
	}
	acct.now = acct.now.Add(limit.AllotmentTime)
	if acct.take("host-0/0") {
		t.Error("an expired allotment admits a request")
	}
}

// TestManyHostsWithLowRates spreads an account's callers evenly over eighty hosts,
// each with at most one request per second. Nothing within the limit may be
// refused, so no tokens may be left in buckets of the hosts.
func TestManyHostsWithLowRates(t *testing.T) {
	acct := newLimitedAccount(limit.Limit{Rate: 20, Burst: 20})
	acct.now = acct.now.Add(10 * time.Second)
	refused := 0
	for step := range 1000 { // 55 seconds at 18 requests per second
		acct.now = acct.now.Add(55 * time.Millisecond)
		h := limit.Holder(fmt.Sprintf("host-%d/0", step%80))
		if acct.take(h) {
			continue
		}
		acct.renew(h, 1, false)
		if !acct.take(h) {
			refused++
		}
	}
	if diff := cmp.Diff(0, refused); diff != "" {
		t.Errorf("refused within the limit (-want +got):\n%s", diff)
	}
}

// TestFastClockWithinDrift has a host whose clock runs fast by a fifth. The host
// may refill its own bucket only at times when the issuer accounts for that.
func TestFastClockWithinDrift(t *testing.T) {
	l := limit.Limit{Rate: 100, Burst: 100}
	issuer := limit.NewIssuer(0)
	issuer.MarkAllReported(0)
	issuer.SetLimit(l, 0)
	var share limit.Share
	spent, now := 0, types.Mono(time.Second)
	begin := now
	fast := func() types.Mono { return types.Mono(float64(now) * 1.2) }
	for range 3000 {
		now = now.Add(5 * time.Millisecond)
		share.CountRequest(fast())
		for share.Take(fast()) {
			spent++
		}
		if now.Sub(begin)%(390*time.Millisecond) < 5*time.Millisecond { // Just in time by the issuer's clock.
			share.Apply(issuer.Renew(share.Demand("host-0/0", 1, fast()), now), fast(), fast())
		}
	}
	if allowed := float64(l.Burst) + now.Sub(begin).Seconds()*float64(l.Rate); float64(spent) > allowed+1 {
		t.Errorf("%d requests were admitted, the limit allows %.0f", spent, allowed)
	}
}

// TestProgramsOnManyHosts has each program make ten requests, 0.6 s apart, through
// one of eighty hosts. Nothing within the limit may be refused: tokens in a bucket
// of the host would be unused once the program has ended.
func TestProgramsOnManyHosts(t *testing.T) {
	acct := newLimitedAccount(limit.Limit{Rate: 20, Burst: 20})
	acct.now = acct.now.Add(10 * time.Second)
	const programs, requests = 100, 10   // 1.8 programs and 18 requests per second
	arrivals := map[int][]limit.Holder{} // by step of 5 ms
	for p := range programs {
		for r := range requests {
			arrivals[p*111+r*120] = append(arrivals[p*111+r*120], limit.Holder(fmt.Sprintf("host-%d/0", p*37%80)))
		}
	}
	refused := 0
	for step := range programs*111 + requests*120 {
		acct.now = acct.now.Add(5 * time.Millisecond)
		if step%50 == 0 {
			acct.renewAll()
		}
		for _, h := range arrivals[step] {
			if acct.take(h) {
				continue
			}
			acct.renew(h, 1, false)
			if !acct.take(h) {
				refused++
			}
		}
	}
	if diff := cmp.Diff(0, refused); diff != "" {
		t.Errorf("refused within the limit (-want +got):\n%s", diff)
	}
}

// TestUnusedTokensAreReturned has holders without a bucket return the token of
// each admitted request. A program that keeps sending after its budget is spent
// must not use up its account's limit.
func TestUnusedTokensAreReturned(t *testing.T) {
	acct := newLimitedAccount(limit.Limit{Rate: 1, Burst: 8})
	acct.issuer.HostCount = 60
	acct.issuer.MarkAllReported(0)
	acct.now = acct.now.Add(8 * time.Second)
	for i := range 40 {
		h := limit.Holder(fmt.Sprint("entry-", i%20))
		acct.renew(h, 1, false)
		if !acct.holders[h].Take(acct.now) {
			t.Fatalf("request %d got no token, although all previous tokens were returned", i)
		}
		acct.holders[h].ReturnToken()
		acct.renew(h, 0, false)
	}
}

// TestQueueIncludesOtherHosts has requests wait on several hosts for an account
// without tokens. The estimated wait must include those on other hosts, until they
// are no longer reported.
func TestQueueIncludesOtherHosts(t *testing.T) {
	acct := newLimitedAccount(limit.Limit{Rate: 10, Burst: 2})
	acct.renew("entry-1", 3, false)
	acct.renew("entry-2", 4, false)
	acct.renew("entry-3", 1, false)
	if diff := cmp.Diff(800*time.Millisecond, acct.holders["entry-3"].QueueWait(0, limit.Ordinary, 10)); diff != "" {
		t.Errorf("wait on the third host (-want +got):\n%s", diff)
	}
	acct.now = acct.now.Add(time.Second)
	acct.renew("entry-3", 0, false)
	if diff := cmp.Diff(100*time.Millisecond, acct.holders["entry-3"].QueueWait(0, limit.Ordinary, 10)); diff != "" {
		t.Errorf("wait without requests on other hosts (-want +got):\n%s", diff)
	}
}
