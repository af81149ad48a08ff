/*
 * One call at an entry instance (docs/platform.md; code in io/gate and io/dial).
 *
 * The instance sends the call to one endpoint after another, up to ATTEMPTS that it may have reached. What it learns of a
 * try: nothing was written; the endpoint says that it did not run the call; it answers, well or with a failure; or the
 * connection ends first, after which the endpoint never runs the call, has run it, or runs it later. With REPEATABLE the
 * call may run more than once.
 *
 * A call that is answered with a stream begins at engine 0, which keeps a copy at engine 1. The connection may end while
 * the engine goes on; the instance stops the engine before it resumes the stream at the copy. An engine that cannot be
 * reached by then is lost or cut off, which is no fault of the instance.
 *
 * FAULT_CUT takes a call whose connection ended for one that did not run, FAULT_FORGET (with REPEATABLE) forgets an
 * earlier try when a later endpoint says that it did not run the call, and FAULT_SALVAGE resumes a stream without
 * stopping its engine.
 */
#define ENDPOINTS 3
#define ATTEMPTS 2

mtype = { UNWRITTEN, NOT_RUN, ANSWERED, FAILURE, CUT };
mtype = { OPEN, DELIVERED, REFUSED, UNKNOWN };

byte runs;
byte pending; /* endpoints that run the call after its connection has ended, if ever */
mtype told = OPEN;

bool working[2]; /* engines of the stream */
bool reachable = true;

/* try sends the call to an endpoint and takes what is learned of it. */
inline try(outcome)
{
	if
	:: outcome = UNWRITTEN
	:: outcome = NOT_RUN
	:: runs++; outcome = ANSWERED
	:: runs++; outcome = FAILURE
	:: outcome = CUT /* never runs */
	:: runs++; outcome = CUT
	:: pending++; outcome = CUT /* may run later */
	fi
}

active proctype Call()
{
	byte tried, sends;
	bool may_have_run;
	mtype outcome;

	do
	:: told != OPEN -> break
	:: told == OPEN && (tried == ENDPOINTS || sends == ATTEMPTS) ->
		told = (may_have_run -> UNKNOWN : REFUSED)
	:: told == OPEN && tried < ENDPOINTS && sends < ATTEMPTS ->
		tried++;
		try(outcome);
		if
		:: outcome == UNWRITTEN -> skip
		:: outcome == NOT_RUN ->
			sends++;
#ifdef FAULT_FORGET
			may_have_run = false
#endif
		:: outcome == ANSWERED -> told = DELIVERED
		:: outcome == FAILURE || outcome == CUT ->
			sends++;
#ifdef FAULT_CUT
			may_have_run = may_have_run || outcome == FAILURE;
#else
			may_have_run = true;
#endif
#ifndef REPEATABLE
			if
			:: may_have_run -> told = UNKNOWN
			:: else -> skip
			fi
#endif
		fi
	od;
	assert(told != REFUSED || runs == 0)
}

/* Late runs the call at endpoints whose connection ended, at any time or never. */
active proctype Late()
{
end:	do
	:: pending > 0 ->
		atomic {
			pending--; runs++;
			assert(told != REFUSED)
		}
	od
}

active proctype Once()
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
	working[0] = true;
	if
	:: working[0] = false /* the engine has crashed */
	:: skip /* only its connection has ended */
	fi;
	if
	:: reachable = false
	:: skip
	fi;
#ifndef FAULT_SALVAGE
	if
	:: reachable -> working[0] = false
	:: else -> skip /* given up after a short time */
	fi;
#endif
	working[1] = true;
	assert(!(working[0] && working[1] && reachable))
}
