/*
 * Claim of one submission without a home token (internal/platform/claim.go).
 *
 * Three attempts at one key of the store: by default two of host 0 and one of
 * host 1, with THREE_HOSTS one of each of three hosts. Writes
 * travel on their own: they can be late, also after their sender has given up,
 * and answers can be lost. An attempt can stop at any step (a crash or an
 * endless pause). Another submission of a later time range may reuse the key.
 *
 * Broken variants, each of which the checker must refute:
 *   NO_NONCE            an entry of the own host counts as the own claim
 *   START_BEFORE_CLAIM  tasks are started before the claim is settled
 *   TAKEOVER            a claim is taken over after a timeout
 *   READ_IS_PROOF       a read without the entry is taken as proof that the
 *                       write failed, and the nonce is used again
 *   DELETED_BUCKETS     an old key is deleted instead of reused
 */
#define N 3
#define TRIES 2
#define NOBODY 255
#define OLD 1
#define NEW 2

/* The key: version, time range and the attempt that holds the claim. */
byte version = 0;
byte range = 0;
byte holder = NOBODY;

/* A write in flight: expect and sender. Its answer is 0 none, 1 done, 2 conflict. */
typedef Write { bool sent; byte expect; byte answer }
Write write[N];

byte started = 0;
bool startedBy[N];
bool saidNotRun[N];

#ifdef THREE_HOSTS
#define hostOf(a) (a)
#else
#define hostOf(a) ((a) / 2)
#endif

inline start(a) {
  started++;
  startedBy[a] = true;
  assert(started <= 1);
  assert(!saidNotRun[a])
}

inline refuse(a) {
  saidNotRun[a] = true;
  assert(!startedBy[a])
}

inline land(w) {
  write[w].sent = false;
  if
  :: write[w].expect == version && range <= OLD ->
     version++; range = OLD; holder = w;
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

/* The network lands writes in any order, at any time, and may lose answers. */
active proctype Network() {
end:
  do
  :: atomic { write[0].sent -> land(0) }
  :: atomic { write[1].sent -> land(1) }
  :: atomic { write[2].sent -> land(2) }
  od
}

/* Another submission of a later range reuses the key, once. */
active proctype Reuse() {
  atomic {
    if
    :: version > 0 ->
#ifdef DELETED_BUCKETS
       version = 0; range = 0; holder = NOBODY
#else
       version++; range = NEW; holder = NOBODY
#endif
    :: skip
    fi
  }
}

proctype Attempt(byte a) {
  byte seenVersion, tries = 0;
  bool unsure = false;
#ifdef START_BEFORE_CLAIM
  start(a);
#endif
again:
  if
  :: goto stopped                       /* crash or endless pause */
  :: tries < TRIES -> tries++
  :: refuse(a); goto stopped            /* given up */
  fi;
  /* Read the key and judge what it shows in one step. */
  atomic {
    seenVersion = version;
    if
    :: range > OLD -> goto stopped      /* too old: no claim, may have run */
    :: else
    fi;
    if
#ifdef NO_NONCE
    :: holder != NOBODY && hostOf(holder) == hostOf(a) -> goto granted
#else
    :: holder == a -> goto granted
#endif
    :: holder != NOBODY && holder != a ->
#ifdef TAKEOVER
       skip                             /* write over it */
#else
       goto stopped                     /* held by another attempt */
#endif
    :: holder == NOBODY ->
#ifdef READ_IS_PROOF
       if
       :: unsure -> refuse(a)           /* and go on with the same nonce */
       :: else
       fi
#else
       skip
#endif
    fi
  }
  /* Write, then wait for the answer or stop waiting. */
  if
  :: atomic { !write[a].sent -> write[a].answer = 0; write[a].expect = seenVersion; write[a].sent = true }
  :: write[a].sent -> skip              /* the earlier write is still on its way */
  fi;
  if
  :: atomic { write[a].answer == 1 -> write[a].answer = 0 }; goto granted
  :: atomic { write[a].answer == 2 -> write[a].answer = 0 }; unsure = false; goto again
  :: unsure = true; goto again          /* timeout */
  fi;
granted:
  /* A pause between the grant and the start changes nothing. */
#ifndef START_BEFORE_CLAIM
  start(a);
#endif
stopped:
  skip
}

init {
  atomic { run Attempt(0); run Attempt(1); run Attempt(2) }
}
