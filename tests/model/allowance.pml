/* Transfer of limit units between three entries, and their return from an evicted one.
 *
 * Each entry holds granted + received - sent - running free units (src/limits/unit_ledger.cpp). Totals of a
 * pair only grow, and a message carries the total. An entry may pause, become isolated and be evicted. Then
 * the others report to the log what they exchanged with it, and its units return to them
 * (src/fleet/fleet_state.cpp: reclaimRemovedGrants).
 *
 * Model action            Code
 * SEND                    UnitLedger::send
 * RECEIVE                 UnitLedger::receive; messages aren't consumed, which models loss and duplication
 * START, END              UnitPart::acquireTeamUnit, releaseTeamUnit
 * FENCE                   MembershipTable::mayStartLimited turns false; leases expire
 * EVICT                   FleetState::applyBody(MemberRemove), only once the evicted entry is fenced
 * SETTLE                  StatePart::settleWithRemoved and FleetState::applyBody(MemberSettle)
 * RETURN                  FleetState::reclaimRemovedGrants
 *
 * The variants -DNO_FENCE, -DNO_FREEZE and -DSTEP_TRANSFERS leave out one mechanism each. The checker must
 * find a violation in each of them.
 */
#define N 3
#define LIMIT 3

byte granted[N];          /* unsigned, since grants only fall by settlement */
byte sent[9];             /* sent[a*N+b]: total that a has sent to b, in a's state */
byte received[9];         /* received[b*N+a]: total that b has received from a */
byte running[N];
bool fenced[N];
bool evicted = false;     /* the log holds the eviction of entry 2 */
bool appliedEviction[N];  /* the entry has applied the eviction */
bool settled[N];          /* the entry has reported its exchange with entry 2 */
bool returned = false;    /* the units of entry 2 have been granted to the others */
byte settledIn[N];        /* reported as received from entry 2 */
byte settledOut[N];       /* reported as sent to entry 2 */
byte transfers = 0;       /* transfers so far, bounded to keep the state space finite */

#define TOTAL (running[0] + running[1] + running[2])

inline freeUnits(e, result) {
    result = granted[e] - running[e];
    byte p = 0;
    do
    :: p < N -> result = result + received[e*N+p] - sent[e*N+p]; p++
    :: else -> break
    od;
    p = 0
}

proctype Entry(byte me) {
    short units;
    byte peer;
    do
    /* START: one unit is free, and this entry isn't fenced. */
    :: atomic { freeUnits(me, units); (units > 0 && !fenced[me] && !(evicted && appliedEviction[me] && me == 2)) ->
            running[me]++; assert(TOTAL <= LIMIT) }
    /* END */
    :: atomic { running[me] > 0 -> running[me]-- }
    /* SEND: deducts immediately. */
    :: atomic { freeUnits(me, units); units > 0 && transfers < 3 ->
            if :: peer = (me + 1) % N :: peer = (me + 2) % N fi;
            if
            :: (appliedEviction[me] && peer == 2) -> skip
            :: else -> sent[me*N+peer]++; transfers++
            fi }
    /* RECEIVE: sets the sender's current total. Old or duplicate messages change nothing. */
    :: atomic {
            if :: peer = (me + 1) % N :: peer = (me + 2) % N fi;
#ifdef NO_FREEZE
            received[me*N+peer] < sent[peer*N+me] ->
#else
            (received[me*N+peer] < sent[peer*N+me] && !(appliedEviction[me] && peer == 2)) ->
#endif
#ifdef STEP_TRANSFERS
            received[me*N+peer] = received[me*N+peer] + 1;
            if :: received[me*N+peer]++ :: skip fi   /* the same step counted twice */
#else
            received[me*N+peer] = sent[peer*N+me]
#endif
        }
    /* Applies the eviction of entry 2. */
    :: atomic { evicted && !appliedEviction[me] -> appliedEviction[me] = true }
    /* SETTLE: reports what was exchanged. The grants include it from here on. */
    :: atomic { me != 2 && appliedEviction[me] && !settled[me] ->
            settledIn[me] = received[me*N+2]; settledOut[me] = sent[me*N+2]; settled[me] = true }
    :: returned && me == 2 -> break
    :: returned && me != 2 && running[me] == 0 -> break
    od
}

/* Time and the log: entry 2 may become isolated at any moment. It fences itself and what it runs ends. Only
 * then may the others evict it. */
proctype Environment() {
    if
    :: true -> skip
    :: true -> goto done
    fi;
#ifndef NO_FENCE
    fenced[2] = true;
    running[2] == 0;
#endif
    evicted = true;
    settled[0] && settled[1];
    /* RETURN: the pot is what remains of the evicted entry's grant after the reports. */
    atomic {
        short pot = granted[2] + settledOut[0] + settledOut[1] - settledIn[0] - settledIn[1];
        assert(pot >= 0);
        granted[0] = granted[0] + pot;
        returned = true
    }
done:
    skip
}

init {
    atomic {
        granted[0] = 1; granted[1] = 1; granted[2] = 1;
        run Entry(0); run Entry(1); run Entry(2); run Environment()
    }
}
