/*
 * The rate limit across a change of leader.
 *
 * The token bucket is part of the replicated state. Each admitted request carries
 * the log time of the leader. A replica's log time is the newest timestamp that
 * it has received plus the time elapsed since its arrival. It is never ahead of
 * real time, because a timestamp is older than its arrival.
 *
 * Checked: in every time window, the number of admitted requests does not exceed
 * the burst plus the rate times the length of the window.
 *
 * Mutants: WALL makes a new leader use its own clock, which may be ahead. FULL
 * makes it start with a full bucket.
 */
#define END 7    /* ticks */
#define BURST 2
#define RATE 1   /* tokens per tick */
#define REPLICAS 2

byte now;
byte leader;
byte leaderChanges;
byte timestamp[REPLICAS];  /* the newest log time that the replica has received */
byte receivedAt[REPLICAS]; /* when it arrived */
byte committedTime;        /* the log time of the last committed request */
byte tokens = BURST;       /* in the bucket at refilledAt */
byte refilledAt;           /* the log time of the last refill */
byte admitted[END];        /* admitted[i] counts the requests admitted at tick i or later */

#define LOG_TIME(r) (timestamp[r] + now - receivedAt[r])

inline refill(t) {
  if
  :: t > refilledAt ->
     tokens = tokens + (t - refilledAt) * RATE;
     tokens = (tokens > BURST -> BURST : tokens);
     refilledAt = t
  :: else
  fi
}

inline admit() {
  t = LOG_TIME(leader);
#ifdef WALL
  t = (leader == 1 -> now + 2 : t);
#endif
  refill(t);
  if
  :: tokens > 0 ->
     tokens--;
     committedTime = t; timestamp[leader] = t; receivedAt[leader] = now;
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
  /* The follower receives the newest committed request, after any delay. */
  :: atomic { r = 1 - leader;
       if :: committedTime > LOG_TIME(r) -> timestamp[r] = committedTime; receivedAt[r] = now :: else fi; r = 0 }
  /* The follower becomes leader and has all committed requests. */
  :: atomic { leaderChanges < 3 ->
       leaderChanges++; leader = 1 - leader;
       if :: committedTime > LOG_TIME(leader) -> timestamp[leader] = committedTime; receivedAt[leader] = now :: else fi
#ifdef FULL
       ; tokens = BURST
#endif
     }
  od
}
