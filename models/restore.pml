/*
 * Evacuation of a failure domain while the store comes back from a copy of itself (docs/design/restored-store.md; code in
 * core/evac). There is one domain. The store has up to ERAS histories; a copy may be made at any time, and after a return
 * the operator writes again what the store lacks, also later than his next decision.
 *
 * Instances read the store and tell each other all that they know, in any order. With LATE instance 1 starts at any time
 * and knows nothing of before. For each era an instance keeps the newest known number and whether the domain was evacuated at it.
 *
 * Checked is that an instance that knows of an evacuation leaves the domain without calls until it is taken back, that one
 * that has read the store leaves it so while the store holds the evacuation, and that the domain is used again once its
 * evacuation has ended in the present era, as far as the instance knows.
 *
 * Each of these inserts one bug that the check must find: FAULT_NUMBER compares revisions by their numbers only;
 * FAULT_FORGET drops what was known of an earlier era; FAULT_MERGED keeps the evacuations of all earlier eras as one set
 * at the last revision of the newest of them; FAULT_STICKY lets them count after they were taken back.
 */
#define INSTANCES 2
#define ERAS 3
#define WRITES 3 /* by the operator, over all eras */

#define AT(i, k) ((i) * ERAS + (k))

byte era, number = 1, copy_number = 1, writes = WRITES, copies = 1, others = 1;
bool has, copy_has;
bool evacuated;                 /* what the operator has decided and the store has acknowledged */
byte decided_era, decided_number; /* of that acknowledgement */

bool started[INSTANCES];
byte present[INSTANCES];        /* era */
byte newest[6];                 /* newest[AT(i, k)]: the newest known number of era k; 0: none */
bool held[6];                   /* whether the domain was evacuated at it */
bool ended[6];                  /* whether an evacuation is known to have ended in era k */

/* Used only by assertions. */
bool knows[INSTANCES];          /* of the evacuation in force */

#ifdef FAULT_NUMBER
#define IS_NEWER(i, k, n) ((n) > newest[AT(i, present[i])])
#else
#define IS_NEWER(i, k, n) ((n) > newest[AT(i, k)])
#endif

#ifdef FAULT_STICKY
#define ENDED(i, k) false
#else
#define ENDED(i, k) ended[AT(i, k)]
#endif

#define COUNTS_0(i) (held[AT(i, 0)] && (present[i] < 1 || !ENDED(i, 1)) && (present[i] < 2 || !ENDED(i, 2)))
#define COUNTS_1(i) (present[i] >= 1 && held[AT(i, 1)] && (present[i] < 2 || !ENDED(i, 2)))
#define COUNTS_2(i) (present[i] == 2 && held[AT(i, 2)])
#define AVOIDS(i) (COUNTS_0(i) || COUNTS_1(i) || COUNTS_2(i))

#define HAS_ENDED(i, k) (ended[AT(i, k)] && !held[AT(i, k)])

inline check(i)
{
	assert(!(knows[i] && evacuated) || AVOIDS(i));
	assert(!HAS_ENDED(i, present[i]) || !AVOIDS(i))
}

/* Goes over to an era. */
inline enter(i, k)
{
	if
	:: k > present[i] ->
#ifdef FAULT_FORGET
		held[AT(i, 0)] = false; held[AT(i, 1)] = false;
#endif
#ifdef FAULT_MERGED
		held[AT(i, present[i])] = AVOIDS(i);
#endif
		present[i] = k
	:: else
	fi
}

inline learn(i, k, n, h)
{
	if
	:: n > 0 && IS_NEWER(i, k, n) ->
		enter(i, k);
		if
		:: held[AT(i, k)] && !h -> ended[AT(i, k)] = true
		:: else
		fi;
		newest[AT(i, k)] = n; held[AT(i, k)] = h;
		if
		:: h && evacuated && k == decided_era && n >= decided_number -> knows[i] = true
		:: else
		fi
	:: else
	fi
}

inline merge(i, j, k)
{
	learn(i, k, newest[AT(j, k)], held[AT(j, k)]);
	ended[AT(i, k)] = ended[AT(i, k)] || ended[AT(j, k)]
}

#define HEAR(i, j) atomic { \
	started[i] && started[j] -> merge(i, j, 0); merge(i, j, 1); merge(i, j, 2); check(i) }

proctype Store()
{
	do
	:: atomic { /* the operator decides */
		writes > 0 ->
		writes--; number++; evacuated = !evacuated; has = evacuated;
		decided_era = era; decided_number = number;
		knows[0] = false; knows[1] = false
	   }
	:: atomic { /* he writes again what is lost */
		has != evacuated -> number++; has = evacuated
	   }
	:: atomic { others > 0 -> others--; number++ } /* a change of something else */
	:: atomic { copies > 0 -> copies--; copy_number = number; copy_has = has }
	:: atomic { /* the store comes back from the copy */
		era < ERAS - 1 && copy_number <= number -> era++; number = copy_number; has = copy_has
	   }
	:: writes == 0 && era == ERAS - 1 && has == evacuated -> break
	od
}

proctype Instance(byte i)
{
end:
	do
	:: atomic { !started[i] -> started[i] = true }
	:: atomic { /* reads the store */
		started[i] && (present[i] < era || newest[AT(i, era)] < number) ->
		learn(i, era, number, has);
		check(i);
		assert(!has || AVOIDS(i))
	   }
	:: HEAR(i, 1 - i)
	od
}

init
{
	atomic {
		started[0] = true; newest[AT(0, 0)] = 1;
#ifndef LATE
		started[1] = true; newest[AT(1, 0)] = 1;
#endif
		run Store(); run Instance(0); run Instance(1)
	}
}
