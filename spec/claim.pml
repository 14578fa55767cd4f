/*
 * Claims of one submission without a home token (internal/kvstore/claim.go).
 *
 * A host claims such a submission by writing an entry under a key of the platform's
 * store, and starts its tasks only if it holds the claim. The model has three attempts
 * at one key: by default two of host 0 and one of host 1, with THREE_HOSTS one of each
 * of three hosts. A write can be applied late, even after its sender has stopped
 * waiting for it, and its answer can be lost. An attempt can end at any step, by a
 * crash or by a pause without end. Another submission, of a later time range, may
 * reuse the key.
 *
 * The invariants: at most one attempt starts the tasks, and no attempt that answers
 * "not run" has started them or starts them later.
 *
 * Broken variants, each of which the checker must refute:
 *   NO_NONCE            an attempt takes any entry of its own host for its own claim
 *   START_BEFORE_CLAIM  tasks are started before the outcome of the claim is known
 *   TAKEOVER            an attempt overwrites the claim of another one after a timeout
 *   READ_IS_PROOF       a read without the entry is taken as proof that the write
 *                       failed, and the same nonce is used again
 *   DELETED_BUCKETS     an old key is deleted instead of reused, so that its version
 *                       starts again at 0
 */
#define ATTEMPTS 3
#define MAX_WRITES 2
#define NO_HOLDER 255
#define RANGE 1
#define LATER_RANGE 2

/* The key in the store: its version, its time range and the attempt that holds the claim. */
byte version = 0;
byte range = 0;
byte holder = NO_HOLDER;

/* The latest write of each attempt: whether it is in flight, the version that it expects
 * and its answer, which is 0 for none, 1 for success and 2 for a conflict. */
typedef Write { bool sent; byte expect; byte answer }
Write write[ATTEMPTS];

byte started = 0;
bool startedBy[ATTEMPTS];
bool answeredNotRun[ATTEMPTS];

#ifdef THREE_HOSTS
#define hostOf(a) (a)
#else
#define hostOf(a) ((a) / 2)
#endif

inline startTasks(a) {
  started++;
  startedBy[a] = true;
  assert(started <= 1);
  assert(!answeredNotRun[a])
}

inline answerNotRun(a) {
  answeredNotRun[a] = true;
  assert(!startedBy[a])
}

/* The store applies the write of attempt w if the version is the expected one. The answer
 * may be lost. */
inline applyWrite(w) {
  write[w].sent = false;
  if
  :: write[w].expect == version && range <= RANGE ->
     version++; range = RANGE; holder = w;
     if
     :: write[w].answer = 1
     :: skip
     fi
  :: else ->
     if
     :: write[w].answer = 2
     :: skip
     fi
  fi
}

/* Writes reach the store at any time and in any order. */
active proctype Store() {
end:
  do
  :: atomic { write[0].sent -> applyWrite(0) }
  :: atomic { write[1].sent -> applyWrite(1) }
  :: atomic { write[2].sent -> applyWrite(2) }
  od
}

/* Another submission, of a later time range, reuses the key at most once. */
active proctype Reuse() {
  atomic {
    if
    :: version > 0 ->
#ifdef DELETED_BUCKETS
       version = 0; range = 0; holder = NO_HOLDER
#else
       version++; range = LATER_RANGE; holder = NO_HOLDER
#endif
    :: skip
    fi
  }
}

proctype Attempt(byte a) {
  byte seenVersion, writes = 0;
  bool outcomeUnknown = false;
#ifdef START_BEFORE_CLAIM
  startTasks(a);
#endif
readKey:
  if
  :: goto done                          /* crash or pause without end */
  :: writes < MAX_WRITES -> writes++
  :: answerNotRun(a); goto done         /* abandoned */
  fi;
  /* Read the key and evaluate it in one step. */
  atomic {
    seenVersion = version;
    if
    :: range > RANGE -> goto done       /* the key was reused: may have run */
    :: else
    fi;
    if
#ifdef NO_NONCE
    :: holder != NO_HOLDER && hostOf(holder) == hostOf(a) -> goto claimHeld
#else
    :: holder == a -> goto claimHeld
#endif
    :: holder != NO_HOLDER && holder != a ->
#ifdef TAKEOVER
       skip                             /* overwrite it */
#else
       goto done                        /* held by another attempt */
#endif
    :: holder == NO_HOLDER ->
#ifdef READ_IS_PROOF
       if
       :: outcomeUnknown -> answerNotRun(a)  /* and continue with the same nonce */
       :: else
       fi
#else
       skip
#endif
    fi
  }
  /* Write, then wait for the answer or for a timeout. */
  if
  :: atomic { !write[a].sent -> write[a].answer = 0; write[a].expect = seenVersion; write[a].sent = true }
  :: write[a].sent -> skip              /* the earlier write is still in flight */
  fi;
  if
  :: atomic { write[a].answer == 1 -> write[a].answer = 0 }; goto claimHeld
  :: atomic { write[a].answer == 2 -> write[a].answer = 0 }; outcomeUnknown = false; goto readKey
  :: outcomeUnknown = true; goto readKey  /* timeout */
  fi;
claimHeld:
  /* A pause between the claim and the start of the tasks changes nothing. */
#ifndef START_BEFORE_CLAIM
  startTasks(a);
#endif
done:
  skip
}

init {
  atomic { run Attempt(0); run Attempt(1); run Attempt(2) }
}
