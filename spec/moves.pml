/*
 * The moves of a shard between stores, beside one write of a turn and one search for it.
 *
 * The configuration group gives the shard one placement after the other, each with the next
 * epoch: the current stores, and during a move the next ones. A move ends after a majority
 * of the current stores have listed their turns to the added store, and that has fetched
 * those that are not listed by a majority of the next ones, or have been adopted by one of
 * these, which says so once it has them on disk; CANCEL ends the first move
 * without that, and the stores stay. Stores and the writer learn the epochs late. A store
 * that restarts loses what waits for the disk, and learns the newest epoch, which it reads
 * from the leader.
 *
 * A store accepts a write at its own epoch. The turn enters its index, from which it is
 * copied and looked up, when it is on disk. The store then acknowledges the write if its
 * epoch is still the same. The writer needs a majority of each list of its placement, with
 * acknowledgements of one epoch, and tries again with the next.
 *
 * The search begins once the write is acknowledged. A store that lacks the turn replies with
 * the epoch that it had before it looked. The turn counts as missing if stores that lack it,
 * all with the epoch of a placement, are a majority of each of its lists.
 *
 * With NEXT_ONLY, a design that is not built (docs/design/shard-copies.md), the writer needs a majority of the next
 * stores alone once a majority of the current ones have the epoch of the move.
 *
 * Checked: an acknowledged turn is on a majority of the current stores, with NEXT_ONLY or of the next
 * ones, and never counts as missing. No disk is lost.
 *
 * Mutants: ACK_LATE acknowledges a write whatever the store's epoch is by then. ADOPT_EARLY
 * says that a turn was adopted before it is on disk. ANY_EPOCH
 * counts the replies of stores with other epochs. CURRENT does not need a majority of the
 * next stores. LISTED_ONCE does not fetch what any of the next stores lists. LOOK_FIRST looks
 * the turn up before it reads the epoch.
 */
#define STORES 4
#ifndef LAST
#define LAST 2 /* the last epoch */
#endif

/* The lists of stores by epoch, as sets. */
#ifdef CANCEL
#define CURRENT_OF(e) ((e) == 4 -> 11 : 7)
#define NEXT_OF(e) ((e) == 1 -> 14 : ((e) == 3 -> 11 : 0))
#define ADDED_IN(e) 3
#else
#define CURRENT_OF(e) ((e) < 2 -> 7 : ((e) < 4 -> 14 : 13))
#define NEXT_OF(e) ((e) == 1 -> 14 : ((e) == 3 -> 13 : 0))
#define ADDED_IN(e) ((e) == 1 -> 3 : 0)
#endif
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define MAJORITY(list, s) (COUNT((list) & (s)) >= 2) /* each list has three stores */
#define IN(s, set) (((set) >> (s)) & 1)
#ifdef ACK_LATE
#define MAY_ACK(s) true
#else
#define MAY_ACK(s) (storeEpoch[s] == writerEpoch)
#endif
#ifdef ANY_EPOCH
#define COUNTS(s, e) true
#else
#define COUNTS(s, e) (seen[s] == (e) + 1)
#endif
#ifdef LISTED_ONCE
#define REPLICATED ((NEXT_OF(epoch) & listed) != 0)
#else
#define REPLICATED MAJORITY(NEXT_OF(epoch), listed)
#endif
/* WRITTEN tells whether a writer may count a write as acknowledged, HELD where an acknowledged turn is. */
#ifdef NEXT_ONLY
#define SINCE(s, e) ((storeEpoch[s] >= (e) -> 1 : 0) << (s))
#define REACHED(e) (SINCE(0, e) | SINCE(1, e) | SINCE(2, e) | SINCE(3, e))
#ifdef UNFENCED
#define FENCED(e) true
#else
#define FENCED(e) MAJORITY(CURRENT_OF(e), REACHED(e))
#endif
#define WRITTEN(e, s) (NEXT_OF(e) == 0 -> MAJORITY(CURRENT_OF(e), s) : (MAJORITY(NEXT_OF(e), s) && (MAJORITY(CURRENT_OF(e), s) || FENCED(e))))
#define HELD (MAJORITY(CURRENT_OF(epoch), indexed) || NEXT_OF(epoch) != 0 && MAJORITY(NEXT_OF(epoch), indexed))
#else
#define WRITTEN(e, s) (MAJORITY(CURRENT_OF(e), s) && (NEXT_OF(e) == 0 || MAJORITY(NEXT_OF(e), s)))
#define HELD MAJORITY(CURRENT_OF(epoch), indexed)
#endif
#define COPIED (MAJORITY(CURRENT_OF(epoch), copiedFrom) && (listed == 0 || REPLICATED || IN(ADDED_IN(epoch), indexed)))

byte epoch;             /* of the newest placement */
byte storeEpoch[STORES];
byte indexed;           /* the stores whose index contains the turn */
byte waiting[STORES];   /* the epoch plus 1 of a write that waits for the disk, or 0 */
byte copiedFrom;        /* the stores that have listed their turns to the added store at this epoch */
byte listed;            /* those of them whose list contains the turn, and those that have adopted it */
byte writerEpoch;
byte acks;              /* the stores that have acknowledged the write at writerEpoch */
bool acked;
byte seen[STORES];      /* the epoch plus 1 that the search has got from a store, or 0 */
byte lacking;           /* the stores that lack the turn, according to the search */
bool found;

/* restart loses what waits for the disk. */
inline restart(s) {
  waiting[s] = 0;
  storeEpoch[s] = epoch;
  if :: NEXT_OF(epoch) != 0 && s == ADDED_IN(epoch) -> copiedFrom = 0; listed = 0 :: else fi
}

inline nextEpoch() {
  epoch++;
  copiedFrom = 0;
  listed = 0;
  assert(!acked || MAJORITY(CURRENT_OF(epoch), indexed))
}

inline list(s) {
  copiedFrom = copiedFrom | (1 << s);
  if :: IN(s, indexed) -> listed = listed | (1 << s) :: else fi
}

inline adopt(s) {
#ifndef ADOPT_EARLY
  indexed = indexed | (1 << s);
#endif
  listed = listed | (1 << s)
}

inline sync(s) {
  indexed = indexed | (1 << s);
  if
  :: !acked && waiting[s] == writerEpoch + 1 && MAY_ACK(s) -> acks = acks | (1 << s)
  :: else
  fi;
  waiting[s] = 0
}

/* checkMissing checks that the turn does not count as missing by any placement that the
 * searching host may have. */
inline checkMissing() {
  for (r : 0 .. epoch) {
    set = 0;
    for (i : 0 .. STORES - 1) {
      if :: IN(i, lacking) && seen[i] != 0 && COUNTS(i, r) -> set = set | (1 << i) :: else fi
    }
#ifdef CURRENT
    assert(!MAJORITY(CURRENT_OF(r), set))
#else
#ifdef NEXT_PROVES
    assert(!MAJORITY((NEXT_OF(r) == 0 -> CURRENT_OF(r) : NEXT_OF(r)), set))
#else
    assert(!(MAJORITY(CURRENT_OF(r), set) && (NEXT_OF(r) == 0 || MAJORITY(NEXT_OF(r), set))))
#endif
#endif
  }
  r = 0; i = 0; set = 0
}

active [STORES] proctype store() {
  byte s = _pid, r, i, set;
end:
  do
  :: atomic { storeEpoch[s] < epoch -> storeEpoch[s]++ }
  :: atomic { waiting[s] != 0 -> restart(s) }
  :: atomic { NEXT_OF(epoch) != 0 && IN(s, CURRENT_OF(epoch)) && !IN(s, copiedFrom) && storeEpoch[s] == epoch && storeEpoch[ADDED_IN(epoch)] == epoch -> list(s) }
  :: atomic { listed != 0 && s == ADDED_IN(epoch) && !IN(s, indexed) -> indexed = indexed | (1 << s) }
  :: atomic { listed != 0 && IN(s, CURRENT_OF(epoch) & NEXT_OF(epoch)) && !IN(s, indexed | listed) -> adopt(s) }
  :: atomic { !acked && storeEpoch[s] == writerEpoch && IN(s, CURRENT_OF(writerEpoch) | NEXT_OF(writerEpoch)) && waiting[s] != writerEpoch + 1 && !IN(s, acks) ->
       waiting[s] = writerEpoch + 1 }
  :: atomic { waiting[s] != 0 -> sync(s) }
#ifdef LOOK_FIRST
  :: atomic { acked && !found && seen[s] == 0 && !IN(s, lacking) ->
       if :: IN(s, indexed) -> found = true :: else -> lacking = lacking | (1 << s) fi }
  :: atomic { acked && !found && IN(s, lacking) && seen[s] == 0 -> seen[s] = storeEpoch[s] + 1; checkMissing() }
#else
  :: atomic { acked && !found && seen[s] == 0 -> seen[s] = storeEpoch[s] + 1 }
  :: atomic { acked && !found && seen[s] != 0 && !IN(s, lacking) ->
       if :: IN(s, indexed) -> found = true :: else -> lacking = lacking | (1 << s); checkMissing() fi }
#endif
  od
}

active proctype leader() {
end:
  do
  :: atomic { epoch < LAST && (NEXT_OF(epoch) == 0 || NEXT_OF(epoch) != CURRENT_OF(epoch + 1) || COPIED) -> nextEpoch() }
  od
}

active proctype writer() {
  byte i;
end:
  do
  :: atomic { !acked && writerEpoch < epoch -> writerEpoch++; acks = 0 }
  :: atomic { !acked && WRITTEN(writerEpoch, acks) ->
       acked = true; acks = 0; writerEpoch = 0;
       for (i : 0 .. STORES - 1) { waiting[i] = 0 } /* Writes that end later only add copies. */
       i = 0;
       assert(HELD) }
  od
}
