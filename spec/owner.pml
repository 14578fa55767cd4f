/* Owners of backend servers, the leases of runs and sessions, and the retry of a caller
   (internal/worker: server.go, session.go, pool.go).

   A job has one task. Its caller is connected to an entry host, which has a session with
   owner A. A starts the task on server 0. The entry host may be lost or abandon the job,
   A may pause or crash at any time, and commands may arrive late or never. The caller
   retries RETURN_DELAY ticks after its connection broke: in another domain, whose owner
   starts the task on server 1, or at A. After A has crashed, or while A runs but seems
   lost, a new owner acquires server 0 and uses it for other work.

   Invariants. Single: the task never runs on both servers. Room: server 0 never runs the
   task and the other work together. A tick is 50 ms, with SERVER_RESTART 130 ms.

   Broken variants, one macro each, that the checker must refute:
     LONG_ENTRY      the session lease is too long for the delay of the retry
     LONG_LEASE      the lease of a run is too long for the delay of the retry
     NO_PATIENCE     A extends the lease for as long as its stop has no answer
     NO_DEADLINE     a start command has no deadline
     EXTEND_ORPHANS  the new owner extends the lease of a run that it did not start
     NO_FENCE        the new owner brings no higher fencing token
     STOP_IS_END     A counts the run as ended when it has requested the stop
     LATE_ECHO       a heartbeat ack confirms the session from its arrival at A
     EQUAL_FENCE     the new owner brings the token that A has

   SERVER_RESTART adds a restart of server 0 under the same id: it has forgotten the token,
   and the deadline of a command lies far ahead on its new clock (rule 7 of server.go).
   With OWNER_NOTICES A stays up, notices the restart before the next tick, acquires the
   server with a new token, and only then starts the task elsewhere; the broken variant
   RESTART_EARLY starts it at once. Without OWNER_NOTICES a late command may arrive before
   any owner notices the restart. The checker refutes this unless the server refuses
   commands for another incarnation (INCARNATION_CHECK), see docs/QUESTIONS.md, 1.

   With LATE_COMMANDS the start may also be in flight after its deadline, and be executed by
   the server once restarted. The checker refutes this, even if A notices the restart within
   the tick, unless the caller retries at A only (RETRY_AT_OWNER) and A keeps counting a run
   whose start was not answered for as long as the command may be executed. The broken variant
   EXPIRY_RESOLVES counts it as ended with the lease. With STOP_RESOLVES A counts it as ended
   once the server, not yet restarted, has acknowledged its stop and does not list it (rule 4);
   the checker refutes this too.

   TIED is rule 9: while the start may be in flight or executed, no other command starts the
   task, at A or for a caller that retries anywhere. Then A may count the run as ended by rules
   4 and 6, and Single holds (ROOM_UNCHECKED). The broken variant UNTOLD retries at an owner that
   was not told. Room is refuted unless A leaves the room of the run on server 0 unused as well
   (RESERVED), which it doesn't, see docs/decisions/0019-late-starts.md. */

#ifdef LONG_ENTRY
#define SESSION_LEASE 18
#endif
#ifdef LONG_LEASE
#define RUN_LEASE 24
#endif
#ifdef SERVER_RESTART
#define SESSION_LEASE 3
#define RUN_LEASE 5
#define STOP_ACK_TIMEOUT 1
#define RETURN_DELAY 10
#else
#ifndef SESSION_LEASE
#define SESSION_LEASE 7
#endif
#ifndef RUN_LEASE
#define RUN_LEASE 13
#endif
#define STOP_ACK_TIMEOUT 4
#define RETURN_DELAY 26
#endif

bool run0, run1, otherWork0;  /* what runs on the servers */
byte leaseTicksLeft0;         /* ticks until all leases on server 0 expire */
byte token0, tokenA = 1;      /* highest fencing token seen by server 0; A's token */
bool startInFlight;           /* a start command is on its way to server 0 */
byte startTicksLeft;          /* ticks until its deadline */
byte startToken;              /* its fencing token */
bool tracked;                 /* A counts a run on server 0 */
byte trackedTicksLeft;        /* ticks until A knows that all leases there have expired */
bool entryUp = true, aUp = true;
byte confirmedTicksLeft = SESSION_LEASE;  /* ticks until A's session with the entry host expires */
bool ackInFlight;             /* a heartbeat ack is on its way to A */
byte ackTicksLeft;            /* ticks for which it confirms the session */
bool stopping;                /* A wants the run stopped */
byte stopTicks;               /* ticks since then */
bool disconnected, callerReturned;
byte returnTicksLeft;         /* ticks until the caller retries */
bool acquired;                /* the new owner holds server 0 with nothing running on it */
bool restarted;               /* server 0 has restarted */
bool noticed;                 /* A has noticed it and acquired server 0 again */
bool refusesStart;            /* server 0 has acknowledged the stop of a run that it never started */

/* Whether server 0 accepts a command as one for its present incarnation. */
#ifdef INCARNATION_CHECK
#define FOR_THIS_INCARNATION (!restarted || noticed)
#else
#define FOR_THIS_INCARNATION true
#endif

/* Whether A still counts an unanswered run when the lease has expired. The timer of A covers
   the longest time for which a command may be in flight, and a lease after that. A restarted
   server executes the command after its deadline, which is on another clock. */
#if defined(LATE_COMMANDS) && !defined(EXPIRY_RESOLVES)
#define MAY_START_LATE startInFlight
#else
#define MAY_START_LATE false
#endif
#ifdef LATE_COMMANDS
#define BEFORE_DEADLINE (startTicksLeft > 0 || restarted)
#define START_LEASE (startTicksLeft > 0 -> startTicksLeft : RUN_LEASE)
#else
#define BEFORE_DEADLINE true
#define START_LEASE startTicksLeft
#endif

/* The time for which a task is tied covers the flight of the command and a lease after it. */
#ifdef TIED
#define MAY_START_TASK (!startInFlight && !run0)
#else
#define MAY_START_TASK true
#endif
#ifdef UNTOLD
#define MAY_START_ELSEWHERE true
#else
#define MAY_START_ELSEWHERE MAY_START_TASK
#endif
#ifdef RESERVED
#define MAY_USE_ROOM MAY_START_TASK
#else
#define MAY_USE_ROOM true
#endif

/* Whether the clock may advance: with OWNER_NOTICES, only once A has noticed a restart. */
#ifdef OWNER_NOTICES
#define NOTICED_BEFORE_TICK (!restarted || noticed)
#else
#define NOTICED_BEFORE_TICK true
#endif

inline disconnectCaller() {
	if
	:: !disconnected -> disconnected = true; returnTicksLeft = RETURN_DELAY
	:: else
	fi
}

inline checkInvariants() {
	assert(!(run0 && run1));       /* Single */
#ifndef ROOM_UNCHECKED
	assert(!(run0 && otherWork0))  /* Room */
#endif
}

/* Each step is one tick. Everything that depends on time happens here, on hosts that are
   up. */
proctype Clock() {
	do
	:: atomic { NOTICED_BEFORE_TICK ->
		if :: leaseTicksLeft0 > 0 -> leaseTicksLeft0--; if :: leaseTicksLeft0 == 0 -> run0 = false; otherWork0 = false :: else fi :: else fi;
#ifndef NO_DEADLINE
		if :: startTicksLeft > 0 && !restarted -> startTicksLeft--;
#ifndef LATE_COMMANDS
			if :: startTicksLeft == 0 -> startInFlight = false :: else fi
#endif
		:: else fi;
#endif
		if :: ackTicksLeft > 0 -> ackTicksLeft-- :: else fi;
		if
		:: tracked && MAY_START_LATE -> trackedTicksLeft = RUN_LEASE + 1
		:: else -> if :: trackedTicksLeft > 0 -> trackedTicksLeft--; if :: trackedTicksLeft == 0 -> tracked = false :: else fi :: else fi
		fi;
		if
		:: confirmedTicksLeft > 0 -> confirmedTicksLeft--; if :: confirmedTicksLeft == 0 && aUp && tracked -> stopping = true; stopTicks = 0 :: else fi
		:: else -> if :: stopping && stopTicks < STOP_ACK_TIMEOUT + 1 -> stopTicks++ :: else fi
		fi;
		if :: disconnected && returnTicksLeft > 0 -> returnTicksLeft-- :: else fi;
		checkInvariants()
	}
	:: callerReturned && !run0 && !startInFlight -> break
	od
}

/* The entry host. */
proctype EntryHost() {
	do
	:: atomic { entryUp && !ackInFlight -> ackInFlight = true; ackTicksLeft = SESSION_LEASE }   /* acknowledges a heartbeat */
	:: atomic { entryUp -> entryUp = false; disconnectCaller(); break }  /* lost, or abandons the job */
	od
}

proctype OwnerA() {
	/* The first start, while the session is confirmed. */
	atomic { confirmedTicksLeft > 0 -> startInFlight = true; startTicksLeft = RUN_LEASE; startToken = tokenA; tracked = true; trackedTicksLeft = RUN_LEASE + 1 }
	do
	:: atomic { aUp && ackInFlight ->
		ackInFlight = false;
#ifdef LATE_ECHO
		confirmedTicksLeft = SESSION_LEASE
#else
		if :: ackTicksLeft > confirmedTicksLeft && confirmedTicksLeft > 0 -> confirmedTicksLeft = ackTicksLeft :: else fi
#endif
	}
	/* A poll extends the lease while A wants the run, and for STOP_ACK_TIMEOUT after A has
	   requested its stop. */
	:: atomic { aUp && tracked && tokenA >= token0 &&
#ifdef NO_PATIENCE
		true
#else
		(!stopping || stopTicks < STOP_ACK_TIMEOUT)
#endif
		-> leaseTicksLeft0 = (run0 -> RUN_LEASE : leaseTicksLeft0); trackedTicksLeft = RUN_LEASE + 1 }
	/* The stop takes effect. It may also be lost: then this step does not happen. */
	:: atomic { aUp && stopping && tracked && tokenA >= token0 ->
		run0 = false;
		/* The server lists the run as ended, so no command for it is in flight. */
		startInFlight = false; tracked = false }
#ifdef STOP_RESOLVES
	:: atomic { aUp && stopping && tracked && startInFlight && !restarted && tokenA >= token0 -> refusesStart = true; tracked = false }
#endif
#ifdef SERVER_RESTART
	/* Rule 7: a run that the first answer under the new token does not list has ended. */
	:: atomic { aUp && restarted && !noticed && token0 < 3 ->
		noticed = true; tokenA = 3; token0 = 3;
		if
		:: run0 -> stopping = true
		:: else ->
			if :: tracked && !disconnected && MAY_START_TASK -> run1 = true :: else fi;
			tracked = false
		fi;
		checkInvariants() }
#ifdef RESTART_EARLY
	:: atomic { aUp && restarted && !noticed && tracked && !disconnected -> tracked = false; run1 = true; checkInvariants() }
#endif
#endif
#ifdef STOP_IS_END
	:: atomic { aUp && stopping && tracked -> tracked = false }
#endif
	/* A uses the capacity for other work once it no longer counts the run. */
	:: atomic { aUp && !tracked && stopping && tokenA >= token0 && !otherWork0 && MAY_USE_ROOM -> otherWork0 = true; leaseTicksLeft0 = RUN_LEASE; checkInvariants() }
#ifndef OWNER_NOTICES
	:: atomic { aUp && entryUp -> aUp = false; entryUp = false; disconnectCaller(); break }
	:: atomic { aUp && !entryUp -> aUp = false; break }
#endif
	:: callerReturned -> break
	od
}

proctype Server0() {
	do
	:: atomic { startInFlight && startToken >= token0 && FOR_THIS_INCARNATION && BEFORE_DEADLINE && !refusesStart -> startInFlight = false; run0 = true;
		leaseTicksLeft0 = (leaseTicksLeft0 > START_LEASE -> leaseTicksLeft0 : START_LEASE);
#ifdef NO_DEADLINE
		leaseTicksLeft0 = RUN_LEASE;
#endif
		token0 = startToken; checkInvariants() }
	:: atomic { startInFlight && !(startToken >= token0 && FOR_THIS_INCARNATION && BEFORE_DEADLINE && !refusesStart) -> startInFlight = false }
#ifdef SERVER_RESTART
	:: atomic { !restarted -> restarted = true; run0 = false; otherWork0 = false; leaseTicksLeft0 = 0; token0 = 0; acquired = false; refusesStart = false;
		if :: !FOR_THIS_INCARNATION -> startInFlight = false :: else fi }
#endif
	:: callerReturned && !startInFlight -> break
	od
}

/* The new owner of server 0, after A has crashed or while A runs but seems lost. */
proctype NewOwner() {
	do
	:: atomic { !acquired ->
#ifdef EQUAL_FENCE
		token0 = 1;
#else
#ifndef NO_FENCE
		token0 = (token0 > 2 -> token0 : 2);
#endif
#endif
#ifdef EXTEND_ORPHANS
		leaseTicksLeft0 = (run0 -> RUN_LEASE : leaseTicksLeft0);
#endif
		if :: !run0 -> acquired = true :: else fi }
	:: atomic { !acquired && run0 && token0 == 2 -> run0 = false }  /* stops the orphan */
	:: atomic { acquired && !otherWork0 -> otherWork0 = true; leaseTicksLeft0 = RUN_LEASE; checkInvariants() }
	:: callerReturned -> break
	od
}

/* The caller's retry. */
proctype Caller() {
	atomic { disconnected && returnTicksLeft == 0 ->
		if
#ifndef RETRY_AT_OWNER
		:: MAY_START_ELSEWHERE -> run1 = true  /* in another domain */
#endif
		:: aUp && !tracked && MAY_START_TASK -> run1 = true  /* at A, once it counts no run */
		fi;
		callerReturned = true; checkInvariants() }
}

init { atomic { run Clock(); run EntryHost(); run OwnerA(); run Server0(); run NewOwner(); run Caller() } }
