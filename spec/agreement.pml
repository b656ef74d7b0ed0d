/*
 * Leader election, log replication, one membership change and the loss of a disk.
 *
 * Replicas 0, 1 and 2 are the initial members of the group. Replica 2 may lose its
 * disk. Replica 3 is its replacement on the same host, which starts empty, as a
 * learner. The membership changes by one replica at a time: {0,1,2}, then {0,1},
 * then {0,1,3}.
 *
 * A replica sends votes, terms and acknowledgements only after the sync, so that
 * other replicas never see unsynced state: each such step either happens together
 * with its sync or, if the replica crashes first, not at all. Only a leader sends
 * entries before it has synced them itself; synced[] is the length of the log that
 * survives its crash. Votes and acknowledgements are never withdrawn: they may be
 * counted at any later time.
 *
 * Checked: there is at most one leader in each term; a leader has all entries that
 * were committed in earlier terms; committed entries never change.
 *
 * Without CHANGE, no disk is lost and the membership is constant, which allows
 * wider bounds.
 *
 * Mutants: VOTE_EARLY sends a vote before its sync. SAME_ID lets the replica that
 * lost its disk restart empty under its old ID. SWAP changes {0,1,2} to {0,1,3} in
 * one step.
 */
#ifdef CHANGE
#define N 4
#define MAX_LOG 3
#define LAST_REPLICA 3
#define MAY_LEAD(r) (r != 2) /* any initial member may lose its disk; the model covers one that has never led */
#else
#define N 3
#define MAX_LOG 2
#define LAST_REPLICA 2
#define MAY_LEAD(r) true
#endif
#ifndef MAXTERM
#define MAXTERM 2
#endif
#ifndef DEATHS
#define DEATHS 1 /* maximum number of crashes of leaders and candidates, besides the lost disk */
#endif
#define NONE 7

/* An entry is its term times 4, plus the number of the membership that it sets,
 * if any. */
#define TERM(e) ((e) / 4)
#define MEMBERSHIP(e) ((e) % 4)

typedef Replica { byte term; byte vote; byte log[MAX_LOG]; byte size };
Replica replica[N];
byte synced[N];            /* the length of the synced part of the log */
bool isCandidate[N];
bool isLeader[N];
bool stopped[N];           /* has lost its disk and does not restart */
byte votes[16];            /* votes[term * 4 + candidate] is a set of replicas */
byte leaderOf[4];          /* the leader of each term, plus 1 */
byte ackTerm[N];           /* the newest term whose leader the replica acknowledged */
byte ackSize[N];           /* the length of the log acknowledged in that term */
byte committed[MAX_LOG];
byte committedIn[MAX_LOG]; /* the term whose leader committed the entry first */
byte ncommitted;
bool diskLost;
byte crashes;

/* Memberships 0, 1 and 2 as sets of replicas. */
#define VOTERS(c) ((c) == 0 -> 7 : ((c) == 1 -> 3 : 11))
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define QUORUM(s, c) (COUNT((s) & VOTERS(c)) * 2 > COUNT(VOTERS(c)))

/* newestMembership returns the newest membership in a replica's log: 0, 1 or 2. */
inline newestMembership(r, c) {
  c = 0;
  for (i : 0 .. MAX_LOG - 1) {
    if :: i < replica[r].size && MEMBERSHIP(replica[r].log[i]) > 0 -> c = MEMBERSHIP(replica[r].log[i]) :: else fi
  }
}

/* lastTerm returns the term of the last entry in a replica's log, or 0. */
inline lastTerm(r, t) {
  n = replica[r].size;
  if :: n == 0 -> t = 0 :: else -> t = TERM(replica[r].log[n - 1]) fi
}

/* recordVote records the vote of a voter for a candidate in term t. */
inline recordVote(t, voter, cand) {
  n = t * 4 + cand; votes[n] = votes[n] | (1 << voter)
}

inline stepDown(r) { isLeader[r] = false; isCandidate[r] = false }

/* crash restarts a replica, which loses the unsynced part of its log. */
inline crash(r) {
  stepDown(r);
  for (i : 0 .. MAX_LOG - 1) { if :: i >= synced[r] -> replica[r].log[i] = 0 :: else fi }
  replica[r].size = synced[r]
}

/* loseDisk erases the state of a replica. */
inline loseDisk(r) {
  stepDown(r);
  replica[r].term = 0; replica[r].vote = NONE; replica[r].size = 0; synced[r] = 0;
  for (i : 0 .. MAX_LOG - 1) { replica[r].log[i] = 0 }
  ackTerm[r] = 0; ackSize[r] = 0
}

/* sync syncs a replica's log and acknowledges it in the replica's term. */
inline sync(r) {
  synced[r] = replica[r].size; ackTerm[r] = replica[r].term; ackSize[r] = replica[r].size
}

/* campaign makes a replica a candidate in the next term and votes for itself. */
inline campaign(r) {
  stepDown(r);
  replica[r].term = replica[r].term + 1; replica[r].vote = r; synced[r] = replica[r].size; isCandidate[r] = true;
  s = replica[r].term; recordVote(s, r, r)
}

/* grantVote makes replica r vote for candidate c. */
inline grantVote(r, c) {
  stepDown(r);
  replica[r].term = replica[c].term; replica[r].vote = c; synced[r] = replica[r].size;
  s = replica[r].term; recordVote(s, r, c)
}

/* becomeLeader makes a candidate the leader. It checks that the term has no other
 * leader and that the log has all entries committed in earlier terms. */
inline becomeLeader(r) {
  s = replica[r].term;
  assert(leaderOf[s] == 0 || leaderOf[s] == r + 1);
  leaderOf[s] = r + 1;
  isLeader[r] = true; isCandidate[r] = false;
  for (i : 0 .. MAX_LOG - 1) {
    assert(i >= ncommitted || committedIn[i] >= s || (i < replica[r].size && replica[r].log[i] == committed[i]))
  }
}

/* appendEntry appends an entry to a replica's log. */
inline appendEntry(r, e) {
  n = replica[r].size; replica[r].log[n] = e; replica[r].size = n + 1
}

/* follow replaces a replica's log by the leader's and syncs it. */
inline follow(r, l) {
  stepDown(r);
  replica[r].vote = (replica[r].term == replica[l].term -> replica[r].vote : NONE);
  replica[r].term = replica[l].term; replica[r].size = replica[l].size;
  for (i : 0 .. MAX_LOG - 1) { replica[r].log[i] = replica[l].log[i] }
  sync(r)
}

/* ackedBy returns the set of replicas that have synced the first n entries of the
 * leader's log. */
inline ackedBy(l, n, s) {
  s = 0;
  for (i : 0 .. N - 1) {
    if :: ackTerm[i] == replica[l].term && ackSize[i] >= n -> s = s | (1 << i) :: else fi
  }
}

/* commitUpTo commits the first n entries of the leader's log and checks that no
 * committed entry changes. */
inline commitUpTo(l, n) {
  for (i : 0 .. MAX_LOG - 1) {
    if
    :: i < n ->
       assert(i >= ncommitted || committed[i] == replica[l].log[i]);
       if :: i >= ncommitted -> committed[i] = replica[l].log[i]; committedIn[i] = replica[l].term :: else fi
    :: else
    fi
  }
  ncommitted = (n > ncommitted -> n : ncommitted)
}

/* mayChangeMembership reports whether the newest membership and an entry of the
 * leader's term are committed. */
inline mayChangeMembership(l, ok) {
  ok = ncommitted > 0;
  if :: ok -> ok = TERM(committed[ncommitted - 1]) == replica[l].term :: else fi;
  for (i : 0 .. MAX_LOG - 1) {
    if :: i < replica[l].size && i >= ncommitted && MEMBERSHIP(replica[l].log[i]) > 0 -> ok = false :: else fi
  }
}

init {
  byte i, r, c, conf, s, n;
  bool ok;
  atomic { for (r : 0 .. N - 1) { replica[r].vote = NONE } r = 0 }
  do
  :: atomic {
    select(r : 0 .. LAST_REPLICA);
    if
    :: stopped[r] -> skip
    :: else ->
      if
      :: replica[r].term < MAXTERM && !isLeader[r] && MAY_LEAD(r) ->
         newestMembership(r, conf);
         if :: (VOTERS(conf) >> r) & 1 -> campaign(r) :: else fi
      :: synced[r] < replica[r].size -> sync(r)
      :: (isLeader[r] || isCandidate[r]) && crashes < DEATHS -> crashes++; crash(r)
#ifdef CHANGE
      :: r == 2 && !diskLost ->
         diskLost = true;
#ifdef SAME_ID
         loseDisk(2)
#else
         loseDisk(2); stopped[2] = true
#endif
#endif
      :: select(c : 0 .. LAST_REPLICA);
         if
         :: c != r && isCandidate[c] &&
            (replica[c].term > replica[r].term || (replica[c].term == replica[r].term && replica[r].vote == NONE)) ->
            lastTerm(c, s); lastTerm(r, conf); /* conf is a term here */
            if
            :: s > conf || (s == conf && replica[c].size >= replica[r].size) ->
               if
               :: grantVote(r, c)
#ifdef VOTE_EARLY
               :: s = replica[c].term; recordVote(s, r, c); crash(r)
#endif
               fi
            :: else
            fi
         :: c != r && isLeader[c] && replica[c].term >= replica[r].term && replica[c].size > 0 -> follow(r, c)
         :: else
         fi
      :: isCandidate[r] ->
         newestMembership(r, conf); s = replica[r].term * 4 + r; s = votes[s];
         if :: QUORUM(s, conf) -> becomeLeader(r) :: else fi
      :: isLeader[r] && replica[r].size < MAX_LOG -> s = replica[r].term * 4; appendEntry(r, s)
      :: isLeader[r] && replica[r].size < MAX_LOG && diskLost ->
         mayChangeMembership(r, ok); newestMembership(r, conf);
#ifdef SWAP
         if :: ok && conf < 2 -> s = replica[r].term * 4 + 2; appendEntry(r, s) :: else fi
#else
         if :: ok && conf < 2 -> s = replica[r].term * 4 + conf + 1; appendEntry(r, s) :: else fi
#endif
      :: isLeader[r] && replica[r].size > ncommitted ->
         n = ncommitted + 1;
         ackedBy(r, n, s); newestMembership(r, conf);
         if
         :: TERM(replica[r].log[n - 1]) == replica[r].term && QUORUM(s, conf) -> commitUpTo(r, n)
         :: else ->
            n = n + 1;
            if
            :: n <= replica[r].size && TERM(replica[r].log[n - 1]) == replica[r].term ->
               ackedBy(r, n, s);
               if :: QUORUM(s, conf) -> commitUpTo(r, n) :: else fi
            :: else
            fi
         fi
      fi
    fi;
    r = 0; c = 0; conf = 0; s = 0; n = 0; i = 0; ok = false
  }
  od
}
