/*
 * Elections among replicas that have just started (quorum/cold.go).
 *
 * A leader's lease depends on the replicas that have acknowledged its heartbeats.
 * A replica that votes in a regular election has received no heartbeat for longer
 * than a lease lasts, so no lease depends on it any more. A cold replica has
 * received no heartbeat since its start. It probes all other replicas and
 * requests votes as soon as all of them have confirmed the probe. A replica that
 * is still cold and has confirmed that same probe grants its vote, whatever it
 * promised before its restart.
 *
 * A message to a process is lost when the process ends, since it is sent over a
 * connection. Replies that the process has already sent are not lost.
 *
 * Checked: no two replicas hold a lease at the same time. Replicas are symmetric,
 * so only replica 1 sends probes.
 *
 * Mutants: MAJORITY requires the confirmation of only a majority. FORGET grants a
 * vote whichever probe was confirmed.
 */
#define N 3
#define MAJORITY_SIZE 2
#define ALL 7
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef DEATHS
#define DEATHS 2 /* maximum number of restarts */
#endif
#ifndef PROBES
#define PROBES 1
#endif

#define BIT(i) (1 << (i))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define LEASE(i) (isLeader[i] && COUNT(ackedBy[i]) >= MAJORITY_SIZE)

byte term[N];            /* the newest term that the replica has voted in or seen */
bool cold[N];
bool isLeader[N];
byte ackedBy[N];         /* the set of replicas on whose acknowledgements a leader's lease depends */
byte lastProbe[N];       /* the newest probe that the replica has sent */
byte confirmedBy[N];     /* the set of replicas that have confirmed it */
byte candidateTerm[N];   /* the term in which the replica is a candidate, or 0 */
byte votedBy[N];         /* the set of replicas that have voted for it */
byte probeInFlight[9];   /* the probe in transit from i to j, at j * N + i */
byte lastConfirmed[9];   /* the probe of i that j confirmed last, at j * N + i */
byte requestInFlight[9]; /* the term of the vote request in transit from i to j */
byte requestProbe[9];    /* the probe on which this request is based, or 0 */
byte probes;
byte restarts;

/* removeAck removes j from the replicas on which leases depend. */
inline removeAck(j) {
  ackedBy[0] = ackedBy[0] & (ALL - BIT(j)); ackedBy[1] = ackedBy[1] & (ALL - BIT(j)); ackedBy[2] = ackedBy[2] & (ALL - BIT(j))
}

/* restart ends the process of i and starts it again as a cold replica. */
inline restart(i) {
  restarts++;
  cold[i] = true; isLeader[i] = false; ackedBy[i] = 0; lastProbe[i] = 0; confirmedBy[i] = 0; candidateTerm[i] = 0; votedBy[i] = 0;
  for (k : 0 .. N - 1) { lastConfirmed[i * N + k] = 0; probeInFlight[i * N + k] = 0; requestInFlight[i * N + k] = 0; requestProbe[i * N + k] = 0 }
}

/* sendProbe sends a new probe from i to all other replicas. */
inline sendProbe(i) {
  probes++;
  lastProbe[i] = probes;
  confirmedBy[i] = BIT(i);
  for (k : 0 .. N - 1) { if :: k != i -> probeInFlight[k * N + i] = probes :: else fi }
}

/* handleProbe makes j confirm the probe of i, if j is cold. */
inline handleProbe(j, i) {
  p = probeInFlight[j * N + i]; probeInFlight[j * N + i] = 0;
  if
  :: cold[j] && !isLeader[j] ->
     lastConfirmed[j * N + i] = p;
     if
     :: cold[i] && !isLeader[i] && lastProbe[i] == p ->
        confirmedBy[i] = confirmedBy[i] | BIT(j);
        if :: term[j] > term[i] -> term[i] = term[j]; candidateTerm[i] = 0 :: else fi
     :: else
     fi
  :: else
  fi;
  p = 0
}

/* campaign makes i a candidate. probe is the confirmed probe on which its vote
 * requests are based, or 0 in a regular election. */
inline campaign(i, probe) {
  term[i]++;
  candidateTerm[i] = term[i]; votedBy[i] = BIT(i);
  for (k : 0 .. N - 1) { if :: k != i -> requestInFlight[k * N + i] = term[i]; requestProbe[k * N + i] = probe :: else fi }
}

/* grantVote makes j vote for i, unless j has seen the term already. */
inline grantVote(j, i) {
  if
  :: requestInFlight[j * N + i] > term[j] ->
     term[j] = requestInFlight[j * N + i]; isLeader[j] = false; candidateTerm[j] = 0;
     if :: candidateTerm[i] == requestInFlight[j * N + i] -> votedBy[i] = votedBy[i] | BIT(j) :: else fi
  :: else
  fi
}

/* handleVoteRequest handles a vote request from i to j. */
inline handleVoteRequest(j, i) {
  if
  :: LEASE(j)
#ifdef FORGET
  :: !LEASE(j) && cold[j] && requestProbe[j * N + i] != 0 -> grantVote(j, i)
#else
  :: !LEASE(j) && cold[j] && requestProbe[j * N + i] != 0 && requestProbe[j * N + i] == lastConfirmed[j * N + i] -> grantVote(j, i)
#endif
  :: !LEASE(j) -> removeAck(j); grantVote(j, i) /* it has received no heartbeat for longer than a lease */
  :: !LEASE(j) /* it has received a heartbeat recently and does not vote */
  fi;
  requestInFlight[j * N + i] = 0; requestProbe[j * N + i] = 0
}

/* becomeLeader makes candidate i the leader. */
inline becomeLeader(i) {
  isLeader[i] = true; cold[i] = false; candidateTerm[i] = 0; votedBy[i] = 0; ackedBy[i] = BIT(i); confirmedBy[i] = 0
}

/* receiveHeartbeat makes j follow leader i and acknowledge its heartbeat. */
inline receiveHeartbeat(j, i) {
  term[j] = term[i]; cold[j] = false; isLeader[j] = false; candidateTerm[j] = 0; confirmedBy[j] = 0;
  ackedBy[i] = ackedBy[i] | BIT(j);
  assert(!(LEASE(0) && LEASE(1)) && !(LEASE(0) && LEASE(2)) && !(LEASE(1) && LEASE(2)))
}

init {
  byte i, j, k, p;
  atomic {
    for (k : 0 .. N - 1) { term[k] = 1 }
    k = 0;
    if
    :: isLeader[0] = true; ackedBy[0] = ALL /* a leader holds a lease that depends on all replicas */
    :: cold[0] = true; cold[1] = true; cold[2] = true /* all replicas have just started */
    fi
  }
  do
  :: atomic { restarts < DEATHS -> select(i : 0 .. 2); restart(i); i = 0; k = 0 }
  :: atomic { probes < PROBES && cold[1] && !isLeader[1] -> sendProbe(1); k = 0 }
  :: atomic { select(i : 0 .. 2); select(j : 0 .. 2);
       if :: probeInFlight[j * N + i] != 0 -> handleProbe(j, i) :: else fi; i = 0; j = 0 }
#ifdef MAJORITY
  :: atomic { cold[1] && !isLeader[1] && COUNT(confirmedBy[1]) >= MAJORITY_SIZE && term[1] < MAXTERM -> campaign(1, lastProbe[1]); confirmedBy[1] = 0; k = 0 }
#else
  :: atomic { cold[1] && !isLeader[1] && confirmedBy[1] == ALL && term[1] < MAXTERM -> campaign(1, lastProbe[1]); confirmedBy[1] = 0; k = 0 }
#endif
  :: atomic { select(i : 0 .. 2);
       if :: !isLeader[i] && term[i] < MAXTERM -> removeAck(i); campaign(i, 0) :: else fi; i = 0; k = 0 }
  :: atomic { select(i : 0 .. 2); select(j : 0 .. 2);
       if :: requestInFlight[j * N + i] != 0 -> handleVoteRequest(j, i) :: else fi; i = 0; j = 0 }
  :: atomic { select(i : 0 .. 2);
       if :: candidateTerm[i] != 0 && candidateTerm[i] == term[i] && COUNT(votedBy[i]) >= MAJORITY_SIZE -> becomeLeader(i) :: else fi; i = 0 }
  :: atomic { select(i : 0 .. 2); select(j : 0 .. 2);
       if :: i != j && isLeader[i] && term[j] <= term[i] -> receiveHeartbeat(j, i) :: else fi; i = 0; j = 0 }
  od
}
