/*
 * The rate limit across a change of leader.
 *
 * The bucket is part of the replicated state; each request that it admits
 * carries the log time of its leader. A replica takes the newest stamp that it
 * received plus the time that has passed since then, which is never ahead of
 * real time because a stamp is older than its arrival.
 *
 * Checked: in every window, no more than the burst plus the rate times its
 * length are admitted.
 *
 * Mutants: WALL lets a new leader use its own clock, which may be ahead. FULL
 * lets it start with a full bucket.
 */
#define END 7    /* ticks */
#define BURST 2
#define RATE 1   /* a tick */
#define REPLICAS 2

byte now;
byte leader;
byte changes;
byte stamp[REPLICAS];    /* the newest log time that the replica has received */
byte since[REPLICAS];    /* when it arrived */
byte newest;             /* the log time of the last committed request */
byte level = BURST;
byte at;                 /* the log time at which level was true */
byte admitted[END];      /* requests admitted at tick t or later */

#define LOGTIME(r) (stamp[r] + now - since[r])

inline refill(t) {
  if
  :: t > at ->
     level = level + (t - at) * RATE;
     level = (level > BURST -> BURST : level);
     at = t
  :: else
  fi
}

inline admit() {
  t = LOGTIME(leader);
#ifdef WALL
  t = (leader == 1 -> now + 2 : t);
#endif
  refill(t);
  if
  :: level > 0 ->
     level--;
     newest = t; stamp[leader] = t; since[leader] = now;
     for (i : 0 .. END - 1) {
       if
       :: i <= now -> admitted[i]++; assert(admitted[i] <= BURST + (now - i) * RATE)
       :: else
       fi
     }
  :: else
  fi
}

init {
  byte i, t, r;
  do
  :: now == END - 1 -> break
  :: atomic { now < END - 1 -> now++ }
  :: atomic { admit(); i = 0; t = 0 }
  /* The other replica receives the newest committed request, late. */
  :: atomic { r = 1 - leader;
       if :: newest > LOGTIME(r) -> stamp[r] = newest; since[r] = now :: else fi; r = 0 }
  /* It takes over with all that is committed. */
  :: atomic { changes < 3 ->
       changes++; leader = 1 - leader;
       if :: newest > LOGTIME(leader) -> stamp[leader] = newest; since[leader] = now :: else fi
#ifdef FULL
       ; level = BURST
#endif
     }
  od
}
