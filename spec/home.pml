/*
 * Home tokens (internal/caller/home.go): one submission whose id names its home, the
 * only host that may start it.
 *
 * The home can crash and restart as another incarnation, pause, become unreachable,
 * and forget the completed submission once its token has expired by the home's clock.
 * The caller sends the submission several times, through any host and at any time. A
 * forwarded message may arrive late.
 *
 * The invariants: the submission is started at most once, and after a caller has
 * received the final answer that the job failed, no caller receives the complete answer
 * for the first time.
 *
 * Broken variants, each of which the checker must refute:
 *   ANY_INCARNATION   the host at the address starts the submission even if the token
 *                     names another incarnation
 *   TAKEOVER          a host that cannot reach the home starts the submission itself
 *   FORGET_EARLY      the home forgets the submission before its token expires
 *   SILENCE_IS_PROOF  a host that cannot reach the home answers that the job failed,
 *                     as the final answer
 */
#define SENDS 3

byte incarnation = 1;           /* the one at the home's address; the token names 1 */
bool unreachable = false;       /* no host can reach the home */
bool held = false;              /* incarnation 1 holds the submission */
bool expired = false;           /* the token has expired by the home's clock */
bool complete = false;          /* the home has completed the job */
byte started = 0;
bool answeredFailed = false;    /* a caller received the final answer: failed, may have run */
bool answeredComplete = false;  /* a caller received the complete answer */

inline startSubmission() {
  started++;
  assert(started <= 1);
  held = true
}

/* One send of the submission through some host, which forwards it to the home. */
proctype Send() {
  bool reached;
  atomic {
    reached = !unreachable
  }
  /* The message may be in flight for any time, during which anything may happen. */
  if
  :: !reached ->
#ifdef TAKEOVER
     atomic { startSubmission() }
#endif
#ifdef SILENCE_IS_PROOF
     answeredFailed = true
#endif
     skip
  :: reached ->
     atomic {
       if
       :: incarnation == 1 ->
          if
          :: held -> if :: complete -> answeredComplete = true :: else fi
          :: !held && !expired -> startSubmission()
          :: !held && expired -> skip      /* refused: may have run */
          fi
       :: incarnation != 1 ->
#ifdef ANY_INCARNATION
          started++; assert(started <= 1)
#else
          answeredFailed = true            /* an answer of another incarnation proves it */
#endif
       fi
     }
  fi
}

/* What can happen to the home at any time. */
active proctype Environment() {
end:
  do
  :: atomic { incarnation == 1 -> incarnation = 2; held = false }
  :: unreachable = true
  :: unreachable = false
  :: expired = true
  :: atomic { held && incarnation == 1 -> complete = true }
#ifdef FORGET_EARLY
  :: atomic { complete && held -> held = false }
#else
  :: atomic { complete && held && expired -> held = false }
#endif
  od
}

/* After a caller has received the final answer that the job failed, no caller receives
 * the complete answer for the first time. */
ltl final { [] (answeredFailed -> (answeredComplete || [] !answeredComplete)) }

init {
  byte i;
  atomic {
    for (i : 1 .. SENDS) { run Send() }
  }
}
