/*
 * Shares of one cold server's capacity, across changes of the roster, pauses and crashes.
 *
 * Three hosts, one slot in all. Rank 0 of a roster holds the slot. Rosters succeed each other: each
 * is closed only when all members of the previous one have left it or are proven gone. Each host
 * sees a roster late. A call counts as in flight from the decision, and the host may pause before
 * it is sent. A dead host's calls run on until the call timeout.
 * See docs/capacity-shares.md.
 */
// MUTATIONS: MUTATE_CURRENT_ONLY MUTATE_NO_WAIT MUTATE_CLOSE_EARLY MUTATE_COUNT_LATE

#define HOSTS 3
#define EPOCHS 4

byte epoch = 1;          /* Epoch of the newest roster. */
bool closing = false;    /* Whether the previous roster is still in effect. */
byte holder[EPOCHS];     /* The host that holds the slot under each epoch. */

byte seen[HOSTS];        /* Newest epoch that each host sees. */
bool seen_closing[HOSTS];/* Whether it sees the previous roster as in effect. */
bool dead[HOSTS];        /* The host is dead, and proven so. */
bool decided[HOSTS];     /* A call is decided on and not sent yet: the host may be paused here. */
byte in_flight[HOSTS];   /* Calls that the host counts. */
byte on_server[HOSTS];   /* Calls of the host on their way to the server or running there. */
bool waits[HOSTS];       /* The host saw a roster close that a dead host may have used. */

/* Slots of a host under one epoch. */
#define SLOTS(host, at) (holder[at] == host -> 1 : 0)

#ifdef MUTATE_CURRENT_ONLY
#define SHARE(host) SLOTS(host, seen[host])
#else
/* The smallest share under both rosters in effect. */
#define SHARE(host) ((seen_closing[host] && holder[seen[host] - 1] != host) -> 0 : SLOTS(host, seen[host]))
#endif

#ifdef MUTATE_NO_WAIT
#define READY(host) true
#else
#define READY(host) !waits[host]
#endif

/* A host has left the previous roster: it sees the newest one and its calls fit its share there. */
#ifdef MUTATE_CLOSE_EARLY
#define LEFT(host) (dead[host] || seen[host] == epoch)
#else
#define LEFT(host) (dead[host] || (seen[host] == epoch && in_flight[host] <= SLOTS(host, epoch)))
#endif

#define RUNNING (on_server[0] + on_server[1] + on_server[2])

active [HOSTS] proctype Host()
{
    byte me = _pid;
    do
    /* Sees the newest roster, late. A host that sees one close waits if a dead host may have calls. */
    :: atomic { !dead[me] && (seen[me] != epoch || seen_closing[me] != closing) ->
        if
        :: dead[0] || dead[1] || dead[2] -> waits[me] = true
        :: else
        fi;
        seen[me] = epoch;
        seen_closing[me] = closing
       }
    /* The call timeout has passed since: calls of the dead have ended. */
    :: atomic { !dead[me] && waits[me] &&
        (!dead[0] || on_server[0] == 0) &&
        (!dead[1] || on_server[1] == 0) &&
        (!dead[2] || on_server[2] == 0) -> waits[me] = false }
    /* Decides on a call. */
    :: atomic { !dead[me] && !decided[me] && READY(me) && in_flight[me] < SHARE(me) ->
        decided[me] = true;
#ifndef MUTATE_COUNT_LATE
        in_flight[me]++
#endif
       }
    /* Sends it, perhaps after a long pause. */
    :: atomic { !dead[me] && decided[me] ->
        decided[me] = false;
#ifdef MUTATE_COUNT_LATE
        in_flight[me]++;
#endif
        on_server[me]++;
        assert(RUNNING <= 1)
       }
    /* The server ends a call, and its host learns it. */
    :: atomic { !dead[me] && on_server[me] > 0 ->
        on_server[me]--;
        in_flight[me]--
       }
    /* Dies. A call that it sent runs on, one that it only decided on is never sent. */
    :: atomic { !dead[me] -> dead[me] = true; decided[me] = false }
    /* The call of a dead host ends on the server at the latest with the timeout. */
    :: atomic { dead[me] && on_server[me] > 0 -> on_server[me]-- }
    :: dead[me] && on_server[me] == 0 -> break
    od
}

/* The log: accepts rosters, one at a time. */
active proctype Log()
{
    do
    :: atomic { !closing && epoch < EPOCHS - 1 ->
        epoch++;
        closing = true;
        if
        :: holder[epoch] = 0
        :: holder[epoch] = 1
        :: holder[epoch] = 2
        fi
       }
    :: atomic { closing && LEFT(0) && LEFT(1) && LEFT(2) -> closing = false }
    :: !closing && epoch == EPOCHS - 1 -> break
    od
}

init
{
    skip
}
