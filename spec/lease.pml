/*
 * The configuration lease and the withdrawal of a key.
 *
 * An entry host serves only under a lease that counts from when it asked. The
 * leader counts longer from when it granted, since two clocks may differ: an
 * entry host's clock may miss one tick in each lease. A new leader does not
 * know the leases that the one before it granted, and waits them out before it
 * says that a version is in force. The old leader grants nothing any more,
 * because it has lost its own lease (see agreement.pml).
 *
 * Checked: once the withdrawal is reported in force, no entry host serves
 * under the version before it.
 *
 * Mutants: NO_WAIT does not wait the old leader's leases out. FROM_GRANT counts
 * an entry host's lease from the arrival of the grant. NO_DRIFT counts the
 * same time on both sides.
 */
#define ENTRIES 2
#define LEASE 2
#ifdef NO_DRIFT
#define WAIT LEASE
#else
#define WAIT (LEASE + 1)
#endif
#define END 9

byte now;
byte version;                /* 0, and 1 once the key is withdrawn */
bool inForce;
byte ledSince;
bool changed;
byte has[ENTRIES];           /* the version that the entry host serves under */
byte left[ENTRIES];          /* ticks of its lease that are left on its clock */
bool slow[ENTRIES];          /* its clock has missed a tick in this lease */
byte grantedUntil[ENTRIES];  /* the leader's count */
byte grantedHas[ENTRIES];
bool granted[ENTRIES];       /* the leader knows of a lease */
bool flying[ENTRIES];        /* a grant is on its way */
byte brings[ENTRIES];
byte age[ENTRIES];           /* ticks since the entry host asked */

inline tick() {
  now++;
  for (e : 0 .. ENTRIES - 1) {
    if
    :: flying[e] && age[e] < LEASE -> age[e]++
    :: else
    fi;
    if
    :: left[e] > 0 -> left[e]--
    :: left[e] > 0 && !slow[e] -> slow[e] = true
    :: left[e] == 0
    fi
  }
}

inline ask(e) {
  flying[e] = true; age[e] = 0; brings[e] = version;
  granted[e] = true; grantedHas[e] = has[e]; grantedUntil[e] = now + WAIT
}

inline arrive(e) {
  flying[e] = false;
  if
  :: age[e] < LEASE && brings[e] >= has[e] ->
     has[e] = brings[e];
#ifdef FROM_GRANT
     left[e] = LEASE;
#else
     left[e] = LEASE - age[e];
#endif
     slow[e] = false
  :: else
  fi
}

/* report is what an operator's question is answered by. */
inline report() {
  ok = version == 1;
  for (e : 0 .. ENTRIES - 1) {
    if :: granted[e] && now < grantedUntil[e] && grantedHas[e] < version -> ok = false :: else fi
  }
#ifndef NO_WAIT
  if :: changed && now < ledSince + WAIT -> ok = false :: else fi;
#endif
  inForce = inForce || ok
}

init {
  byte e;
  bool ok;
  do
  :: now >= END -> break
  :: atomic { now < END -> tick(); e = 0 }
  :: atomic { version == 0 -> version = 1 }
  :: atomic { !changed -> changed = true; ledSince = now;
       for (e : 0 .. ENTRIES - 1) { granted[e] = false; grantedUntil[e] = 0; grantedHas[e] = 0 } e = 0 }
  :: atomic { select(e : 0 .. 1); if :: !flying[e] -> ask(e) :: else fi; e = 0 }
  :: atomic { select(e : 0 .. 1); if :: flying[e] -> arrive(e) :: else fi; e = 0 }
  :: atomic { !inForce -> report(); e = 0; ok = false }
  /* An entry host serves a request. */
  :: atomic { select(e : 0 .. 1);
       if :: left[e] > 0 -> assert(!inForce || has[e] == 1) :: else fi; e = 0 }
  od
}
