/*
 * Protected actions (docs/design.md, 5.2; code in core/claim).
 *
 * Up to CALLS client calls with the same idempotency key run concurrently, each at a different instance. After they have
 * ended, one more call runs without faults. FAULTS limits the total number of store and endpoint faults; the instance
 * of one call may crash. A paused instance is one that is not scheduled while others proceed and deadlines pass.
 *
 * RETENTION adds the removal of an old record, after which the key counts as new. The retention time is longer than any
 * call and any delay of a write, so a record is old only when every call that began and every write that was issued
 * before the record was written has ended. Later calls and writes may still be in flight.
 *
 * With LIVE no deadline passes and no instance crashes; after the last fault every call must eventually get an answer.
 *
 * Each of these inserts one bug that the check must find: FAULT_TAKEOVER takes over another call's claim; FAULT_RESEND
 * sends the call again after its response was lost; FAULT_EARLY answers not_run before NOT_RUN is recorded; FAULT_FORGET
 * forgets that a claim without a response may still take effect; FAULT_MISSING answers not_run when it reads no record,
 * although a late claim may still create one; FAULT_REWRITE writes NOT_RUN over whatever version the record has;
 * FAULT_RETRY (with LIVE) claims again without reading the record. With RETENTION, FAULT_BLIND removes the record whatever
 * its version, and FAULT_YOUNG also removes records that are not old.
 */
#ifndef CALLS
#define CALLS 2
#endif
#ifndef FAULTS
#define FAULTS 3
#endif
#define LAST_CALL CALLS
#define MAX_FAULTS 3 /* number of slots in LateEffects */

mtype = { NONE, CLAIMED, DONE, NOT_RUN };
mtype = { ACCEPTED, CONFLICTED, AMBIGUOUS, FAILED, FOUND, MISSING, READ_FAILED };

/* The record in the store; version 0 means that it does not exist. */
byte version;
mtype state = NONE;
byte nonce;

typedef Write { bool pending; byte if_version; mtype state; byte nonce }
Write late[MAX_FAULTS]; /* writes whose response was lost and that take effect later or never */
bool late_run[CALLS + 1]; /* actions that the endpoint runs after their response was lost */

byte faults = FAULTS;
bool crashed;
byte ended;
byte runs;
bool maybe_sent; /* whether some call may have reached the endpoint */
bool reported_not_run[CALLS + 1];
#ifdef RETENTION
byte last_version; /* versions are never reused */
byte version_at_issue[MAX_FAULTS]; /* last_version when the late write was issued */
byte version_at_start[CALLS + 1]; /* last_version when the call began */
bool call_running[CALLS + 1];
bool removed;
bool orphan_claim; /* whether a late claim took effect after the record that it conflicted with was removed */
#define NEXT_VERSION last_version++; version = last_version
#else
#define NEXT_VERSION version++
#endif

inline apply_write(new_state, writer, if_version, result)
{
	if
	:: version == if_version ->
		/* The answer not_run promises that a retry can succeed, so no later claim of that call may block it. */
		assert(!(new_state == CLAIMED && reported_not_run[writer]));
		NEXT_VERSION; state = new_state; nonce = writer; result = ACCEPTED
	:: else -> result = CONFLICTED
	fi
}

inline run_action(by)
{
	runs++;
	assert(runs <= 1);
	assert(!reported_not_run[by])
}

inline report_not_run()
{
	if
	:: !client_answered ->
		assert(!(version > 0 && state == CLAIMED && nonce == id));
		client_answered = true; reported_not_run[id] = true
	:: else
	fi
}

inline report_result() { assert(runs == 1); client_answered = true }

inline write_record(st)
{
	if
	:: apply_write(st, id, expected_version, ev); got_version = version
	/* A write whose response is lost takes effect at once, later or never, depending on when LateEffects is scheduled. */
	:: faults > 0 -> faults--; ev = AMBIGUOUS;
		late[faults].pending = true; late[faults].if_version = expected_version;
#ifdef RETENTION
		version_at_issue[faults] = last_version;
#endif
		late[faults].state = st; late[faults].nonce = id
	:: faults > 0 -> faults--; ev = FAILED
	fi
}

inline read_record()
{
	if
	:: version == 0 -> ev = MISSING
	:: version > 0 -> ev = FOUND; got_version = version; got_state = state; got_nonce = nonce
	:: faults > 0 -> faults--; ev = READ_FAILED
	fi
}

/* The deadline may pass before any step of a call. */
inline maybe_pass_deadline() { if :: !fault_free -> deadline_passed = true :: true fi }

inline crash()
{
	if
	:: !fault_free && !crashed -> crashed = true; goto call_ended
	:: true
	fi
}

proctype Call(byte id; bool fault_free)
{
	mtype ev, got_state;
	byte got_nonce, got_version, expected_version;
	bool claim_unknown, saw_record, deadline_passed, client_answered, recorded;

#ifdef RETENTION
	atomic { version_at_start[id] = last_version; call_running[id] = true };
#endif
claiming:
	atomic {
		write_record(CLAIMED);
claim_outcome:
		maybe_pass_deadline();
		if
		:: ev == ACCEPTED -> expected_version = got_version; goto claim_held
		:: ev == FOUND && got_nonce == id -> expected_version = got_version; goto claim_held
		:: ev == FOUND && got_nonce != id ->
			saw_record = true;
			if
			:: got_version != expected_version -> claim_unknown = false
			:: else
			fi;
			if
			:: got_state == DONE -> report_result(); goto call_ended
			:: got_state == CLAIMED ->
#ifdef FAULT_TAKEOVER
				expected_version = got_version
#else
				client_answered = true; goto call_ended /* in_progress or outcome_unknown */
#endif
			:: got_state == NOT_RUN -> expected_version = got_version
			fi
		:: ev == CONFLICTED -> saw_record = true
#ifdef RETENTION
		:: ev == MISSING && expected_version != 0 -> claim_unknown = false; expected_version = 0
#endif
#ifndef FAULT_FORGET
		:: ev == AMBIGUOUS -> claim_unknown = true
#endif
		:: else
		fi;
		if
		:: !claim_unknown && (ev == FAILED || ev == READ_FAILED || deadline_passed) ->
			if
			:: saw_record -> client_answered = true
			:: else -> report_not_run()
			fi;
			goto call_ended
		:: claim_unknown && deadline_passed -> client_answered = true; goto closing_read
		:: else ->
			if
			:: ev == FOUND || ev == MISSING -> goto claiming
			:: else
			fi
		fi
	}
	crash();
#ifdef FAULT_RETRY
	/* Claims again without reading the record, so its own claim, whose response was lost, conflicts with it forever. */
	goto claiming;
#endif
	atomic { read_record(); goto claim_outcome };

claim_held:
	atomic {
		maybe_pass_deadline();
		if
		:: deadline_passed -> goto closing
		:: else
		fi
	}
sending:
	/* The instance may pause between the deadline check above and the transmission. */
	crash();
	atomic {
		if
		:: faults > 0 -> faults--; /* the connection was refused */
			if
			:: goto claim_held
			:: goto closing
			fi
		:: maybe_sent = true; run_action(id); goto recording
		/* The response is lost; the action runs at once, later or never. */
		:: faults > 0 -> faults--; maybe_sent = true; late_run[id] = true
		fi;
#ifdef FAULT_RESEND
		goto sending;
#endif
		client_answered = true;
		goto call_ended
	}

recording:
	crash();
	atomic {
		write_record(DONE);
record_outcome:
		report_result();
		if
		:: ev == FOUND && got_nonce == id && got_state != DONE -> expected_version = got_version; goto recording
		:: ev == FOUND -> assert(got_nonce == id); goto call_ended
		:: ev == ACCEPTED -> goto call_ended
		:: else -> assert(ev != MISSING) /* also with RETENTION: a record that is not old is never removed */
		fi
	}
	crash();
	atomic { read_record(); goto record_outcome };

closing:
	crash();
#ifdef FAULT_EARLY
	atomic { report_not_run() };
#endif
#ifdef FAULT_REWRITE
	expected_version = version;
#endif
	atomic {
		write_record(NOT_RUN);
close_outcome:
		recorded = (ev == ACCEPTED);
		if
		:: ev == FOUND ->
			recorded = ((got_nonce == id && got_state != CLAIMED) || (got_nonce != id && got_version != expected_version));
			expected_version = got_version
#ifdef FAULT_MISSING
		:: ev == MISSING -> recorded = true
#elif defined(RETENTION)
		:: ev == MISSING -> recorded = (expected_version != 0)
#endif
		:: else
		fi;
		if
		:: recorded -> report_not_run(); goto call_ended
		:: else
		fi;
		if
		:: !fault_free -> client_answered = true /* the client stops waiting and gets the answer outcome_unknown */
		:: true
		fi;
		if
		:: ev == FOUND || ev == MISSING -> goto closing
		:: else
		fi
	}
closing_read:
	crash();
	atomic { read_record(); goto close_outcome };

call_ended:
#ifdef LIVE
	assert(client_answered);
#endif
#ifdef RETENTION
	atomic { call_running[id] = false; ended++ }
#else
	ended++
#endif
}

#ifdef RETENTION
#define CALL_OVER(i) (!call_running[i] || version_at_start[i] >= version)
#define WRITE_OVER(i) (!late[i].pending || version_at_issue[i] >= version)
#define OLD (!late_run[nonce] && CALL_OVER(0) && CALL_OVER(1) && CALL_OVER(LAST_CALL) && \
	WRITE_OVER(0) && WRITE_OVER(1) && WRITE_OVER(2))

/* One cleanup pass: lists the record and later removes it if its version is still the listed one. */
proctype RetentionSweep()
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
		:: ended > CALLS /* the record stays for the assertions about the last call */
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
#define NOTE_ORPHAN_CLAIM if :: result == ACCEPTED && new_state == CLAIMED && removed -> orphan_claim = true :: else fi
#else
#define NOTE_ORPHAN_CLAIM skip
#endif
#define LATE_WRITE(i) atomic { late[i].pending -> late[i].pending = false; \
	new_state = late[i].state; writer = late[i].nonce; if_version = late[i].if_version; \
	apply_write(new_state, writer, if_version, result); NOTE_ORPHAN_CLAIM }

proctype LateEffects()
{
	mtype result, new_state;
	byte writer, if_version;
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
		run LateEffects();
#ifdef RETENTION
		run RetentionSweep();
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
	/* If nothing was sent and no instance crashed, a retry must run the action, whatever writes were lost or are late. */
	if
	:: !maybe_sent && !crashed ->
		faults = 0;
		run Call(LAST_CALL, true);
		ended == CALLS + 1;
#ifdef RETENTION
		assert((runs == 1 && state == DONE) || (orphan_claim && runs == 0))
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
