/*
 * Begin, dispatch and close of one non-idempotent call, where any party may crash
 * or be suspended.
 *
 * Ledger commands are atomic, since the ledger is a replicated log (see
 * agreement.pml), but their replies may be lost. The caller retries through either
 * entry host. A suspended entry host may resume after its session has expired.
 *
 * Checked: the target executes the call at most once; an attempt that was reported
 * to the caller as not run never runs.
 *
 * Mutants: REOPEN allows a new attempt when the session expires, which is correct
 * only for idempotent calls. RETRY sends the call again after the connection broke.
 * EARLY sends the call to the target before the begin command is committed.
 */
#define ENTRIES 2
#define ATTEMPTS 4

/* States of an entry host. */
mtype = { idle, beginning, begun, sent, answered, disconnected, notRun, finished };
/* States of the call in the ledger. */
mtype = { open, inProgress, completed, outcomeUnknown };

mtype entryState[ENTRIES] = idle;
byte attempt[ENTRIES];       /* the entry host's attempt, 1 to ATTEMPTS - 1 */
bool crashed[ENTRIES];
mtype callState = open;
byte recordedAttempt;        /* the attempt that the ledger has recorded */
byte attempts;
byte executions;
bool ran[ATTEMPTS];
bool reportedNotRun[ATTEMPTS];

inline execute(a) {
  executions++;
  ran[a] = true;
  assert(executions <= 1);
  assert(!reportedNotRun[a])
}

inline reportNotRun(a) {
  reportedNotRun[a] = true;
  assert(!ran[a])
}

active [ENTRIES] proctype Entry() {
  byte e = _pid;
  do
  :: atomic { crashed[e] -> break }
  /* The caller sends the call, or retries it. */
  :: atomic { !crashed[e] && entryState[e] == idle && attempts < ATTEMPTS - 1 ->
       attempts++; attempt[e] = attempts; entryState[e] = beginning }
  :: atomic { !crashed[e] && entryState[e] == beginning ->
       if
       :: callState == open -> callState = inProgress; recordedAttempt = attempt[e];
          if
          :: entryState[e] = begun
          :: skip /* the reply is lost; the entry host retries */
          fi
       :: callState == inProgress && recordedAttempt == attempt[e] -> entryState[e] = begun
       :: callState == inProgress && recordedAttempt != attempt[e] -> entryState[e] = finished /* rejected: another attempt is in progress */
       :: callState == completed || callState == outcomeUnknown -> entryState[e] = finished /* the recorded outcome is returned */
       fi }
  /* The entry host gives up before it receives the reply to its begin command. */
  :: atomic { !crashed[e] && entryState[e] == beginning -> reportNotRun(attempt[e]); entryState[e] = notRun }
#ifdef EARLY
  :: atomic { !crashed[e] && entryState[e] == beginning -> execute(attempt[e]); entryState[e] = sent }
#endif
  :: atomic { !crashed[e] && entryState[e] == begun ->
       if
       :: execute(attempt[e]); entryState[e] = sent
       :: entryState[e] = sent /* the target crashes before it executes the call */
       :: reportNotRun(attempt[e]); entryState[e] = notRun /* no connection to the target */
       fi }
  :: atomic { !crashed[e] && entryState[e] == sent ->
       if
       :: ran[attempt[e]] -> entryState[e] = answered
       :: entryState[e] = disconnected
       fi }
  :: atomic { !crashed[e] && entryState[e] == answered ->
       if :: recordedAttempt == attempt[e] && (callState == inProgress || callState == outcomeUnknown) -> callState = completed :: else fi;
       entryState[e] = finished }
  :: atomic { !crashed[e] && entryState[e] == disconnected ->
#ifdef RETRY
       execute(attempt[e]); entryState[e] = sent
#else
       if :: recordedAttempt == attempt[e] && callState == inProgress -> callState = outcomeUnknown :: else fi;
       entryState[e] = finished
#endif
     }
  :: atomic { !crashed[e] && entryState[e] == notRun ->
       if :: recordedAttempt == attempt[e] && callState == inProgress -> callState = open :: else fi;
       entryState[e] = finished }
  :: atomic { !crashed[e] && entryState[e] == finished -> entryState[e] = idle }
  :: atomic { !crashed[e] -> crashed[e] = true }
  od
}

/* The leader expires the session of an entry host that has crashed or is
 * suspended. */
active proctype Leader() {
end:
  do
  :: atomic { callState == inProgress ->
#ifdef REOPEN
       callState = open
#else
       callState = outcomeUnknown
#endif
     }
  od
}
