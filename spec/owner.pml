/* Owners of backend servers and the chain up to a caller's return
   (internal/worker: server.go, session.go, pool.go).

   One job with one task. Its caller's entry host has a session with owner A, which
   starts the task on server 0. The entry host may be lost or give up, A may stand
   still or die at any moment, orders may come late or not at all. The caller comes
   again RETURN ticks after its connection broke: to another domain, whose owner
   starts the task on server 1, or to A. After A has died, a new owner takes server 0
   and uses it for other work.

   Single: the task never runs on both servers. Room: server 0 never holds the task
   and the other work. A tick is 50 ms. Broken variants, one macro each:
   LONG_ENTRY, LONG_LEASE, NO_PATIENCE, NO_DEADLINE, EXTEND_ORPHANS, NO_FENCE,
   STOP_IS_END, LATE_ECHO. */

#ifdef LONG_ENTRY
#define ENTRY 18
#else
#define ENTRY 7
#endif
#ifdef LONG_LEASE
#define LEASE 24
#else
#define LEASE 13
#endif
#define PATIENCE 4
#define RETURN 26

bool run0, run1, other0;   /* what runs on the servers */
byte lease0;               /* ticks until everything on server 0 lapses */
byte fence0, fenceA = 1;   /* highest token seen by server 0; A's token */
bool order;                /* a start is under way to server 0 */
byte orderLeft;            /* ticks until its deadline */
byte orderFence;
bool books;                /* A counts a run on server 0 */
byte until;                /* ticks until A knows that all there has lapsed */
bool entryUp = true, aUp = true;
byte vouch = ENTRY;        /* ticks that the entry host's word still holds at A */
bool echo;                 /* an echo is under way to A */
byte echoWord;             /* ticks that it still proves */
bool stopping;             /* A wants the run stopped */
byte stopAge;
bool broken, returned;
byte back;                 /* ticks until the caller returns */
bool taken;                /* the new owner has server 0, empty */

inline breakCaller() {
	if
	:: !broken -> broken = true; back = RETURN
	:: else
	fi
}

inline check() {
	assert(!(run0 && run1));   /* Single */
	assert(!(run0 && other0))  /* Room */
}

/* One tick. What a host must do at a time it does here, if it is up. */
proctype Clock() {
	do
	:: atomic {
		if :: lease0 > 0 -> lease0--; if :: lease0 == 0 -> run0 = false; other0 = false :: else fi :: else fi;
#ifndef NO_DEADLINE
		if :: orderLeft > 0 -> orderLeft--; if :: orderLeft == 0 -> order = false :: else fi :: else fi;
#endif
		if :: echoWord > 0 -> echoWord-- :: else fi;
		if :: until > 0 -> until--; if :: until == 0 -> books = false :: else fi :: else fi;
		if
		:: vouch > 0 -> vouch--; if :: vouch == 0 && aUp && books -> stopping = true; stopAge = 0 :: else fi
		:: else -> if :: stopping && stopAge < PATIENCE + 1 -> stopAge++ :: else fi
		fi;
		if :: broken && back > 0 -> back-- :: else fi;
		check()
	}
	:: returned && !run0 && !order -> break
	od
}

proctype Entry() {
	do
	:: atomic { entryUp && !echo -> echo = true; echoWord = ENTRY }   /* a stamp is echoed */
	:: atomic { entryUp -> entryUp = false; breakCaller(); break }  /* lost, or gives up */
	od
}

proctype OwnerA() {
	/* The first start, vouched for. */
	atomic { vouch > 0 -> order = true; orderLeft = LEASE; orderFence = fenceA; books = true; until = LEASE + 1 }
	do
	:: atomic { aUp && echo ->
		echo = false;
#ifdef LATE_ECHO
		vouch = ENTRY
#else
		if :: echoWord > vouch && vouch > 0 -> vouch = echoWord :: else fi
#endif
	}
	/* Renews while it wants the run, or for a while after it asked for its stop. */
	:: atomic { aUp && books && fenceA >= fence0 &&
#ifdef NO_PATIENCE
		true
#else
		(!stopping || stopAge < PATIENCE)
#endif
		-> lease0 = (run0 -> LEASE : lease0); until = LEASE + 1 }
	/* A stop that is carried out; it may as well be lost. */
	:: atomic { aUp && stopping && books && fenceA >= fence0 ->
		run0 = false;
		/* Listed as ended: nothing is under way any more. */
		order = false; books = false }
#ifdef STOP_IS_END
	:: atomic { aUp && stopping && books -> books = false }
#endif
	/* The room is given to other work once the run is off the books. */
	:: atomic { aUp && !books && stopping && fenceA >= fence0 && !other0 -> other0 = true; lease0 = LEASE; check() }
	:: atomic { aUp && entryUp -> aUp = false; entryUp = false; breakCaller(); break }
	:: atomic { aUp && !entryUp -> aUp = false; break }
	:: returned -> break
	od
}

proctype Server0() {
	do
	:: atomic { order && orderFence >= fence0 -> order = false; run0 = true;
		lease0 = (lease0 > orderLeft -> lease0 : orderLeft);
#ifdef NO_DEADLINE
		lease0 = LEASE;
#endif
		fence0 = orderFence; check() }
	:: atomic { order && orderFence < fence0 -> order = false }
	:: returned && !order -> break
	od
}

/* The new owner of server 0 after A's end, or beside an A that it takes for lost. */
proctype NewOwner() {
	do
	:: atomic { !taken ->
#ifndef NO_FENCE
		fence0 = 2;
#endif
#ifdef EXTEND_ORPHANS
		lease0 = (run0 -> LEASE : lease0);
#endif
		if :: !run0 -> taken = true :: else fi }
	:: atomic { !taken && run0 && fence0 == 2 -> run0 = false }  /* its stop of the orphan */
	:: atomic { taken && !other0 -> other0 = true; lease0 = LEASE; check() }
	:: returned -> break
	od
}

proctype Caller() {
	atomic { broken && back == 0 ->
		if
		:: run1 = true                                        /* another domain */
		:: aUp && !books -> run1 = true                       /* A, once its books are empty */
		fi;
		returned = true; check() }
}

init { atomic { run Clock(); run Entry(); run OwnerA(); run Server0(); run NewOwner(); run Caller() } }
