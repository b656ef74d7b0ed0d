/*
 * Elections among replicas that have just started (quorum/cold.go).
 *
 * A leader's lease counts on replicas that have answered it. One that votes in
 * the usual way has heard of no leader for longer than a lease lasts, so no lease
 * counts on it any more. A cold replica has heard of no leader since its start;
 * it asks all others, and once all of them have confirmed it asks for votes at once.
 * A replica that is still cold and has confirmed the same question votes,
 * whatever it promised before its end.
 *
 * A message to a process does not outlive the process: it comes over a connection.
 * Answers that were on their way do.
 *
 * Checked: no two replicas hold a lease at once. By symmetry it is replica 1
 * that asks.
 *
 * Mutants: MAJORITY needs the confirmation of a majority only. FORGET gives a vote
 * whatever question it has confirmed.
 */
#define N 3
#define MAJ 2
#define ALL 7
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef DEATHS
#define DEATHS 2
#endif
#ifndef QUESTIONS
#define QUESTIONS 1
#endif

#define BIT(i) (1 << (i))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define LEASE(i) (leads[i] && COUNT(acks[i]) >= MAJ)

byte term[N];       /* the newest term that the replica has voted in or seen */
bool cold[N];
bool leads[N];
byte acks[N];       /* whose answers the lease of a leader counts on */
byte asked[N];      /* the question that the replica asked last */
byte confirmed[N];       /* who has confirmed it */
byte cand[N];       /* the term in which the replica asks for votes, or 0 */
byte votes[N];
byte question[9];   /* on its way to j from i, at j * N + i */
byte confirmedTo[9];       /* the question of i that j confirmed last, at j * N + i */
byte request[9];    /* the term of a request for a vote on its way */
byte requestAsked[9]; /* the question that it relies on, or 0 */
byte questions;
byte deaths;

inline unleash(j) { /* no lease counts on j any more */
  acks[0] = acks[0] & (ALL - BIT(j)); acks[1] = acks[1] & (ALL - BIT(j)); acks[2] = acks[2] & (ALL - BIT(j))
}

inline restart(i) {
  deaths++;
  cold[i] = true; leads[i] = false; acks[i] = 0; asked[i] = 0; confirmed[i] = 0; cand[i] = 0; votes[i] = 0;
  for (k : 0 .. N - 1) { confirmedTo[i * N + k] = 0; question[i * N + k] = 0; request[i * N + k] = 0; requestAsked[i * N + k] = 0 }
}

inline ask(i) {
  questions++;
  asked[i] = questions;
  confirmed[i] = BIT(i);
  for (k : 0 .. N - 1) { if :: k != i -> question[k * N + i] = questions :: else fi }
}

inline answer(j, i) {
  q = question[j * N + i]; question[j * N + i] = 0;
  if
  :: cold[j] && !leads[j] ->
     confirmedTo[j * N + i] = q;
     if
     :: cold[i] && !leads[i] && asked[i] == q ->
        confirmed[i] = confirmed[i] | BIT(j);
        if :: term[j] > term[i] -> term[i] = term[j]; cand[i] = 0 :: else fi
     :: else
     fi
  :: else
  fi;
  q = 0
}

inline campaign(i, relies) {
  term[i]++;
  cand[i] = term[i]; votes[i] = BIT(i);
  for (k : 0 .. N - 1) { if :: k != i -> request[k * N + i] = term[i]; requestAsked[k * N + i] = relies :: else fi }
}

inline give(j, i) {
  if
  :: request[j * N + i] > term[j] ->
     term[j] = request[j * N + i]; leads[j] = false; cand[j] = 0;
     if :: cand[i] == request[j * N + i] -> votes[i] = votes[i] | BIT(j) :: else fi
  :: else
  fi
}

inline vote(j, i) {
  if
  :: LEASE(j)
#ifdef FORGET
  :: !LEASE(j) && cold[j] && requestAsked[j * N + i] != 0 -> give(j, i)
#else
  :: !LEASE(j) && cold[j] && requestAsked[j * N + i] != 0 && requestAsked[j * N + i] == confirmedTo[j * N + i] -> give(j, i)
#endif
  :: !LEASE(j) -> unleash(j); give(j, i) /* it has heard of no leader for long */
  :: !LEASE(j) /* it has heard of one */
  fi;
  request[j * N + i] = 0; requestAsked[j * N + i] = 0
}

inline lead(i) {
  leads[i] = true; cold[i] = false; cand[i] = 0; votes[i] = 0; acks[i] = BIT(i); confirmed[i] = 0
}

inline hear(j, i) {
  term[j] = term[i]; cold[j] = false; leads[j] = false; cand[j] = 0; confirmed[j] = 0;
  acks[i] = acks[i] | BIT(j);
  assert(!(LEASE(0) && LEASE(1)) && !(LEASE(0) && LEASE(2)) && !(LEASE(1) && LEASE(2)))
}

init {
  byte i, j, k, q;
  atomic {
    for (k : 0 .. N - 1) { term[k] = 1 }
    k = 0;
    if
    :: leads[0] = true; acks[0] = ALL /* a leader holds a lease that counts on all */
    :: cold[0] = true; cold[1] = true; cold[2] = true /* all have just started */
    fi
  }
  do
  :: atomic { deaths < DEATHS -> select(i : 0 .. 2); restart(i); i = 0; k = 0 }
  :: atomic { questions < QUESTIONS && cold[1] && !leads[1] -> ask(1); k = 0 }
  :: atomic { select(i : 0 .. 2); select(j : 0 .. 2);
       if :: question[j * N + i] != 0 -> answer(j, i) :: else fi; i = 0; j = 0 }
#ifdef MAJORITY
  :: atomic { cold[1] && !leads[1] && COUNT(confirmed[1]) >= MAJ && term[1] < MAXTERM -> campaign(1, asked[1]); confirmed[1] = 0; k = 0 }
#else
  :: atomic { cold[1] && !leads[1] && confirmed[1] == ALL && term[1] < MAXTERM -> campaign(1, asked[1]); confirmed[1] = 0; k = 0 }
#endif
  :: atomic { select(i : 0 .. 2);
       if :: !leads[i] && term[i] < MAXTERM -> unleash(i); campaign(i, 0) :: else fi; i = 0; k = 0 }
  :: atomic { select(i : 0 .. 2); select(j : 0 .. 2);
       if :: request[j * N + i] != 0 -> vote(j, i) :: else fi; i = 0; j = 0 }
  :: atomic { select(i : 0 .. 2);
       if :: cand[i] != 0 && cand[i] == term[i] && COUNT(votes[i]) >= MAJ -> lead(i) :: else fi; i = 0 }
  :: atomic { select(i : 0 .. 2); select(j : 0 .. 2);
       if :: i != j && leads[i] && term[j] <= term[i] -> hear(j, i) :: else fi; i = 0; j = 0 }
  od
}
