/*
 * Propagation of the ticket log to instances that restart, also while the store is down (docs/membership.md, Start; code
 * in io/relay). Only ticket numbers are modelled; models/ticket.pml models the effect of tickets.
 *
 * An instance that starts takes its state from the store, from a peer that has had contact with the store since that
 * start, or from at least half of the members. One peer may be unreachable during a start (never with LIVE), and any
 * state transfer may fail after the peer has reported its ticket number.
 *
 * With LIVE the number of faults is bounded, only instance 0 watches the store while it runs, and every accepted ticket
 * must eventually be in force at every instance.
 *
 * Each of these inserts one bug that the check must find: FAULT_LOWER lets an instance become ready with a lower number
 * than a peer reported; FAULT_FORGET lets peers forget which numbers an instance reported as in force; FAULT_FEW stops
 * asking peers once NEEDED_ANSWERS of them have answered; FAULT_CONTACT keeps a peer's store_contact when an instance
 * restarts, so that a contact before the restart counts; FAULT_RETRY (with LIVE) omits Gossip, so that a lost
 * announcement is never repeated.
 */
#define INSTANCES 3
#define NEEDED_ANSWERS 1 /* of the two peers; with the instance itself that is at least half of the members */

#ifndef TICKETS
#define TICKETS 1
#endif
#ifdef LIVE
#define RESTARTS 1
#define MAY_FAIL faults > 0 -> faults--
#else
#define RESTARTS 2
#define MAY_FAIL true
#endif

#define INDEX(i, j) ((i) * INSTANCES + (j))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

bool store_up = true;
byte accepted, outages = 1, restarts = RESTARTS, faults = 1;
byte applied[INSTANCES];
bool ready[INSTANCES];
byte reported_ahead[9]; /* reported_ahead[INDEX(i, j)]: the number that j reported as in force and that i lacks */
bool store_contact[9]; /* store_contact[INDEX(i, j)]: whether i has had contact with the store since j started */

/* Used only by assertions. */
byte highest_in_force[INSTANCES]; /* the highest number ever in force at an instance, over all runs */
byte highest_told[9]; /* highest_told[INDEX(i, j)]: the highest number that j reported to i since i last started */

inline serve(i) { ready[i] = true; highest_in_force[i] = MAX(highest_in_force[i], applied[i]) }

inline crash(i)
{
	ready[i] = false; applied[i] = 0; k = 0;
	do
	:: k < INSTANCES ->
		reported_ahead[INDEX(i, k)] = 0; highest_told[INDEX(i, k)] = 0; store_contact[INDEX(i, k)] = false;
#ifndef FAULT_CONTACT
		store_contact[INDEX(k, i)] = false;
#endif
		k++
	:: else -> k = 0; break
	od
}

inline announce(from, to)
{
	highest_told[INDEX(to, from)] = MAX(highest_told[INDEX(to, from)], applied[from]);
#ifndef FAULT_FORGET
	if
	:: applied[from] > applied[to] -> reported_ahead[INDEX(to, from)] = MAX(reported_ahead[INDEX(to, from)], applied[from])
	:: else
	fi
#endif
}

inline pull_state(to, from)
{
	applied[to] = MAX(applied[to], applied[from]);
	if
	:: ready[to] -> highest_in_force[to] = MAX(highest_in_force[to], applied[to])
	:: else
	fi
}

proctype Store()
{
	do
	:: atomic { store_up && accepted < TICKETS -> accepted++ }
	:: atomic { store_up && outages > 0 -> outages--; store_up = false }
	:: atomic { !store_up -> store_up = true }
	:: store_up && accepted == TICKETS && outages == 0 -> break
	od
}

proctype Watch(byte i)
{
	byte k;
end:
	do
	:: atomic {
		store_up && ready[i] && (applied[i] < accepted || !store_contact[INDEX(i, 0)] ||
			!store_contact[INDEX(i, 1)] || !store_contact[INDEX(i, 2)]) ->
		if
		:: applied[i] < accepted -> applied[i]++; serve(i)
		:: else
		fi;
		if
		:: applied[i] == accepted ->
			store_contact[INDEX(i, 0)] = true; store_contact[INDEX(i, 1)] = true; store_contact[INDEX(i, 2)] = true
		:: else
		fi
	   }
	od
}

/* Announces each new number once to one peer, which then pulls the state. The announcement or the pull may be lost. */
proctype Push(byte i)
{
	byte n, j;
end:
	do
	:: atomic {
		ready[i] && applied[i] > n ->
		n = applied[i];
		if
		:: j = (i + 1) % INSTANCES
		:: j = (i + 2) % INSTANCES
		fi;
		if
		:: MAY_FAIL
		:: announce(i, j)
		:: announce(i, j); pull_state(j, i)
		fi;
		j = 0
	   }
	:: atomic { !ready[i] && n > 0 -> n = 0 }
	od
}

#ifdef LIVE
#define PULL(i, j) atomic { ready[i] && applied[i] < applied[j] -> \
	if \
	:: MAY_FAIL \
	:: pull_state(i, j) \
	fi }

/* Repeatedly compares digests with peers and pulls newer state; exchanges without news change nothing and are omitted. */
proctype Gossip(byte i)
{
end:
	do
	:: PULL(i, (i + 1) % INSTANCES)
	:: PULL(i, (i + 2) % INSTANCES)
	od
}

/* Keeps a run infinite when all other processes block; with fairness pan reports no acceptance cycle in a blocked run. */
proctype Idle()
{
	bool tick;
end:
	do
	:: tick = !tick
	od
}
#endif

inline ask_peer(i, peer)
{
	if
	:: !ready[i] && peer != unreachable_peer && !enough ->
		required = MAX(required, MAX(applied[peer], reported_ahead[INDEX(peer, i)]));
		if
		:: MAY_FAIL
		:: pull_state(i, peer);
			if
			:: ready[peer] -> answers++; confirmed = confirmed || store_contact[INDEX(peer, i)]
			:: else
			fi
		fi;
#ifdef FAULT_FEW
		enough = answers >= NEEDED_ANSWERS;
#endif
	:: else
	fi
}

inline check_no_rollback(i)
{
	k = 0;
	do
	:: k < INSTANCES ->
		/* A number that the instance reported to an answering peer before its restart must be in force again. */
		assert(k == i || k == unreachable_peer || applied[i] >= highest_told[INDEX(k, i)]);
		k++
	:: else -> k = 0; break
	od
}

proctype Instance(byte i)
{
	byte k, required, answers, unreachable_peer;
	bool confirmed, enough;
end:
	do
	:: atomic {
		ready[i] && restarts > 0 ->
		restarts--; crash(i); unreachable_peer = i;
#ifndef LIVE
		if
		:: unreachable_peer = (i + 1) % INSTANCES
		:: unreachable_peer = (i + 2) % INSTANCES
		:: true
		fi
#endif
	   };
	   do
	   :: atomic {
		ready[i] -> required = 0; answers = 0; unreachable_peer = 0; confirmed = false; enough = false; break
	      }
	   :: atomic {
		!ready[i] ->
		answers = 0; confirmed = false; enough = false;
		if
		:: store_up -> applied[i] = accepted; serve(i); assert(applied[i] >= highest_in_force[i])
		:: MAY_FAIL
		:: else
		fi;
		ask_peer(i, (i + 1) % INSTANCES)
	      };
	      /* A peer may restart between its answer and the decision. */
	      atomic {
		ask_peer(i, (i + 2) % INSTANCES);
		if
		:: !ready[i] && confirmed -> assert(applied[i] >= highest_in_force[i]); serve(i)
#ifndef FAULT_LOWER
		:: !ready[i] && !confirmed && answers >= NEEDED_ANSWERS && applied[i] >= required -> check_no_rollback(i); serve(i)
#else
		:: !ready[i] && !confirmed && answers >= NEEDED_ANSWERS -> check_no_rollback(i); serve(i)
#endif
		:: else
		fi
	      }
	   od
	od
}

init
{
	atomic {
		serve(0); serve(1); serve(2);
		run Store();
		run Instance(0); run Instance(1);
		run Push(0); run Push(1);
#ifdef LIVE
		run Push(2); run Idle();
#endif
#ifdef LIVE
		run Watch(0);
#ifndef FAULT_RETRY
		run Gossip(0); run Gossip(1); run Gossip(2)
#endif
#else
		run Watch(0); run Watch(1)
#endif
	}
}

#ifdef LIVE
#define IN_FORCE(i) (ready[i] && applied[i] == TICKETS)
ltl in_force_everywhere { <> [] (accepted == TICKETS && IN_FORCE(0) && IN_FORCE(1) && IN_FORCE(2)) }
#endif
