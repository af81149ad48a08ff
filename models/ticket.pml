/*
 * Change tickets (docs/design.md, 5.1).
 *
 * Tickets 1 and 2 set the same item; their two operators had both read the log up to number 0 (empty). Ticket 3 sets
 * another item. Each ticket's applier creates the next number that it believes to be free. The operator of ticket 1 gets
 * no response and retries through another instance while the first applier may still be running.
 *
 * With SPREAD the log grows without faults instead, and two instances apply it from the store or copy a peer's state;
 * each may restart once. Both parts together have too many states to search in a minute.
 *
 * Each of these inserts one bug that the check must find: FAULT_BLIND creates a number that is already taken; FAULT_OWN
 * does not recognize its own ticket when it reads a number back; FAULT_UNCHECKED does not check whether an earlier ticket
 * set the same item; FAULT_TAIL starts after the last ticket in the log instead of after the ticket's base. With SPREAD,
 * FAULT_STALE takes over a peer's state that is older than its own, and FAULT_ORDER applies a ticket before those in
 * between.
 */
#define FAULTS 3
#define TICKETS 3
#define SLOTS 5 /* numbers 0 to 4: 0 stays empty, 1 to TICKETS can be filled, and 4 is the next number after a full log */
#define INSTANCES 2

#define ITEM(t) ((t) == 3 -> 2 : 1)

mtype = { ACCEPTED, CONFLICTED, AMBIGUOUS, FAILED };

byte log[SLOTS]; /* the ticket at each number; 0 means none */
byte number[TICKETS + 1]; /* the number under which each ticket was accepted */
bool reported_conflict[TICKETS + 1];
byte faults = FAULTS;

typedef Write { byte ticket; byte number }
Write late[FAULTS]; /* creates whose response was lost and that take effect later or never */

byte applied[INSTANCES]; /* the number in force at each instance */
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
		/* No accepted ticket is overwritten, and none is accepted twice. */
		assert(log[n] == 0 && number[t] == 0);
		assert(n == 1 || log[n - 1] != 0);
		/* Of two conflicting tickets only one is accepted; a ticket reported as conflicting never is. */
		assert(t == 3 || number[3 - t] == 0);
		assert(!reported_conflict[t]);
		log[n] = t; number[t] = n; res = ACCEPTED
	:: log[n] != 0 -> res = CONFLICTED
	fi
}

/* Applies a ticket whose base is 0. It may crash at any time, which is modelled by its not being scheduled again. */
proctype Applier(byte t)
{
	byte n = 1;
	mtype ev;
	byte other;

#ifdef FAULT_TAIL
	/* Starts after the last ticket in the log instead of after the ticket's base. */
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
				/* A ticket whose create succeeded with a lost response must not be reported as conflicting. */
				assert(number[t] == 0);
				reported_conflict[t] = true;
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

proctype LateCreates()
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

/* The state at instance i must equal the result of applying the log in order up to its number. */
inline check_state(i)
{
	k = 1; want_item1 = 0; want_item2 = 0;
	do
	:: k <= applied[i] ->
		assert(log[k] != 0);
		if
		:: ITEM(log[k]) == 1 -> want_item1 = log[k]
		:: else -> want_item2 = log[k]
		fi;
		k++
	:: else -> break
	od;
	assert(set_by[i * 3 + 1] == want_item1 && set_by[i * 3 + 2] == want_item2);
	k = 0; want_item1 = 0; want_item2 = 0
}

/* Instance i following the log; it restarts at most once and then becomes ready only after it has a state again. */
proctype Follower(byte i)
{
	byte n, k, want_item1, want_item2;
	bool restarted;
end:
	do
	:: atomic {
		ready[i] ->
		/* The change that arrives next; a watch that was interrupted may deliver a later one first. */
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
				check_state(i)
#ifndef FAULT_ORDER
			:: n != applied[i] + 1 /* waits for the tickets in between */
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
	:: atomic { !ready[i] && ready[1 - i] -> /* copies the peer's state */
		applied[i] = applied[1 - i];
		set_by[i * 3 + 1] = set_by[(1 - i) * 3 + 1]; set_by[i * 3 + 2] = set_by[(1 - i) * 3 + 2];
		ready[i] = true;
		check_state(i)
	   }
	:: atomic { !ready[i] -> ready[i] = true } /* reaches the store and applies the log from the beginning */
	od
}

/* A peer's state that was read earlier and arrives at instance i while it follows the log. */
proctype Pull(byte i)
{
	byte n, peer_item1, peer_item2, k, want_item1, want_item2;
	atomic { ready[1 - i] -> n = applied[1 - i]; peer_item1 = set_by[(1 - i) * 3 + 1]; peer_item2 = set_by[(1 - i) * 3 + 2] };
	atomic {
		ready[i] ->
		if
#ifndef FAULT_STALE
		:: n > applied[i] ->
#else
		:: true ->
#endif
			assert(n >= applied[i]); /* the number never goes down */
			applied[i] = n; set_by[i * 3 + 1] = peer_item1; set_by[i * 3 + 2] = peer_item2;
			check_state(i)
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
		run LateCreates()
	}
#else
		ready[0] = true; ready[1] = true;
		run Follower(0); run Follower(1); run Pull(0); run Pull(1)
	}
	log[1] = 1;
	log[2] = 3;
	log[3] = 2
#endif
}
