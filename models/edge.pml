/*
 * One call at an entry instance (docs/platform.md; code in io/gate and io/dial).
 *
 * The instance sends the call to one endpoint after another, until it may have reached ATTEMPTS of them. The result of an
 * attempt is one of: nothing was written; the endpoint reports that it did not run the call; the endpoint answers with a
 * success or a failure; or the connection ends first, after which the endpoint never runs the call, has already run it,
 * or runs it later. With REPEATABLE the call may run more than once.
 *
 * A streaming call begins at engine 0, which sends a copy of its state to engine 1 while it generates. The connection may
 * end while engine 0 goes on generating, so the instance stops engine 0 before it resumes the stream from the copy. An
 * engine that cannot be reached for that has crashed or is partitioned; both engines may then run, which doesn't count as
 * a violation. The connection may also end before engine 0 has generated anything, so that there is no copy; asked to
 * resume, engine 1 then refuses or begins anew, and its answer may be lost as well.
 *
 * Each of these inserts one bug that the check must find: FAULT_CUT assumes that a call whose connection ended did not
 * run, FAULT_FORGET (with REPEATABLE) forgets an earlier attempt when a later endpoint reports that it did not run the
 * call, FAULT_SALVAGE resumes a stream without stopping its engine, and FAULT_ASSUME resumes one of which no event has
 * arrived.
 */
#define ENDPOINTS 3
#define ATTEMPTS 2

mtype = { UNWRITTEN, NOT_RUN, ANSWERED, FAILURE, CUT };
mtype = { OPEN, DELIVERED, REFUSED, UNKNOWN };

byte runs;
byte pending_runs; /* endpoints that may run the call after its connection has ended */
mtype call_result = OPEN;

bool engine_running[2]; /* whether each engine generates the stream */
bool engine_reachable = true;
bool event_received; /* whether the instance has received an event of the stream */
bool has_copy;       /* whether engine 1 has a copy of the stream's state */
byte stream_runs;    /* how often the stream was begun */

/* Sends the call to an endpoint and sets outcome to the result that the instance observes. */
inline try_endpoint(outcome)
{
	if
	:: outcome = UNWRITTEN
	:: outcome = NOT_RUN
	:: runs++; outcome = ANSWERED
	:: runs++; outcome = FAILURE
	:: outcome = CUT /* never runs */
	:: runs++; outcome = CUT
	:: pending_runs++; outcome = CUT /* may run later */
	fi
}

active proctype Call()
{
	byte tried, sends;
	bool may_have_run;
	mtype outcome;

	do
	:: call_result != OPEN -> break
	:: call_result == OPEN && (tried == ENDPOINTS || sends == ATTEMPTS) ->
		call_result = (may_have_run -> UNKNOWN : REFUSED)
	:: call_result == OPEN && tried < ENDPOINTS && sends < ATTEMPTS ->
		tried++;
		try_endpoint(outcome);
		if
		:: outcome == UNWRITTEN -> skip
		:: outcome == NOT_RUN ->
			sends++;
#ifdef FAULT_FORGET
			may_have_run = false
#endif
		:: outcome == ANSWERED -> call_result = DELIVERED
		:: outcome == FAILURE || outcome == CUT ->
			sends++;
#ifdef FAULT_CUT
			may_have_run = may_have_run || outcome == FAILURE;
#else
			may_have_run = true;
#endif
#ifndef REPEATABLE
			if
			:: may_have_run -> call_result = UNKNOWN
			:: else -> skip
			fi
#endif
		fi
	od;
	assert(call_result != REFUSED || runs == 0)
}

/* Runs the call at endpoints whose connection has ended, at any later time or never. */
active proctype LateRuns()
{
end:	do
	:: pending_runs > 0 ->
		atomic {
			pending_runs--; runs++;
			assert(call_result != REFUSED)
		}
	od
}

active proctype AtMostOnce()
{
#ifndef REPEATABLE
end:	do
	:: runs > 1 -> assert(false)
	od
#endif
	skip
}

active proctype Stream()
{
	bool stopped; /* whether engine 0 has confirmed that it stopped the stream and copied its state */

	engine_running[0] = true;
	stream_runs++;
	if
	:: has_copy = true; event_received = true
	:: has_copy = true /* the event was lost */
	:: skip
	fi;
	if
	:: engine_running[0] = false /* the engine has crashed */
	:: skip /* only its connection has ended */
	fi;
	if
	:: engine_reachable = false
	:: skip
	fi;
#ifndef FAULT_SALVAGE
	if
	:: engine_reachable && engine_running[0] -> engine_running[0] = false; stopped = true; has_copy = true
	:: engine_reachable && !engine_running[0] -> skip /* it does not run the stream */
	:: else -> skip /* the stop request times out */
	fi;
#endif
	if
#ifdef FAULT_ASSUME
	:: true ->
#else
	:: stopped || event_received ->
#endif
		if
		:: has_copy -> engine_running[1] = true
		:: !has_copy -> engine_running[1] = true; stream_runs++ /* begins anew */
		:: !has_copy -> skip /* refuses */
		fi
	:: else -> skip /* the caller is told that the call may have run */
	fi;
	assert(stream_runs <= 1);
	assert(!(engine_running[0] && engine_running[1] && engine_reachable))
}
