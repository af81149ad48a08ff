/*
 * Protected actions (docs/design.md, 5.2; code in core/claim).
 *
 * Up to CALLS client calls with one idempotency key run at once, each at an instance of its own; a last call
 * without faults follows once they have ended. FAULTS bounds the store's and endpoint's faults in all; one holder may
 * crash. A paused holder is one that is not scheduled while others move and deadlines pass.
 *
 * RETENTION adds the removal of an old record, after which the key counts as new. The retention time exceeds the length
 * of a call and the delay of a write, so a record is old only when every call that began and every write that was issued
 * before it was written has ended. Later ones may be under way.
 *
 * With LIVE no deadline passes and nobody crashes: once the faults are used up, every call must get an answer in the end.
 *
 * FAULT_TAKEOVER, FAULT_RESEND, FAULT_EARLY, FAULT_FORGET, FAULT_MISSING, FAULT_REWRITE and FAULT_RETRY (with LIVE) each
 * put one fault in; with RETENTION, FAULT_BLIND removes whatever is there, and FAULT_YOUNG also records that are not old.
 */
#ifndef CALLS
#define CALLS 2
#endif
#ifndef FAULTS
#define FAULTS 3
#endif
#define LAST CALLS
#define MAX_FAULTS 3 /* Late has this many slots */

mtype = { NONE, CLAIMED, DONE, NOT_RUN };
mtype = { ACCEPTED, CONFLICTED, AMBIGUOUS, FAILED, FOUND, MISSING, READ_FAILED };

/* The object; version 0 means that it does not exist. */
byte version;
mtype state = NONE;
byte nonce;

typedef Write { bool on; byte if_version; mtype state; byte nonce }
Write late[MAX_FAULTS]; /* writes whose answer was lost and that take effect later, if ever */
bool late_run[CALLS + 1]; /* actions that the endpoint runs after their answer was lost */

byte faults = FAULTS;
bool crashed;
byte ended;
byte runs;
bool sent; /* some call may have reached the endpoint */
bool told_not_run[CALLS + 1];
#ifdef RETENTION
byte last; /* versions are never used again */
byte issued[MAX_FAULTS]; /* the last version when the late write was issued */
byte began[CALLS + 1]; /* the last version when the call began */
bool busy[CALLS + 1];
bool removed;
bool stray; /* a late claim took effect after the record that it conflicted with was removed */
#define NEXT_VERSION last++; version = last
#else
#define NEXT_VERSION version++
#endif

inline write(st, by, iv, res)
{
	if
	:: version == iv ->
		/* Told not_run means that a retry can succeed: no later claim of that call may block it. */
		assert(!(st == CLAIMED && told_not_run[by]));
		NEXT_VERSION; state = st; nonce = by; res = ACCEPTED
	:: else -> res = CONFLICTED
	fi
}

inline run_action(by)
{
	runs++;
	assert(runs <= 1);
	assert(!told_not_run[by])
}

inline tell_not_run()
{
	if
	:: !told ->
		assert(!(version > 0 && state == CLAIMED && nonce == id));
		told = true; told_not_run[id] = true
	:: else
	fi
}

inline tell_result() { assert(runs == 1); told = true }

inline put(st)
{
	if
	:: write(st, id, base, ev); got_version = version
	/* The effect of a write whose answer is lost comes at once, later or never, as the process Late is scheduled. */
	:: faults > 0 -> faults--; ev = AMBIGUOUS;
		late[faults].on = true; late[faults].if_version = base;
#ifdef RETENTION
		issued[faults] = last;
#endif
		late[faults].state = st; late[faults].nonce = id
	:: faults > 0 -> faults--; ev = FAILED
	fi
}

inline get()
{
	if
	:: version == 0 -> ev = MISSING
	:: version > 0 -> ev = FOUND; got_version = version; got_state = state; got_nonce = nonce
	:: faults > 0 -> faults--; ev = READ_FAILED
	fi
}

/* The deadline may pass before any step of a call. */
inline tick() { if :: !clean -> past = true :: true fi }

inline crash()
{
	if
	:: !clean && !crashed -> crashed = true; goto gone
	:: true
	fi
}

proctype Call(byte id; bool clean)
{
	mtype ev, got_state;
	byte got_nonce, got_version, base;
	bool doubt, seen, past, told, recorded;

#ifdef RETENTION
	atomic { began[id] = last; busy[id] = true };
#endif
claiming:
	atomic {
		put(CLAIMED);
claim_outcome:
		tick();
		if
		:: ev == ACCEPTED -> base = got_version; goto held
		:: ev == FOUND && got_nonce == id -> base = got_version; goto held
		:: ev == FOUND && got_nonce != id ->
			seen = true;
			if
			:: got_version != base -> doubt = false
			:: else
			fi;
			if
			:: got_state == DONE -> tell_result(); goto gone
			:: got_state == CLAIMED ->
#ifdef FAULT_TAKEOVER
				base = got_version
#else
				told = true; goto gone /* in_progress or outcome_unknown */
#endif
			:: got_state == NOT_RUN -> base = got_version
			fi
		:: ev == CONFLICTED -> seen = true
#ifdef RETENTION
		:: ev == MISSING && base != 0 -> doubt = false; base = 0
#endif
#ifndef FAULT_FORGET
		:: ev == AMBIGUOUS -> doubt = true
#endif
		:: else
		fi;
		if
		:: !doubt && (ev == FAILED || ev == READ_FAILED || past) ->
			if
			:: seen -> told = true
			:: else -> tell_not_run()
			fi;
			goto gone
		:: doubt && past -> told = true; goto closing_read
		:: else ->
			if
			:: ev == FOUND || ev == MISSING -> goto claiming
			:: else
			fi
		fi
	}
	crash();
#ifdef FAULT_RETRY
	/* Claims again without reading back, so that its own claim, whose answer was lost, refuses it for ever. */
	goto claiming;
#endif
	atomic { get(); goto claim_outcome };

held:
	atomic {
		tick();
		if
		:: past -> goto closing
		:: else
		fi
	}
sending:
	/* A pause between the check above and the transmission is allowed. */
	crash();
	atomic {
		if
		:: faults > 0 -> faults--; /* the connection was refused */
			if
			:: goto held
			:: goto closing
			fi
		:: sent = true; run_action(id); goto recording
		/* The answer is lost; the action runs at once, later or never. */
		:: faults > 0 -> faults--; sent = true; late_run[id] = true
		fi;
#ifdef FAULT_RESEND
		goto sending;
#endif
		told = true;
		goto gone
	}

recording:
	crash();
	atomic {
		put(DONE);
record_outcome:
		tell_result();
		if
		:: ev == FOUND && got_nonce == id && got_state != DONE -> base = got_version; goto recording
		:: ev == FOUND -> assert(got_nonce == id); goto gone
		:: ev == ACCEPTED -> goto gone
		:: else -> assert(ev != MISSING) /* with RETENTION, too: nothing young is removed */
		fi
	}
	crash();
	atomic { get(); goto record_outcome };

closing:
	crash();
#ifdef FAULT_EARLY
	atomic { tell_not_run() };
#endif
#ifdef FAULT_REWRITE
	base = version;
#endif
	atomic {
		put(NOT_RUN);
close_outcome:
		recorded = (ev == ACCEPTED);
		if
		:: ev == FOUND ->
			recorded = ((got_nonce == id && got_state != CLAIMED) || (got_nonce != id && got_version != base));
			base = got_version
#ifdef FAULT_MISSING
		:: ev == MISSING -> recorded = true
#elif defined(RETENTION)
		:: ev == MISSING -> recorded = (base != 0)
#endif
		:: else
		fi;
		if
		:: recorded -> tell_not_run(); goto gone
		:: else
		fi;
		if
		:: !clean -> told = true /* the client has waited long enough and is told unknown */
		:: true
		fi;
		if
		:: ev == FOUND || ev == MISSING -> goto closing
		:: else
		fi
	}
closing_read:
	crash();
	atomic { get(); goto close_outcome };

gone:
#ifdef LIVE
	assert(told);
#endif
#ifdef RETENTION
	atomic { busy[id] = false; ended++ }
#else
	ended++
#endif
}

#ifdef RETENTION
#define CALL_OVER(i) (!busy[i] || began[i] >= version)
#define WRITE_OVER(i) (!late[i].on || issued[i] >= version)
#define OLD (!late_run[nonce] && CALL_OVER(0) && CALL_OVER(1) && CALL_OVER(LAST) && WRITE_OVER(0) && WRITE_OVER(1) && WRITE_OVER(2))

/* One pass: it lists the record and removes it later, on the condition that its version is still the listed one. */
proctype Sweep()
{
	byte listed;
end:
	atomic {
#ifdef FAULT_YOUNG
		version > 0 && ended < CALLS -> listed = version
#else
		version > 0 && ended < CALLS && OLD -> listed = version
#endif
	}
	atomic {
		if
		:: ended > CALLS /* the last call's record is checked instead */
#ifdef FAULT_BLIND
		:: ended <= CALLS && version > 0 -> assert(OLD);
#else
		:: ended <= CALLS && version == listed ->
#endif
			if
			:: OLD -> runs = 0 /* the key counts as new */
			:: else
			fi;
			version = 0; state = NONE; removed = true
		:: else
		fi
	}
}
#endif

#ifdef RETENTION
#define NOTE_STRAY if :: res == ACCEPTED && st == CLAIMED && removed -> stray = true :: else fi
#else
#define NOTE_STRAY skip
#endif
#define LATE_WRITE(i) atomic { late[i].on -> late[i].on = false; \
	st = late[i].state; by = late[i].nonce; iv = late[i].if_version; write(st, by, iv, res); NOTE_STRAY }

proctype Late()
{
	mtype res, st;
	byte by, iv;
end:
	do
	:: LATE_WRITE(0)
	:: LATE_WRITE(1)
	:: LATE_WRITE(2)
	:: atomic { late_run[0] -> late_run[0] = false; run_action(0) }
	:: atomic { late_run[1] -> late_run[1] = false; run_action(1) }
	od
}

init
{
	byte i;
	atomic {
		run Late();
#ifdef RETENTION
		run Sweep();
#endif
		do
#ifdef LIVE
		:: i < CALLS -> run Call(i, true); i++
#else
		:: i < CALLS -> run Call(i, false); i++
#endif
		:: else -> break
		od
	}
	ended == CALLS;
#ifndef LIVE
	/* Nothing was sent and no holder crashed: whatever was lost or is still late, a retry must run the action. */
	if
	:: !sent && !crashed ->
		faults = 0;
		run Call(LAST, true);
		ended == CALLS + 1;
#ifdef RETENTION
		assert((runs == 1 && state == DONE) || (stray && runs == 0))
#else
		assert(runs == 1 && state == DONE)
#endif
	:: else
	fi
#endif
}

#ifdef LIVE
ltl answered { <> (ended == CALLS) }
#endif
