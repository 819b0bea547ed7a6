/* Transfer and reclaim of limit units between three entries.
 *
 * Each entry holds granted + received - sent - running units (src/limits/unit_ledger.cpp). Totals of a pair
 * only grow; a message carries the total. An entry may pause, be cut off, and be taken for gone; then the
 * others settle in the log and its units return (src/fleet/fold.cpp: returnGoneGrants).
 *
 * Model action            Code
 * SEND                    UnitLedger::send
 * RECEIVE                 UnitLedger::receive; lost and doubled by not consuming
 * START, END              UnitPart::takeTeam, giveBackTeam
 * FENCE                   MembershipTable::mayStartLimited turns false; leases lapse
 * EVICT                   FleetState::applyBody(MemberGone), only once the victim is fenced
 * SETTLE                  StatePart::settleWithGone and FleetState::applyBody(MemberSettle)
 * RETURN                  FleetState::returnGoneGrants
 *
 * Build with -DNO_FENCE, -DNO_FREEZE or -DSTEP_TRANSFERS for variants that must be refuted.
 */
#define N 3
#define LIMIT 3

byte granted[N];          /* signed range isn't needed: grants only fall by settlement */
byte sent[9];             /* sent[a*N+b]: total that a gave to b, known to a */
byte received[9];         /* received[b*N+a]: total that b has seen from a */
byte running[N];
bool fenced[N];
bool gone = false;        /* entry 2 is gone in the log */
bool knowsGone[N];        /* the entry has folded it */
bool settled[N];
bool returned = false;
byte settledIn[N];
byte settledOut[N];
byte transfers = 0;

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
    :: atomic { freeUnits(me, units); (units > 0 && !fenced[me] && !(gone && knowsGone[me] && me == 2)) ->
            running[me]++; assert(TOTAL <= LIMIT) }
    /* END */
    :: atomic { running[me] > 0 -> running[me]-- }
    /* SEND: deducts at once. */
    :: atomic { freeUnits(me, units); units > 0 && transfers < 3 ->
            if :: peer = (me + 1) % N :: peer = (me + 2) % N fi;
            if
            :: (knowsGone[me] && peer == 2) -> skip
            :: else -> sent[me*N+peer]++; transfers++
            fi }
    /* RECEIVE: takes the sender's current total. Old or doubled messages change nothing. */
    :: atomic {
            if :: peer = (me + 1) % N :: peer = (me + 2) % N fi;
#ifdef NO_FREEZE
            received[me*N+peer] < sent[peer*N+me] ->
#else
            (received[me*N+peer] < sent[peer*N+me] && !(knowsGone[me] && peer == 2)) ->
#endif
#ifdef STEP_TRANSFERS
            received[me*N+peer] = received[me*N+peer] + 1;
            if :: received[me*N+peer]++ :: skip fi   /* the same step counted twice */
#else
            received[me*N+peer] = sent[peer*N+me]
#endif
        }
    /* Folding the record that entry 2 is gone. */
    :: atomic { gone && !knowsGone[me] -> knowsGone[me] = true }
    /* SETTLE: tells what was exchanged; the grant contains it from here on. */
    :: atomic { me != 2 && knowsGone[me] && !settled[me] ->
            settledIn[me] = received[me*N+2]; settledOut[me] = sent[me*N+2]; settled[me] = true }
    :: returned && me == 2 -> break
    :: returned && me != 2 && running[me] == 0 -> break
    od
}

/* Time and the log: entry 2 may be cut off at any moment. It fences itself, what it runs ends, and only
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
    gone = true;
    settled[0] && settled[1];
    /* RETURN: the pot is what is left of the gone entry's grant. */
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
