/*
 * Home tokens (internal/caller/home.go): one submission whose id names a home.
 *
 * The home can crash and come back as another incarnation, pause, be cut off,
 * and forget what it held once the token has expired by its own clock. The
 * caller repeats the submission through any host at any time. A forwarded
 * message may arrive late.
 *
 * Broken variants, each of which the checker must refute:
 *   ANY_INCARNATION   the host at the address starts the submission, whatever
 *                     incarnation the token names
 *   TAKEOVER          a host that can't reach the home starts it itself
 *   FORGET_EARLY      the home forgets the submission before its token expires
 *   SILENCE_IS_PROOF  silence is answered as final: failed
 */
#define SENDS 3

byte incarnation = 1;   /* who listens at the home's address; the token names 1 */
bool cut = false;       /* the home can't be reached */
bool held = false;      /* incarnation 1 holds the submission */
bool expired = false;   /* the token has expired by the home's clock */
bool complete = false;  /* the home has finished the job */
byte started = 0;
bool saidFailed = false;    /* a caller got the final answer failed, may have run */
bool saidComplete = false;  /* a caller got the whole answer */

inline begin() {
  started++;
  assert(started <= 1);
  held = true
}

/* One send of the submission through some host. */
proctype Send() {
  bool reached;
  atomic {
    reached = !cut
  }
  /* The message may be on its way for long: anything may happen here. */
  if
  :: !reached ->
#ifdef TAKEOVER
     atomic { begin() }
#endif
#ifdef SILENCE_IS_PROOF
     saidFailed = true
#endif
     skip
  :: reached ->
     atomic {
       if
       :: incarnation == 1 ->
          if
          :: held -> if :: complete -> saidComplete = true :: else fi
          :: !held && !expired -> begin()
          :: !held && expired -> skip      /* refused: may have run */
          fi
       :: incarnation != 1 ->
#ifdef ANY_INCARNATION
          started++; assert(started <= 1)
#else
          saidFailed = true                /* proof: another incarnation answers */
#endif
       fi
     }
  fi
}

active proctype World() {
end:
  do
  :: atomic { incarnation == 1 -> incarnation = 2; held = false }
  :: cut = true
  :: cut = false
  :: expired = true
  :: atomic { held && incarnation == 1 -> complete = true }
#ifdef FORGET_EARLY
  :: atomic { complete && held -> held = false }
#else
  :: atomic { complete && held && expired -> held = false }
#endif
  od
}

/* Once a caller was told that the job failed for good, no caller gets an answer. */
ltl final { [] (saidFailed -> (saidComplete || [] !saidComplete)) }

init {
  byte i;
  atomic {
    for (i : 1 .. SENDS) { run Send() }
  }
}
