/*
 * Election, replication, one membership change and a lost disk.
 *
 * Replicas 0, 1 and 2 found the group. Replica 2 may lose its disk; replica 3
 * is its replacement on the same host, which starts empty, as a learner. The
 * change is made one replica at a time: {0,1,2}, then {0,1}, then {0,1,3}.
 *
 * Votes, terms and acknowledgements leave a replica only after the sync, so
 * that what is not synced cannot be seen by others: each such step either
 * happens with its sync or, if the replica dies first, not at all. Only a
 * leader sends entries before it has synced them itself; flushed[] is how much
 * of its log survives its death. Votes and acknowledgements are never taken
 * back: they may be counted at any later time.
 *
 * Checked: one leader in each term; a leader holds all that was committed in
 * earlier terms; what is committed never changes.
 *
 * Without CHANGE no disk is lost and the membership stays; the bounds can then
 * be wider.
 *
 * Mutants: VOTE_EARLY sends a vote before its sync. SAME_ID lets the lost
 * replica come back empty under its old identity. SWAP changes {0,1,2} to
 * {0,1,3} in one step.
 */
#ifdef CHANGE
#define N 4
#define MAXLOG 3
#define LAST 3
#define MAYLEAD(r) (r != 2) /* any of the founders may lose its disk; let it be one that never led */
#else
#define N 3
#define MAXLOG 2
#define LAST 2
#define MAYLEAD(r) true
#endif
#ifndef MAXTERM
#define MAXTERM 2
#endif
#ifndef DEATHS
#define DEATHS 1 /* of leaders and candidates, besides the lost disk */
#endif
#define NONE 7

/* An entry is its term times 4 plus the membership that it brings, or 0. */
#define TERM(e) ((e) / 4)
#define CONF(e) ((e) % 4)

typedef disk { byte term; byte vote; byte log[MAXLOG]; byte size };
disk rep[N];
byte flushed[N];
bool asks[N];           /* is a candidate */
bool leads[N];
bool dead[N];
byte votes[16];         /* votes[term * 4 + candidate] is a set of replicas */
byte leaderOf[4];       /* the leader of each term, plus 1 */
byte ackTerm[N];        /* the newest term whose leader was acknowledged */
byte ackSize[N];        /* and how much of its log */
byte committed[MAXLOG];
byte committedIn[MAXLOG]; /* the term whose leader committed it first */
byte ncommitted;
bool lost;
byte deaths;

#define VOTERS(c) ((c) == 0 -> 7 : ((c) == 1 -> 3 : 11))
#define ONES(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define QUORUM(s, c) (ONES((s) & VOTERS(c)) * 2 > ONES(VOTERS(c)))

/* conf returns the newest membership in a replica's log: 0, 1 or 2. */
inline conf(r, c) {
  c = 0;
  for (i : 0 .. MAXLOG - 1) {
    if :: i < rep[r].size && CONF(rep[r].log[i]) > 0 -> c = CONF(rep[r].log[i]) :: else fi
  }
}

/* last returns the term of the last entry of a replica's log. */
inline last(r, t) {
  n = rep[r].size;
  if :: n == 0 -> t = 0 :: else -> t = TERM(rep[r].log[n - 1]) fi
}

inline giveVote(t, who, whom) {
  n = t * 4 + whom; votes[n] = votes[n] | (1 << who)
}

inline stepDown(r) { leads[r] = false; asks[r] = false }

/* die loses what was not synced. */
inline die(r) {
  stepDown(r);
  for (i : 0 .. MAXLOG - 1) { if :: i >= flushed[r] -> rep[r].log[i] = 0 :: else fi }
  rep[r].size = flushed[r]
}

inline wipe(r) {
  stepDown(r);
  rep[r].term = 0; rep[r].vote = NONE; rep[r].size = 0; flushed[r] = 0;
  for (i : 0 .. MAXLOG - 1) { rep[r].log[i] = 0 }
  ackTerm[r] = 0; ackSize[r] = 0
}

inline flush(r) {
  flushed[r] = rep[r].size; ackTerm[r] = rep[r].term; ackSize[r] = rep[r].size
}

inline campaign(r) {
  stepDown(r);
  rep[r].term = rep[r].term + 1; rep[r].vote = r; flushed[r] = rep[r].size; asks[r] = true;
  s = rep[r].term; giveVote(s, r, r)
}

inline grant(r, c) {
  stepDown(r);
  rep[r].term = rep[c].term; rep[r].vote = c; flushed[r] = rep[r].size;
  s = rep[r].term; giveVote(s, r, c)
}

inline win(r) {
  s = rep[r].term;
  assert(leaderOf[s] == 0 || leaderOf[s] == r + 1);
  leaderOf[s] = r + 1;
  leads[r] = true; asks[r] = false;
  for (i : 0 .. MAXLOG - 1) {
    assert(i >= ncommitted || committedIn[i] >= s || (i < rep[r].size && rep[r].log[i] == committed[i]))
  }
}

inline add(r, e) {
  n = rep[r].size; rep[r].log[n] = e; rep[r].size = n + 1
}

/* follow takes over a leader's log, synced. */
inline follow(r, l) {
  stepDown(r);
  rep[r].vote = (rep[r].term == rep[l].term -> rep[r].vote : NONE);
  rep[r].term = rep[l].term; rep[r].size = rep[l].size;
  for (i : 0 .. MAXLOG - 1) { rep[r].log[i] = rep[l].log[i] }
  flush(r)
}

/* acked returns the replicas that have synced the leader's log up to n. */
inline acked(l, n, s) {
  s = 0;
  for (i : 0 .. N - 1) {
    if :: ackTerm[i] == rep[l].term && ackSize[i] >= n -> s = s | (1 << i) :: else fi
  }
}

inline commitUpTo(l, n) {
  for (i : 0 .. MAXLOG - 1) {
    if
    :: i < n ->
       assert(i >= ncommitted || committed[i] == rep[l].log[i]);
       if :: i >= ncommitted -> committed[i] = rep[l].log[i]; committedIn[i] = rep[l].term :: else fi
    :: else
    fi
  }
  ncommitted = (n > ncommitted -> n : ncommitted)
}

/* settled tells whether the newest membership and an entry of the leader's
 * term are committed. */
inline settled(l, ok) {
  ok = ncommitted > 0;
  if :: ok -> ok = TERM(committed[ncommitted - 1]) == rep[l].term :: else fi;
  for (i : 0 .. MAXLOG - 1) {
    if :: i < rep[l].size && i >= ncommitted && CONF(rep[l].log[i]) > 0 -> ok = false :: else fi
  }
}

init {
  byte i, r, c, cf, s, n;
  bool ok;
  atomic { for (r : 0 .. N - 1) { rep[r].vote = NONE } r = 0 }
  do
  :: atomic {
    select(r : 0 .. LAST);
    if
    :: dead[r] -> skip
    :: else ->
      if
      :: rep[r].term < MAXTERM && !leads[r] && MAYLEAD(r) ->
         conf(r, cf);
         if :: (VOTERS(cf) >> r) & 1 -> campaign(r) :: else fi
      :: flushed[r] < rep[r].size -> flush(r)
      :: (leads[r] || asks[r]) && deaths < DEATHS -> deaths++; die(r)
#ifdef CHANGE
      :: r == 2 && !lost ->
         lost = true;
#ifdef SAME_ID
         wipe(2)
#else
         wipe(2); dead[2] = true
#endif
#endif
      :: select(c : 0 .. LAST);
         if
         :: c != r && asks[c] &&
            (rep[c].term > rep[r].term || (rep[c].term == rep[r].term && rep[r].vote == NONE)) ->
            last(c, s); last(r, cf);
            if
            :: s > cf || (s == cf && rep[c].size >= rep[r].size) ->
               if
               :: grant(r, c)
#ifdef VOTE_EARLY
               :: s = rep[c].term; giveVote(s, r, c); die(r)
#endif
               fi
            :: else
            fi
         :: c != r && leads[c] && rep[c].term >= rep[r].term && rep[c].size > 0 -> follow(r, c)
         :: else
         fi
      :: asks[r] ->
         conf(r, cf); s = rep[r].term * 4 + r; s = votes[s];
         if :: QUORUM(s, cf) -> win(r) :: else fi
      :: leads[r] && rep[r].size < MAXLOG -> s = rep[r].term * 4; add(r, s)
      :: leads[r] && rep[r].size < MAXLOG && lost ->
         settled(r, ok); conf(r, cf);
#ifdef SWAP
         if :: ok && cf < 2 -> s = rep[r].term * 4 + 2; add(r, s) :: else fi
#else
         if :: ok && cf < 2 -> s = rep[r].term * 4 + cf + 1; add(r, s) :: else fi
#endif
      :: leads[r] && rep[r].size > ncommitted ->
         n = ncommitted + 1;
         acked(r, n, s); conf(r, cf);
         if
         :: TERM(rep[r].log[n - 1]) == rep[r].term && QUORUM(s, cf) -> commitUpTo(r, n)
         :: else ->
            n = n + 1;
            if
            :: n <= rep[r].size && TERM(rep[r].log[n - 1]) == rep[r].term ->
               acked(r, n, s);
               if :: QUORUM(s, cf) -> commitUpTo(r, n) :: else fi
            :: else
            fi
         fi
      fi
    fi;
    r = 0; c = 0; cf = 0; s = 0; n = 0; i = 0; ok = false
  }
  od
}
