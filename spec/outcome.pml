/*
 * One non-idempotent request: its home, its witness, a retry at another host, and a backend server.
 *
 * Checked: the server runs it at most once, and a caller that is told that it did not run is told
 * the truth for ever. A message that was sent stays in the network: it may arrive late, several times,
 * after any other, or never. Home and witness may crash at any moment, and each evicts its
 * generation once. The names are those of src/core/outcome; the design: docs/outcome-design.md.
 *
 *   spin -a outcome.pml && cc -O2 -DSAFETY -o pan pan.c && ./pan
 *   spin -a -DMUTATE_SEAL_AFTER_PREPARED outcome.pml && ...   must find an error
 */
// MUTATIONS: MUTATE_RUN_UNACKNOWLEDGED MUTATE_SEAL_AFTER_PREPARED MUTATE_PREPARE_AFTER_SEAL MUTATE_NOT_RUN_WITHOUT_SEAL MUTATE_RESTARTED_WITNESS_ANSWERS MUTATE_WITNESS_FORGETS_ONE MUTATE_CALL_AGAIN_AFTER_LOST MUTATE_NOT_RUN_AFTER_LOST MUTATE_HOME_ADMITS_AGAIN MUTATE_TRANSFER

#define ATTEMPTS 2	/* Attempts of the home, each with its own nonce. */
#define CALLS 2		/* Calls of the home under one acknowledgement. */

/* The witness's record. */
mtype = { Unknown, Sealed, Prepared, Ran, RefusedNotRun, RefusedMayHaveRun };

/* State of the request at the home. */
mtype = { Never, Preparing, Running, EndedRan, EndedNotRun, EndedMayHaveRun };

mtype record = Unknown;
byte record_nonce;
bool witness_up = true;
bool witness_floor;		/* The generation is evicted, its tickets are refused. */

mtype state = Never;
byte nonce;
byte attempts;
byte calls;
bool home_up = true;
bool home_floor;

/* Messages that were sent, by the home's nonce where they carry it. */
bool prepare[ATTEMPTS];
bool prepared[ATTEMPTS];
bool unprepared[ATTEMPTS];	/* Rejection: sealed, expired, evicted or full. The home may say not run. */
bool taken[ATTEMPTS];
bool seal;
bool standing_sealed;
bool standing_not_run;
bool keep_not_run;
bool keep_may_have_run;
bool keep_ran;
bool home_not_run;		/* The outcome that the home sends to the other host. */
bool transfer;

/* The server. A call that was sent arrives once, late, or never. */
byte in_flight;
byte executed;
bool reply;

/* Some caller was told that the request did not run. */
bool told_not_run;

inline execute() {
	executed++;
	assert(executed <= 1);
	assert(!told_not_run)
}

inline tell_not_run() {
	told_not_run = true;
	assert(executed == 0)
}

inline send_call() {
	in_flight++;
	calls++
}

/* An outcome that the home records, tells its callers, and sends to witness and other host. */
inline end_not_run() {
	state = EndedNotRun;
	keep_not_run = true;
	home_not_run = true;
	tell_not_run()
}

inline end_may_have_run() {
	state = EndedMayHaveRun;
	keep_may_have_run = true
}

proctype Home() {
end:	do
	/* A submission, from a caller or forwarded, the first or a late duplicate. */
	:: atomic { home_up && state == Never && !home_floor && attempts < ATTEMPTS ->
		nonce = attempts;
		attempts++;
		state = Preparing;
		prepare[nonce] = true
	   }
	/* The host is leaving, or has no room: refused before a message to the witness. */
	:: atomic { home_up && state == Never && !home_floor -> end_not_run() }
#ifdef MUTATE_RUN_UNACKNOWLEDGED
	:: atomic { home_up && state == Preparing -> state = Running; send_call() }
#endif
	:: atomic { home_up && state == Preparing && prepared[nonce] ->
		state = Running;
		send_call()
	   }
	:: atomic { home_up && state == Preparing && unprepared[nonce] -> end_not_run() }
	:: atomic { home_up && state == Preparing && taken[nonce] -> end_may_have_run() }
	/* The witness did not reply in time. */
	:: atomic { home_up && state == Preparing -> end_not_run() }
	:: atomic { home_up && state == Running && reply -> state = EndedRan; keep_ran = true }
	/* The server refused the call, or it was never sent: another server may have it. */
	:: atomic { home_up && state == Running && in_flight > 0 ->
		in_flight--;
		if
		:: calls < CALLS -> send_call()
		:: true -> end_not_run()
		fi
	   }
	/* The connection broke or timed out after the send. */
	:: atomic { home_up && state == Running ->
#ifdef MUTATE_NOT_RUN_AFTER_LOST
		end_not_run()
#else
		end_may_have_run()
#endif
	   }
#ifdef MUTATE_CALL_AGAIN_AFTER_LOST
	:: atomic { home_up && state == Running && calls < CALLS -> send_call() }
#endif
	/* A generation is evicted once its requests have ended. */
	:: atomic { home_up && (state == EndedRan || state == EndedNotRun ||
				state == EndedMayHaveRun) ->
		state = Never;
#ifndef MUTATE_HOME_ADMITS_AGAIN
		home_floor = true
#endif
	   }
	:: atomic { home_up -> home_up = false }
	od
}

proctype Witness() {
	byte n;
end:	do
	:: atomic { witness_up ->
		if
		:: prepare[0] -> n = 0
		:: prepare[1] -> n = 1
		:: else -> goto end
		fi;
		if
		:: witness_floor -> unprepared[n] = true
		:: !witness_floor && record == Unknown ->
			if
			:: record = Prepared; record_nonce = n; prepared[n] = true
			/* The ticket is too old to start with. */
			:: record = Sealed; unprepared[n] = true
			/* No memory is left. */
			:: unprepared[n] = true
			fi
		:: !witness_floor && record == Prepared && record_nonce == n -> prepared[n] = true
		:: !witness_floor && record == Prepared && record_nonce != n -> taken[n] = true
		:: !witness_floor && (record == Ran || record == RefusedNotRun ||
				      record == RefusedMayHaveRun) -> taken[n] = true
#ifdef MUTATE_PREPARE_AFTER_SEAL
		:: !witness_floor && record == Sealed -> prepared[n] = true
#else
		:: !witness_floor && record == Sealed -> unprepared[n] = true
#endif
		fi
	   }
	:: atomic { witness_up && seal && !witness_floor ->
		if
		:: record == Unknown -> record = Sealed; standing_sealed = true
		/* No memory is left: no seal, and no outcome. */
		:: record == Unknown -> skip
		:: record == Sealed -> standing_sealed = true
#ifdef MUTATE_SEAL_AFTER_PREPARED
		:: record == Prepared -> record = Sealed; standing_sealed = true
#else
		:: record == Prepared -> skip
#endif
		:: record == RefusedNotRun -> standing_not_run = true
		:: record == Ran || record == RefusedMayHaveRun -> skip
		fi
	   }
#ifdef MUTATE_TRANSFER
	/* The right to run goes to the other host in place of a seal. */
	:: atomic { witness_up && seal && !witness_floor && record == Unknown ->
		record = Sealed;
		transfer = true
	   }
#endif
	:: atomic { witness_up && record == Prepared && keep_ran -> record = Ran }
	:: atomic { witness_up && record == Prepared && keep_not_run -> record = RefusedNotRun }
	:: atomic { witness_up && record == Prepared && keep_may_have_run ->
		record = RefusedMayHaveRun
	   }
	/* The generation is evicted as a whole. */
	:: atomic { witness_up && !witness_floor -> record = Unknown; witness_floor = true }
#ifdef MUTATE_WITNESS_FORGETS_ONE
	:: atomic { witness_up && record != Unknown -> record = Unknown }
#endif
	/* A restarted witness has another incarnation, and drops messages for the former. */
#ifdef MUTATE_RESTARTED_WITNESS_ANSWERS
	:: atomic { witness_up && !witness_floor -> record = Unknown }
#else
	:: atomic { witness_up -> witness_up = false }
#endif
	od
}

/* A host at which a caller retries. It may give up at any time and say that it may have run. */
proctype Elsewhere() {
end:	do
	:: atomic { !seal -> seal = true }
#ifdef MUTATE_NOT_RUN_WITHOUT_SEAL
	:: atomic { !home_up -> tell_not_run() }
#endif
	:: atomic { standing_sealed && !told_not_run -> tell_not_run() }
	:: atomic { standing_not_run && !told_not_run -> tell_not_run() }
	:: atomic { home_not_run && !told_not_run -> tell_not_run() }
#ifdef MUTATE_TRANSFER
	:: atomic { transfer -> transfer = false; in_flight++ }
#endif
	od
}

proctype Server() {
end:	do
	:: atomic { in_flight > 0 -> in_flight--; execute(); reply = true }
	od
}

init {
	atomic {
		run Home();
		run Witness();
		run Elsewhere();
		run Server()
	}
}
