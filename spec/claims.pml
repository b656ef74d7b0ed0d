/*
 * The claims of turns on the budget of one program, of which the budget covers LIMIT.
 *
 * A host places a claim on the stores, which hold it in memory, and sends the turn to a target once a majority has
 * replied and the budget covers the turn beside the claims that these know. Meanwhile it confirms the claim: each store
 * writes it to disk and replies with the durable claims, and once a majority has replied, the host reads them again from
 * a majority if it has seen any other, and adds what it reads to what it has seen. If the budget covers the turn, it hands on what the target generates; else the target has
 * worked in vain. A host may be lost at any moment, and leaves its claims behind. A store that restarts loses what it
 * holds, and messages reach the stores in any order.
 *
 * Checked: no more turns hand on anything than the budget covers, whatever is lost.
 *
 * Mutants: NO_CONFIRM hands on with a held claim only. NO_REREAD does not read the claims again. BEFORE_MAJORITY reads them
 * again before a majority has the claim. FORGET forgets what it has seen before it reads them again.
 */
#define STORES 3
#define TURNS 3
#define LIMIT 2
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1))

byte held[STORES], durable[STORES]; /* sets of turns */
byte handed = 0, restarts = 0;

#define NEXT if :: !(got & 1) -> s = 0 :: !(got & 2) -> s = 1 :: !(got & 4) -> s = 2 fi

/* Each request goes to stores in any order, until enough of them have replied. Claims that are held only keep turns from
 * going on, so that they are left out unless they decide alone. */
inline place() {
  got = 0;
  do
  :: COUNT(got) < 2 -> atomic { NEXT; held[s] = held[s] | (1 << me); seen = seen | held[s]; got = got | (1 << s); s = 0 }
  :: else -> break
  od
}

inline confirm(enough) {
  got = 0; seen = 0;
  do
  :: COUNT(got) < enough -> atomic { NEXT; durable[s] = durable[s] | (1 << me); seen = seen | durable[s]; got = got | (1 << s); s = 0 }
  :: else -> break
  od
}

inline read() {
  got = 0;
#ifdef FORGET
  seen = 0;
#endif
  do
  :: COUNT(got) < 2 -> atomic { NEXT; seen = seen | durable[s]; got = got | (1 << s); s = 0 }
  :: else -> break
  od
}

proctype Turn(byte me) {
  byte s, got, seen = 0;
#ifdef NO_CONFIRM
  place();
  if :: COUNT(seen | (1 << me)) > LIMIT -> goto end :: else fi;
#else
#ifdef BEFORE_MAJORITY
  confirm(1);
#else
  confirm(2);
#endif
#ifndef NO_REREAD
  if :: seen != (1 << me) -> read() :: else fi;
#endif
  if :: COUNT(seen | (1 << me)) > LIMIT -> goto end :: else fi;
#endif
  handed++;
  assert(handed <= LIMIT);
end:
  skip
}

proctype Restart() {
  do
  :: restarts < RESTARTS -> atomic { if :: held[0] = 0 :: held[1] = 0 :: held[2] = 0 fi; restarts++ }
  :: break
  od
}

init {
  atomic {
    run Turn(0); run Turn(1); run Turn(2);
#ifdef NO_CONFIRM
    run Restart()
#endif
  }
}
