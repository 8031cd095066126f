/*
 * Retention of configuration: configuration.pml with a log that deletes its oldest records. A host
 * publishes a snapshot, perhaps long after the position that it covers, and the log deletes only
 * what a snapshot in it covers: the bound on how long records are retained is assumed here.
 *
 * Bounds: as in configuration.pml, but four records, one of them the snapshot, and no outage.
 *
 * Checked: all that configuration.pml checks, above all that no host reverts by a snapshot, that the
 * log always retains a snapshot from which a host can continue, and that each host reaches the log's
 * end by it.
 */
// MUTATIONS: MUTATE_SKIP_GAP MUTATE_NO_SEARCH MUTATE_WRONG_POSITION MUTATE_FORGET_EARLY MUTATE_OLD_STATE

#define SLOTS 4
#define SNAPSHOTS 1
#define OUTAGES 0

#include "configuration.pml"
