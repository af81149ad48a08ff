/*
 * Change tickets (docs/design.md, 5.1).
 *
 * Tickets 1 and 2 set the same item and were written by two operators who had both read ticket 0 (the empty log);
 * ticket 3 sets another item. Each ticket's applier creates the next number that it believes free. Ticket 1's operator
 * loses the answer and retries through another instance while the first applier may still be at work.
 *
 * With SPREAD the log grows without faults instead, and two instances apply it from the store or take a peer's state;
 * each may restart once. Both parts at once have too many states to search in a minute.
 *
 * FAULT_BLIND, FAULT_OWN, FAULT_UNCHECKED, FAULT_TAIL, FAULT_STALE and FAULT_ORDER each put one fault in.
 */
#define FAULTS 3
#define TICKETS 3
#define SLOTS 5 /* one more than can be filled, and number 0 */
#define INSTANCES 2

#define ITEM(t) ((t) == 3 -> 2 : 1)

mtype = { ACCEPTED, CONFLICTED, AMBIGUOUS, FAILED };

byte log[SLOTS]; /* the ticket at each number; 0 is none */
byte number[TICKETS + 1]; /* the number under which each ticket was accepted */
bool told_conflict[TICKETS + 1];
byte faults = FAULTS;

typedef Write { byte ticket; byte number }
Write late[FAULTS]; /* creates whose answer was lost and that take effect later, if ever */

byte applied[INSTANCES]; /* number in force at each instance */
bool ready[INSTANCES];
byte set_by[6]; /* the ticket that last set item 1 or 2 at instance i is set_by[i * 3 + item] */

inline create(t, n, res)
{
	if
#ifdef FAULT_BLIND
	:: true ->
#else
	:: log[n] == 0 ->
#endif
		/* An accepted ticket never reverts, and none is accepted twice. */
		assert(log[n] == 0 && number[t] == 0);
		assert(n == 1 || log[n - 1] != 0);
		/* Of two conflicting tickets only one is accepted; a ticket reported as conflicting never is. */
		assert(t == 3 || number[3 - t] == 0);
		assert(!told_conflict[t]);
		log[n] = t; number[t] = n; res = ACCEPTED
	:: log[n] != 0 -> res = CONFLICTED
	fi
}

/* An applier of a ticket with base 0; it may crash at any time, which is the same as not being scheduled again. */
proctype Applier(byte t)
{
	byte n = 1;
	mtype ev;
	byte other;

#ifdef FAULT_TAIL
	/* Starts behind the last ticket instead of behind the ticket's base. */
	atomic { do :: log[n] != 0 -> n++ :: else -> break od };
#endif
propose:
	atomic {
		if
		:: create(t, n, ev)
		:: faults > 0 -> faults--; ev = AMBIGUOUS; late[faults].ticket = t; late[faults].number = n
		:: faults > 0 -> faults--; ev = FAILED
		fi;
		if
		:: ev == ACCEPTED -> goto accepted
		:: else
		fi
	}
	/* Reads the number back. */
	atomic {
		other = log[n];
		if
		:: other == 0 -> goto propose
#ifndef FAULT_OWN
		:: other == t -> goto accepted
		:: other != 0 && other != t ->
#else
		:: other != 0 ->
#endif
			if
#ifndef FAULT_UNCHECKED
			:: ITEM(other) == ITEM(t) ->
				/* A lost answer is not taken for a conflict. */
				assert(number[t] == 0);
				told_conflict[t] = true;
				goto done
			:: ITEM(other) != ITEM(t) -> n++; other = 0; goto propose
#else
			:: true -> n++; other = 0; goto propose
#endif
			fi
		fi
	}
accepted:
	assert(log[n] == t && number[t] == n);
done:
	skip
}

#define LATE_CREATE(i) atomic { late[i].ticket != 0 -> t = late[i].ticket; n = late[i].number; \
	late[i].ticket = 0; late[i].number = 0; create(t, n, res); t = 0; n = 0 }

proctype Late()
{
	byte t, n;
	mtype res;
end:
	do
	:: LATE_CREATE(0)
	:: LATE_CREATE(1)
	:: LATE_CREATE(2)
	od
}

/* The state at instance i must be the fold of the log up to its number. */
inline check(i)
{
	k = 1; want1 = 0; want2 = 0;
	do
	:: k <= applied[i] ->
		assert(log[k] != 0);
		if
		:: ITEM(log[k]) == 1 -> want1 = log[k]
		:: else -> want2 = log[k]
		fi;
		k++
	:: else -> break
	od;
	assert(set_by[i * 3 + 1] == want1 && set_by[i * 3 + 2] == want2);
	k = 0; want1 = 0; want2 = 0
}

/* The process of instance i that follows the log; it restarts at most once and is then ready only with a state. */
proctype Follow(byte i)
{
	byte n, k, want1, want2;
	bool restarted;
end:
	do
	:: atomic {
		ready[i] ->
		/* The change that arrives next; a watch may break off and deliver a later one first. */
		n = applied[i] + 1;
		if
		:: true
		:: n < SLOTS - 1 -> n++
		fi;
		if
		:: log[n] != 0 ->
			if
#ifndef FAULT_ORDER
			:: n == applied[i] + 1 ->
#else
			:: true ->
#endif
				set_by[i * 3 + ITEM(log[n])] = log[n];
				applied[i] = n;
				check(i)
#ifndef FAULT_ORDER
			:: n != applied[i] + 1 /* waits for the tickets between */
#endif
			fi
		:: else
		fi;
		n = 0
	   }
	:: atomic {
		ready[i] && !restarted ->
		restarted = true; ready[i] = false; applied[i] = 0; set_by[i * 3 + 1] = 0; set_by[i * 3 + 2] = 0
	   }
	:: atomic { !ready[i] && ready[1 - i] -> /* takes the peer's state */
		applied[i] = applied[1 - i];
		set_by[i * 3 + 1] = set_by[(1 - i) * 3 + 1]; set_by[i * 3 + 2] = set_by[(1 - i) * 3 + 2];
		ready[i] = true;
		check(i)
	   }
	:: atomic { !ready[i] -> ready[i] = true } /* hears from the store and follows it from the start */
	od
}

/* A peer's state that was read earlier and arrives at instance i while that follows the log. */
proctype Pull(byte i)
{
	byte n, s1, s2, k, want1, want2;
	atomic { ready[1 - i] -> n = applied[1 - i]; s1 = set_by[(1 - i) * 3 + 1]; s2 = set_by[(1 - i) * 3 + 2] };
	atomic {
		ready[i] ->
		if
#ifndef FAULT_STALE
		:: n > applied[i] ->
#else
		:: true ->
#endif
			assert(n >= applied[i]); /* the number never goes down */
			applied[i] = n; set_by[i * 3 + 1] = s1; set_by[i * 3 + 2] = s2;
			check(i)
#ifndef FAULT_STALE
		:: n <= applied[i]
#endif
		fi
	}
}

init
{
	atomic {
#ifndef SPREAD
		run Applier(1); run Applier(1); run Applier(2); run Applier(3);
		run Late()
	}
#else
		ready[0] = true; ready[1] = true;
		run Follow(0); run Follow(1); run Pull(0); run Pull(1)
	}
	log[1] = 1;
	log[2] = 3;
	log[3] = 2
#endif
}
