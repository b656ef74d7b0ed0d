/*
 * Begin, dispatch and close of one call that may not be repeated, with the
 * death or freezing of any party.
 *
 * The ledger's commands are atomic, since it is a replicated log (see
 * agreement.pml); their answers may be lost. The caller resends through either
 * entry host. A frozen entry host may go on after its session has expired.
 *
 * Checked: the target runs the call at most once; an attempt of which the
 * caller was told that it did not run never runs.
 *
 * Mutants: REOPEN frees the call when the session expires, as is right only for
 * one that may be repeated. RETRY sends it again after a broken connection.
 * EARLY asks the target before the begin is committed.
 */
#define ENTRIES 2
#define ATTEMPTS 4

mtype = { idle, asked, begun, sent, answered, broken, refused, quit };
mtype = { free, held, known, unknown };

mtype entry[ENTRIES] = idle;
byte attempt[ENTRIES];       /* the entry host's attempt, 1 to ATTEMPTS - 1 */
bool dead[ENTRIES];
mtype ledger = free;
byte holder;                 /* the attempt that the ledger has noted */
byte attempts;
byte effects;
bool ran[ATTEMPTS];
bool toldNotRun[ATTEMPTS];

inline execute(a) {
  effects++;
  ran[a] = true;
  assert(effects <= 1);
  assert(!toldNotRun[a])
}

inline tellNotRun(a) {
  toldNotRun[a] = true;
  assert(!ran[a])
}

active [ENTRIES] proctype Entry() {
  byte e = _pid;
  do
  :: atomic { dead[e] -> break }
  /* The caller sends or resends the call here. */
  :: atomic { !dead[e] && entry[e] == idle && attempts < ATTEMPTS - 1 ->
       attempts++; attempt[e] = attempts; entry[e] = asked }
  :: atomic { !dead[e] && entry[e] == asked ->
       if
       :: ledger == free -> ledger = held; holder = attempt[e];
          if
          :: entry[e] = begun
          :: skip /* the answer is lost; the entry host asks again */
          fi
       :: ledger == held && holder == attempt[e] -> entry[e] = begun
       :: ledger == held && holder != attempt[e] -> entry[e] = quit /* in progress */
       :: ledger == known || ledger == unknown -> entry[e] = quit /* replayed */
       fi }
  /* The entry host gives up before it learns that the call is begun. */
  :: atomic { !dead[e] && entry[e] == asked -> tellNotRun(attempt[e]); entry[e] = refused }
#ifdef EARLY
  :: atomic { !dead[e] && entry[e] == asked -> execute(attempt[e]); entry[e] = sent }
#endif
  :: atomic { !dead[e] && entry[e] == begun ->
       if
       :: execute(attempt[e]); entry[e] = sent
       :: entry[e] = sent /* the target dies before it runs it */
       :: tellNotRun(attempt[e]); entry[e] = refused /* no connection */
       fi }
  :: atomic { !dead[e] && entry[e] == sent ->
       if
       :: ran[attempt[e]] -> entry[e] = answered
       :: entry[e] = broken
       fi }
  :: atomic { !dead[e] && entry[e] == answered ->
       if :: holder == attempt[e] && (ledger == held || ledger == unknown) -> ledger = known :: else fi;
       entry[e] = quit }
  :: atomic { !dead[e] && entry[e] == broken ->
#ifdef RETRY
       execute(attempt[e]); entry[e] = sent
#else
       if :: holder == attempt[e] && ledger == held -> ledger = unknown :: else fi;
       entry[e] = quit
#endif
     }
  :: atomic { !dead[e] && entry[e] == refused ->
       if :: holder == attempt[e] && ledger == held -> ledger = free :: else fi;
       entry[e] = quit }
  :: atomic { !dead[e] && entry[e] == quit -> entry[e] = idle }
  :: atomic { !dead[e] -> dead[e] = true }
  od
}

/* The leader expires the session of an entry host that is dead or frozen. */
active proctype Leader() {
end:
  do
  :: atomic { ledger == held ->
#ifdef REOPEN
       ledger = free
#else
       ledger = unknown
#endif
     }
  od
}
