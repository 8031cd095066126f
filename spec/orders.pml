/*
 * Claims on a group of engines, and orders to one engine that checks fencing numbers and to one
 * that ignores them.
 *
 * Two controllers. A claim is an append that may take effect late; the log accepts it only where
 * it replaces the claim in force. Each controller reads the log at any time, so it may
 * consider itself the holder long after it was replaced. Orders stay in the network for any time, but
 * for less than a new holder waits before it settles: that is the one assumption on time.
 *
 * Checked: no fencing number is used by two controllers; the checking engine obeys no number below
 * one that it obeyed; once a holder settled, no older holder's order reaches the ignoring engine.
 * The names are those of src/core/orders; the design: docs/orders-design.md.
 */
// MUTATIONS: MUTATE_BASE_UNCHECKED MUTATE_NO_CONFIRM MUTATE_NO_SETTLE MUTATE_SETTLE_SHORT MUTATE_OBEY_OLD

#define HOSTS 2
#define FENCES 5
#define ME(c) ((c) + 1)       /* A controller as an owner, 0 means none. */

#ifdef MUTATE_NO_SETTLE
#define HAVE_ARRIVED(c) true
#else
#define HAVE_ARRIVED(c) (to_ignoring[0] == 0 && to_ignoring[1] == 0)
#endif

#ifdef MUTATE_SETTLE_SHORT
#define HAVE_AGED(c) true
#else
#define HAVE_AGED(c) (!fresh[1 - (c)] || known[1 - (c)] >= known[c])
#endif

#ifdef MUTATE_NO_CONFIRM
#define IS_CONFIRMED(c) true
#else
#define IS_CONFIRMED(c) (fresh[c])
#endif

#ifdef MUTATE_BASE_UNCHECKED
#define IS_ACCEPTED(c) true
#else
#define IS_ACCEPTED(c) (base[c] == fence)
#endif

#ifdef MUTATE_OBEY_OLD
#define IS_REFUSED(number) false
#else
#define IS_REFUSED(number) ((number) < obeyed)
#endif

byte fence = 0;               /* Number of the claim in force, 0 for none. */
byte owner = 0;               /* Its holder. */
byte known[HOSTS];            /* Newest claim that each controller has read. */
byte known_owner[HOSTS];
bool claiming[HOSTS];         /* A claim is in transit to the log. */
byte base[HOSTS];             /* The claim that it replaces. */
bool fresh[HOSTS];            /* The controller's state is fresh enough to unload something. */
byte settled = 0;             /* Newest claim whose holder has waited for the orders of the previous one. */
byte user[FENCES];            /* Controller that issued orders under each number. */

byte to_checking[HOSTS];      /* Number of an order in transit, 0 for none. */
byte to_ignoring[HOSTS];
byte obeyed = 0;              /* Highest number that the checking engine obeyed. */

inline read_log(c) {
    atomic {
        known[c] = fence;
        known_owner[c] = owner;
        fresh[c] = true
    }
}

inline claim(c) {
    atomic {
        !claiming[c] && known_owner[c] != ME(c) && known[c] < FENCES - 1 ->
        claiming[c] = true;
        base[c] = known[c]
    }
}

inline land(c) {
    atomic {
        claiming[c] ->
        claiming[c] = false;
        if
        :: IS_ACCEPTED(c) -> fence = base[c] + 1; owner = ME(c)
        :: else -> skip
        fi
    }
}

inline used(c) {
    assert(user[known[c]] == 0 || user[known[c]] == ME(c));
    user[known[c]] = ME(c)
}

inline order_checking(c) {
    atomic {
        known_owner[c] == ME(c) && to_checking[c] == 0 ->
        used(c);
        to_checking[c] = known[c]
    }
}

/* A new holder waits until older orders have arrived, and until no other has a fresh state. */
inline settle(c) {
    atomic {
        known_owner[c] == ME(c) && settled < known[c] && HAVE_ARRIVED(c) && HAVE_AGED(c) ->
        settled = known[c]
    }
}

inline order_ignoring(c) {
    atomic {
        known_owner[c] == ME(c) && settled >= known[c] && to_ignoring[c] == 0 && IS_CONFIRMED(c) ->
        used(c);
        to_ignoring[c] = known[c]
    }
}

/* The state becomes stale while the controller runs or is paused. */
inline age(c) {
    atomic {
        fresh[c] ->
        fresh[c] = false
    }
}

active [HOSTS] proctype Controller() {
    byte c = _pid;
    do
    :: read_log(c)
    :: claim(c)
    :: land(c)
    :: order_checking(c)
    :: settle(c)
    :: order_ignoring(c)
    :: age(c)
    od
}

active proctype Checking() {
    byte c;
    do
    :: atomic {
        if
        :: to_checking[0] > 0 -> c = 0
        :: to_checking[1] > 0 -> c = 1
        fi;
        if
        :: IS_REFUSED(to_checking[c]) -> skip
        :: else ->
            assert(to_checking[c] >= obeyed);
            obeyed = to_checking[c]
        fi;
        to_checking[c] = 0
    }
    od
}

active proctype Ignoring() {
    byte c;
    do
    :: atomic {
        if
        :: to_ignoring[0] > 0 -> c = 0
        :: to_ignoring[1] > 0 -> c = 1
        fi;
        assert(to_ignoring[c] >= settled);
        to_ignoring[c] = 0
    }
    od
}
