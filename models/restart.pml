/*
 * Spread of the log to instances that restart, also while the store is down (docs/membership.md, Start; code in
 * io/relay). Only the numbers of tickets matter here; models/ticket.pml has what they do.
 *
 * An instance that starts follows the store, a peer with a store contact since that start, or at least half of the
 * members. In the last case one peer does not answer, and any hand-over may fail after the peer has named its number.
 *
 * With LIVE faults are bounded, only instance 0 reads the store while it runs, and every accepted ticket must be in
 * force everywhere in the end.
 *
 * FAULT_LOWER, FAULT_FORGET, FAULT_FEW, FAULT_CONTACT and FAULT_RETRY (with LIVE) each put one fault in.
 */
#define INSTANCES 3
#define NEED 1 /* of the two others, so that half of the members have answered */

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

#define AT(i, j) ((i) * INSTANCES + (j))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

bool up = true;
byte accepted, outages = 1, restarts = RESTARTS, faults = 1;
byte applied[INSTANCES];
bool ready[INSTANCES];
byte ahead[9]; /* ahead[AT(i, j)]: the number that j said to have in force and that i lacks */
bool contact[9]; /* contact[AT(i, j)]: i has heard from the store since j started */

/* For the assertions only. */
byte seen[INSTANCES]; /* the highest number ever in force at an instance, over all runs */
byte told[9]; /* told[AT(i, j)]: the highest number that j told i in i's present run */

inline serve(i) { ready[i] = true; seen[i] = MAX(seen[i], applied[i]) }

inline crash(i)
{
	ready[i] = false; applied[i] = 0; k = 0;
	do
	:: k < INSTANCES ->
		ahead[AT(i, k)] = 0; told[AT(i, k)] = 0; contact[AT(i, k)] = false;
#ifndef FAULT_CONTACT
		contact[AT(k, i)] = false;
#endif
		k++
	:: else -> k = 0; break
	od
}

inline tell(from, to)
{
	told[AT(to, from)] = MAX(told[AT(to, from)], applied[from]);
#ifndef FAULT_FORGET
	if
	:: applied[from] > applied[to] -> ahead[AT(to, from)] = MAX(ahead[AT(to, from)], applied[from])
	:: else
	fi
#endif
}

inline take(to, from)
{
	applied[to] = MAX(applied[to], applied[from]);
	if
	:: ready[to] -> seen[to] = MAX(seen[to], applied[to])
	:: else
	fi
}

proctype Store()
{
	do
	:: atomic { up && accepted < TICKETS -> accepted++ }
	:: atomic { up && outages > 0 -> outages--; up = false }
	:: atomic { !up -> up = true }
	:: up && accepted == TICKETS && outages == 0 -> break
	od
}

proctype Watch(byte i)
{
	byte k;
end:
	do
	:: atomic {
		up && ready[i] && (applied[i] < accepted || !contact[AT(i, 0)] || !contact[AT(i, 1)] || !contact[AT(i, 2)]) ->
		if
		:: applied[i] < accepted -> applied[i]++; serve(i)
		:: else
		fi;
		if
		:: applied[i] == accepted ->
			contact[AT(i, 0)] = true; contact[AT(i, 1)] = true; contact[AT(i, 2)] = true
		:: else
		fi
	   }
	od
}

/* Tells the number to a peer once when it is new; the peer pulls. Either may be lost. */
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
		:: tell(i, j)
		:: tell(i, j); take(j, i)
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
	:: take(i, j) \
	fi }

/* Compares digests with peers and pulls, for ever; exchanges without news change nothing and are left out. */
proctype Gossip(byte i)
{
end:
	do
	:: PULL(i, (i + 1) % INSTANCES)
	:: PULL(i, (i + 2) % INSTANCES)
	od
}

/* Keeps a run infinite in which nothing else moves: pan's fairness does not report a cycle in a blocked one. */
proctype Idle()
{
	bool tick;
end:
	do
	:: tick = !tick
	od
}
#endif

inline ask(i, peer)
{
	if
	:: !ready[i] && peer != silent && !enough ->
		named = MAX(named, MAX(applied[peer], ahead[AT(peer, i)]));
		if
		:: MAY_FAIL
		:: take(i, peer);
			if
			:: ready[peer] -> answers++; vouched = vouched || contact[AT(peer, i)]
			:: else
			fi
		fi;
#ifdef FAULT_FEW
		enough = answers >= NEED;
#endif
	:: else
	fi
}

inline check(i)
{
	k = 0;
	do
	:: k < INSTANCES ->
		/* What an answering peer was told before the restart does not go back. */
		assert(k == i || k == silent || applied[i] >= told[AT(k, i)]);
		k++
	:: else -> k = 0; break
	od
}

proctype Instance(byte i)
{
	byte k, named, answers, silent;
	bool vouched, enough;
end:
	do
	:: atomic {
		ready[i] && restarts > 0 ->
		restarts--; crash(i); silent = i;
#ifndef LIVE
		if
		:: silent = (i + 1) % INSTANCES
		:: silent = (i + 2) % INSTANCES
		:: true
		fi
#endif
	   };
	   do
	   :: atomic {
		ready[i] -> named = 0; answers = 0; silent = 0; vouched = false; enough = false; break
	      }
	   :: atomic {
		!ready[i] ->
		answers = 0; vouched = false; enough = false;
		if
		:: up -> applied[i] = accepted; serve(i); assert(applied[i] >= seen[i])
		:: MAY_FAIL
		:: else
		fi;
		ask(i, (i + 1) % INSTANCES)
	      };
	      /* A peer may restart between its answer and the decision. */
	      atomic {
		ask(i, (i + 2) % INSTANCES);
		if
		:: !ready[i] && vouched -> assert(applied[i] >= seen[i]); serve(i)
#ifndef FAULT_LOWER
		:: !ready[i] && !vouched && answers >= NEED && applied[i] >= named -> check(i); serve(i)
#else
		:: !ready[i] && !vouched && answers >= NEED -> check(i); serve(i)
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
