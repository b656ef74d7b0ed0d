/*
 * Configuration leases and the withdrawal of a key.
 *
 * An entry host serves requests only under a lease, which lasts LEASE ticks from
 * the moment at which the entry host requested it. The leader treats the lease as
 * valid for LEASE_TIMEOUT ticks from the moment at which it granted it. This is
 * longer, because two clocks may run at different rates: an entry host's clock may
 * miss one tick in each lease. A new leader does not know the leases granted by
 * its predecessor, so it waits until they have expired before it reports a version
 * as in force. The predecessor grants no more leases, because it has lost its own
 * lease (see agreement.pml).
 *
 * Checked: after the withdrawal is reported as in force, no entry host serves
 * under the version before it.
 *
 * Mutants: NO_WAIT does not wait until the predecessor's leases have expired.
 * FROM_GRANT starts an entry host's lease when the grant arrives. NO_DRIFT uses
 * the same duration on both sides.
 */
#define ENTRIES 2
#define LEASE 2
#ifdef NO_DRIFT
#define LEASE_TIMEOUT LEASE
#else
#define LEASE_TIMEOUT (LEASE + 1)
#endif
#define END 9

byte now;
byte version;                 /* 0, and 1 once the key is withdrawn */
bool reportedInForce;
byte leaderSince;
bool leaderChanged;
byte entryVersion[ENTRIES];   /* the version under which the entry host serves */
byte leaseLeft[ENTRIES];      /* remaining ticks of the lease by the entry host's clock */
bool drifted[ENTRIES];        /* the entry host's clock has missed a tick in this lease */
byte grantedUntil[ENTRIES];   /* when the leader regards the lease as expired */
byte grantedVersion[ENTRIES]; /* entryVersion when the lease was granted */
bool granted[ENTRIES];        /* the leader knows of a lease */
bool replyInFlight[ENTRIES];  /* a grant is in transit to the entry host */
byte replyVersion[ENTRIES];   /* the version in this grant */
byte requestAge[ENTRIES];     /* ticks since the entry host requested the lease */

inline tick() {
  now++;
  for (e : 0 .. ENTRIES - 1) {
    if
    :: replyInFlight[e] && requestAge[e] < LEASE -> requestAge[e]++
    :: else
    fi;
    if
    :: leaseLeft[e] > 0 -> leaseLeft[e]--
    :: leaseLeft[e] > 0 && !drifted[e] -> drifted[e] = true
    :: leaseLeft[e] == 0
    fi
  }
}

/* requestLease sends an entry host's request, which the leader grants at once. */
inline requestLease(e) {
  replyInFlight[e] = true; requestAge[e] = 0; replyVersion[e] = version;
  granted[e] = true; grantedVersion[e] = entryVersion[e]; grantedUntil[e] = now + LEASE_TIMEOUT
}

/* receiveGrant delivers a grant. It is ignored if it has expired or is stale. */
inline receiveGrant(e) {
  replyInFlight[e] = false;
  if
  :: requestAge[e] < LEASE && replyVersion[e] >= entryVersion[e] ->
     entryVersion[e] = replyVersion[e];
#ifdef FROM_GRANT
     leaseLeft[e] = LEASE;
#else
     leaseLeft[e] = LEASE - requestAge[e];
#endif
     drifted[e] = false
  :: else
  fi
}

/* reportInForce answers an operator's query whether the withdrawal is in force. */
inline reportInForce() {
  ok = version == 1;
  for (e : 0 .. ENTRIES - 1) {
    if :: granted[e] && now < grantedUntil[e] && grantedVersion[e] < version -> ok = false :: else fi
  }
#ifndef NO_WAIT
  if :: leaderChanged && now < leaderSince + LEASE_TIMEOUT -> ok = false :: else fi;
#endif
  reportedInForce = reportedInForce || ok
}

init {
  byte e;
  bool ok;
  do
  :: now >= END -> break
  :: atomic { now < END -> tick(); e = 0 }
  :: atomic { version == 0 -> version = 1 }
  /* A new leader takes over and does not know of any lease. */
  :: atomic { !leaderChanged -> leaderChanged = true; leaderSince = now;
       for (e : 0 .. ENTRIES - 1) { granted[e] = false; grantedUntil[e] = 0; grantedVersion[e] = 0 } e = 0 }
  :: atomic { select(e : 0 .. 1); if :: !replyInFlight[e] -> requestLease(e) :: else fi; e = 0 }
  :: atomic { select(e : 0 .. 1); if :: replyInFlight[e] -> receiveGrant(e) :: else fi; e = 0 }
  :: atomic { !reportedInForce -> reportInForce(); e = 0; ok = false }
  /* An entry host serves a request. */
  :: atomic { select(e : 0 .. 1);
       if :: leaseLeft[e] > 0 -> assert(!reportedInForce || entryVersion[e] == 1) :: else fi; e = 0 }
  od
}
