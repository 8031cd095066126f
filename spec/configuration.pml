/*
 * Acceptance and gossip of configuration: two operators send concurrent changes through any hosts,
 * appends take effect late and twice, the log has one outage, states are sent between hosts late and
 * several times, and one host is replaced. With retention.pml, the log also deletes records that a
 * snapshot covers.
 *
 * Bounds: three hosts, two changes, one of which is appended twice, three records, one state sent from
 * host to host, one outage, one replacement.
 *
 * Checked: all hosts reach one verdict on each change, and operators are told nothing else. A
 * change reported as accepted before a host's start is in force there once it serves. No serving
 * host reverts. The log always retains all records, or a snapshot from which a host can continue.
 * In the quiescent state, each host serves all that the log took, and an operator whose change was
 * appended knows its verdict.
 *
 * Not modelled: a log that loses records (anchors, splits, generations), freshness and all other
 * time, operators told after 1 s without another holder, verdicts that are forgotten.
 * The names are those of src/core/state and src/core/replica, the design:
 * docs/configuration-design.md.
 */
// MUTATIONS: MUTATE_NO_BASE_CHECK MUTATE_JUDGE_TWICE MUTATE_OLD_STATE MUTATE_SERVE_AT_ONCE MUTATE_OLD_READ MUTATE_FEW_PEERS MUTATE_TELL_ALONE MUTATE_VOID_EARLY

#define HOSTS 3
#define CHANGES 2
#ifndef SLOTS
#define SLOTS 3		/* Offsets that the log has room for. */
#endif
#ifndef SENDS
#define SENDS 1		/* Times that a state is sent to other hosts. */
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef SNAPSHOTS
#define SNAPSHOTS 0	/* Snapshots that are published. */
#endif

#define BIT(i) (1 << (i))
#define LOG_ANSWERED BIT(HOSTS)

mtype = { ChangeRecord, SnapshotRecord };

/* State of a host, and content of a snapshot. */
typedef Snapshot {
	byte next;		/* Count of records applied. */
	byte revision;
	byte accepted;		/* Bit set of changes. */
	byte judged;
};

typedef Record {
	mtype kind;
	byte change;
	Snapshot state;
};

Record log[SLOTS];
byte first;
byte end;
bool down;
bit outages_left = OUTAGES;
bit snapshots_left = SNAPSHOTS;
bool replacement_left = true;

Snapshot host[HOSTS];
bool current[HOSTS];

/* Of the host that is replaced. */
byte told_before;		/* Changes reported as accepted before it started. */
byte answered;			/* Bit set of the hosts that have reported since the start. */
byte needed;			/* The highest position that they reported. */

Snapshot sent;			/* A state in transit between hosts: it may arrive late and several times. */
byte sends_left = SENDS;

byte proposed;			/* Count of changes. */
byte base[CHANGES];
bool landed[CHANGES];
bool repeat_left = true;	/* One append may take effect twice. */
byte told_accepted;
byte told_void;

inline copy(to, from) {
	to.next = from.next;
	to.revision = from.revision;
	to.accepted = from.accepted;
	to.judged = from.judged
}

inline clear(which) {
	which.next = 0;
	which.revision = 0;
	which.accepted = 0;
	which.judged = 0
}

/* An acceptance is reported once this many hosts hold the change. */
#ifdef MUTATE_TELL_ALONE
#define HOLDERS 1
#else
#define HOLDERS 2
#endif
#define HOLDS(h, c) ((host[h].accepted & BIT(c)) != 0)
#define TELLS_ACCEPTED(c) (HOLDS(0, c) + HOLDS(1, c) + HOLDS(2, c) >= HOLDERS)

/* A change is reported void by a host with that verdict, or with a revision above its base. */
#ifdef MUTATE_VOID_EARLY
#define TELLS_VOID(h, c) (proposed > c && !(host[h].judged & BIT(c)) && host[h].revision >= base[c])
#else
#define TELLS_VOID(h, c) (proposed > c && !HOLDS(h, c) && \
	((host[h].judged & BIT(c)) || host[h].revision > base[c]))
#endif

/* Reports to operators all verdicts that this host knows, as early as possible: they are final. */
inline tell(h) {
	if
	:: current[h] && TELLS_ACCEPTED(0) -> told_accepted = told_accepted | BIT(0)
	:: else
	fi;
	if
	:: current[h] && TELLS_ACCEPTED(1) -> told_accepted = told_accepted | BIT(1)
	:: else
	fi;
	if
	:: current[h] && TELLS_VOID(h, 0) -> told_void = told_void | BIT(0)
	:: else
	fi;
	if
	:: current[h] && TELLS_VOID(h, 1) -> told_void = told_void | BIT(1)
	:: else
	fi
}

/* A serving host never reverts to an older state. */
inline replace(h, from) {
	assert(!current[h] || (from.next >= host[h].next && from.revision >= host[h].revision &&
		(host[h].accepted & ~from.accepted) == 0));
	copy(host[h], from);
	tell(h)
}

/* State::apply for the record at the host's position. */
inline apply(h) {
	c = log[host[h].next].change;
	if
#ifdef MUTATE_JUDGE_TWICE
	:: log[host[h].next].kind == ChangeRecord ->
#else
	:: log[host[h].next].kind == ChangeRecord && !(host[h].judged & BIT(c)) ->
#endif
		host[h].judged = host[h].judged | BIT(c);
		if
#ifdef MUTATE_NO_BASE_CHECK
		:: true ->
#else
		:: base[c] == host[h].revision ->
#endif
			assert(!(host[h].accepted & BIT(c)));
			host[h].accepted = host[h].accepted | BIT(c);
			host[h].revision++
#ifndef MUTATE_NO_BASE_CHECK
#ifdef MUTATE_JUDGE_TWICE
		:: else -> host[h].accepted = host[h].accepted & ~BIT(c)
#else
		:: else
#endif
#endif
		fi
	:: else
	fi;
	host[h].next++;
	tell(h);
	c = 0
}

/* The next record is in the log, or the log's end is reached. */
#define FOLLOWS(h) (host[h].next >= first)

#define LEADS_ON(s) (log[s].state.next >= first)
#define USABLE(h, s) (log[s].kind == SnapshotRecord && LEADS_ON(s) && log[s].state.next > host[h].next)

#ifdef MUTATE_FEW_PEERS
#define OTHERS_ANSWERED (answered & (BIT(1) | BIT(2)))
#else
#define OTHERS_ANSWERED ((answered & (BIT(1) | BIT(2))) == (BIT(1) | BIT(2)))
#endif

inline take_answer(from, position) {
	answered = answered | from;
	if
	:: position > needed -> needed = position
	:: else
	fi
}

/* A host may serve: it has all changes that were reported as accepted before it started. */
inline serve(h) {
	assert((told_before & ~host[h].accepted) == 0);
	current[h] = true;
	told_before = 0;
	answered = 0;
	needed = 0;
	tell(h)
}

proctype Host(byte h) {
	byte c;
endfollow:
	do
	/* Read the log. */
	:: atomic { !down && FOLLOWS(h) && host[h].next < end -> apply(h) }
	/* Search a log that has deleted the next record. */
#ifdef MUTATE_SKIP_GAP
	:: atomic { !down && !FOLLOWS(h) -> host[h].next = first }
#endif
#ifndef MUTATE_NO_SEARCH
	:: atomic { !down && !FOLLOWS(h) ->
		c = first;
		do
		:: c < end && !USABLE(h, c) -> c++
		:: else -> break
		od;
		if
		:: c < end -> replace(h, log[c].state)
		:: else
		fi;
		c = 0 }
#endif
	/* Before serving, take the answers of the log and the reports of others. */
	:: atomic { !current[h] && !down && !(answered & LOG_ANSWERED) ->
		take_answer(LOG_ANSWERED, end) }
	:: atomic { !current[h] && !(answered & BIT(1)) -> take_answer(BIT(1), host[1].next) }
	:: atomic { !current[h] && !(answered & BIT(2)) -> take_answer(BIT(2), host[2].next) }
	/* Serve: by the log, or while it's down by the others. */
#ifdef MUTATE_SERVE_AT_ONCE
	:: atomic { !current[h] -> serve(h) }
#else
	:: atomic { !current[h] && host[h].next >= needed &&
		((answered & LOG_ANSWERED) || (down && OTHERS_ANSWERED)) -> serve(h) }
#endif
	/* Send the state to the others. Hosts 1 and 2 are alike, so one of them is enough. */
	:: atomic { h != 2 && current[h] && sends_left > 0 && host[h].next > 0 ->
		sends_left--;
		copy(sent, host[h]) }
	/* Adopt a state that arrives. */
#ifdef MUTATE_OLD_STATE
	:: atomic { sent.next > 0 && sent.next != host[h].next -> replace(h, sent) }
#else
	:: atomic { sent.next > host[h].next -> replace(h, sent) }
#endif
	/* Publish a snapshot, perhaps of a position far before the end of the log. */
	:: atomic { current[h] && !down && FOLLOWS(h) && host[h].next > 0 &&
		snapshots_left > 0 && end < SLOTS ->
			snapshots_left--;
			log[end].kind = SnapshotRecord;
			copy(log[end].state, host[h]);
#ifdef MUTATE_WRONG_POSITION
			log[end].state.next = end;
#endif
			end++ }
	/* The host is replaced. */
	:: atomic { h == 0 && replacement_left ->
		replacement_left = false;
		current[h] = false;
		told_before = told_accepted;
#ifdef MUTATE_OLD_READ
		/* An answer to a read that the previous host sent counts. */
		answered = LOG_ANSWERED;
		needed = 0;
#endif
		clear(host[h]) }
	od
}

/* An operator's change: proposed to any host, and appended late, perhaps twice. */
proctype Operator(byte c) {
endpropose:
	atomic {
		if
		:: proposed == c && current[0] && !down && FOLLOWS(0) -> base[c] = host[0].revision
		:: proposed == c && !down && FOLLOWS(1) -> base[c] = host[1].revision
		:: proposed == c && !down && FOLLOWS(2) -> base[c] = host[2].revision
		fi;
		proposed++;
		tell(0);
		tell(1);
		tell(2)
	}
endappend:
	do
	:: atomic { !down && end < SLOTS && (!landed[c] || repeat_left) ->
		if
		:: landed[c] -> repeat_left = false
		:: else -> landed[c] = true
		fi;
		log[end].kind = ChangeRecord;
		log[end].change = c;
		end++ }
	od
}

/* Whether a snapshot in the log covers a record. */
#define STANDS(s, i) ((s) < end && log[s].kind == SnapshotRecord && log[s].state.next > (i))
#define COVERED(i) (STANDS(0, i) || STANDS(1, i) || STANDS(2, i) || STANDS(SLOTS - 1, i))

/* The platform's log. */
proctype Platform() {
endplatform:
	do
	:: atomic { outages_left > 0 -> outages_left--; down = true }
	:: atomic { down -> down = false }
	/* It deletes its oldest records, which are retained until a snapshot covers them. */
#ifdef MUTATE_FORGET_EARLY
	:: atomic { first < end && log[first].kind == ChangeRecord -> first++ }
#else
	:: atomic { first < end && COVERED(first) -> first++ }
#endif
	od
}

/* All hosts reach one verdict, and no operator was told anything else. */
#define AGREE(i, j) ((host[i].accepted & host[j].judged) == (host[j].accepted & host[i].judged))
#define ACCEPTED_ANYWHERE (host[0].accepted | host[1].accepted | host[2].accepted)
#define TOLD_TRUTH ((told_accepted & told_void) == 0 && (told_void & ACCEPTED_ANYWHERE) == 0)
/* A new host can reach the end of the log from what the log retains. */
#define LEADS(s) ((s) >= first && (s) < end && log[s].kind == SnapshotRecord && log[s].state.next >= first)
#define RETAINED (first == 0 || LEADS(0) || LEADS(1) || LEADS(2) || LEADS(SLOTS - 1))
#define IN_FORCE(h) (current[h] && host[h].next == end)
#define KNOWN(c) (!landed[c] || ((told_accepted | told_void) & BIT(c)))

proctype Check() {
endcheck:
	do
	:: atomic { !(AGREE(0, 1) && AGREE(0, 2) && AGREE(1, 2)) -> assert(false) }
	:: atomic { !TOLD_TRUTH -> assert(false) }
	:: atomic { !RETAINED -> assert(false) }
	/* The quiescent state. */
	:: atomic { timeout ->
		assert(IN_FORCE(0) && IN_FORCE(1) && IN_FORCE(2));
		assert(KNOWN(0) && KNOWN(1));
		break }
	od
}

init {
	atomic {
		current[0] = true;
		current[1] = true;
		current[2] = true;
		run Host(0);
		run Host(1);
		run Host(2);
		run Operator(0);
		run Operator(1);
		run Platform();
		run Check()
	}
}
