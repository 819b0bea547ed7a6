/* Claim and takeover of one id that must not run twice.
 *
 * Entries 0, 1 and 2 share a zone. In epoch 0 the primary is 0 and the replica is 1. Epoch 1 evicts entry 0,
 * which may be alive but isolated: primary 1, replica 2. In epoch 2 entry 3 joins: primary 3, replica 1.
 * Entries learn of epochs late. Messages may be lost or duplicated.
 *
 * Model action            Code
 * CLAIM                   ClaimPart::claimAndReplicate, ClaimTable::claim
 * REPLICATE, ACK          ClaimPart::onClaimReplication, onClaimReplicationReply; both only in the same epoch
 * START                   RequestPart::onAttemptReady, ClaimPart::mayStart
 * APPLY                   ClaimPart::onMembersChanged, ClaimTable::setMembers
 * SYNC                    ClaimPart::syncWith, onClaimSync
 * FENCE                   MembershipTable::mayStartLimited
 *
 * The variants -DNO_COPY (no replication) and -DNO_SYNC leave out one mechanism each; the checker must find a
 * violation in both. -DNO_EPOCH and -DNO_FENCE alone still hold, since the fence and the check of epochs back
 * each other up; with both together it must find a violation.
 */
#define ENTRIES 4

byte epoch[ENTRIES];      /* the epoch that each entry has applied */
byte logEpoch = 0;        /* the latest epoch in the log */
bool holds[ENTRIES];      /* the entry has the claim in its table, its own or another entry's */
bool isMine[ENTRIES];     /* the entry made the claim and hasn't started it */
bool acked[ENTRIES];      /* a replica confirmed the entry's claim */
bool fenced[ENTRIES];
bool synced[12];          /* synced[from*ENTRIES+to]: `from` has handed over to `to` in its current epoch */
byte started = 0;         /* how often the id was started; must not exceed 1 */

#define PRIMARY(e) (e == 0 -> 0 : (e == 1 -> 1 : 3))
#define REPLICA(e) (e == 0 -> 1 : (e == 1 -> 2 : 1))

/* A primary is ready once every survivor that may hold claims has handed them over. */
#define READY(me) ((epoch[me] == 0) || \
                   (epoch[me] == 1 && synced[2*ENTRIES+me]) || \
                   (epoch[me] == 2 && synced[1*ENTRIES+me] && synced[2*ENTRIES+me]))

#ifdef NO_SYNC
#define MAY_CLAIM(me) (PRIMARY(epoch[me]) == me && !holds[me] && !fenced[me])
#else
#define MAY_CLAIM(me) (PRIMARY(epoch[me]) == me && !holds[me] && !fenced[me] && READY(me))
#endif
#ifdef NO_COPY
#define MAY_START(me) (isMine[me] && !fenced[me])
#else
#define MAY_START(me) (isMine[me] && !fenced[me] && acked[me])
#endif
#ifdef NO_EPOCH
#define MAY_ACK(me, other) (!fenced[other])
#else
#define MAY_ACK(me, other) (epoch[other] == epoch[me])
#endif

proctype Entry(byte me) {
    byte other;
    do
    /* CLAIM: a request with the id arrives, and this entry considers itself the primary. */
    :: atomic { MAY_CLAIM(me) -> holds[me] = true; isMine[me] = true }
    /* REPLICATE and ACK in one step: the replica confirms only in the claimant's epoch. */
    :: atomic { (isMine[me] && !acked[me] && PRIMARY(epoch[me]) == me) ->
            other = REPLICA(epoch[me]);
            if
            :: MAY_ACK(me, other) -> holds[other] = true; acked[me] = true
            :: skip            /* the message or its acknowledgement is lost */
            fi }
    /* START */
    :: atomic { MAY_START(me) -> isMine[me] = false; started++; assert(started <= 1) }
    /* APPLY: applies the next epoch. */
    :: atomic { (epoch[me] < logEpoch && me != 0) -> epoch[me]++;
            synced[0*ENTRIES+me] = false; synced[1*ENTRIES+me] = false; synced[2*ENTRIES+me] = false }
    /* SYNC: hands its claims over to the primary, if both are in the same epoch. */
    :: atomic { (me != 0 && me != 3 && epoch[me] > 0 && PRIMARY(epoch[me]) != me) ->
            other = PRIMARY(epoch[me]);
            if
            :: epoch[other] == epoch[me] ->
                holds[other] = holds[other] || holds[me]; synced[me*ENTRIES+other] = true
            :: else -> skip
            fi }
    :: logEpoch == 2 && epoch[me] == 2 -> break
    :: fenced[me] -> break
    od
}

/* Entry 0 is evicted only after it has fenced itself. */
proctype Log() {
    if :: true -> skip :: goto done fi;
#ifndef NO_FENCE
    fenced[0] = true;
#endif
    logEpoch = 1;
    if :: true -> skip :: goto done fi;
    logEpoch = 2;
done:
    skip
}

init {
    atomic { run Entry(0); run Entry(1); run Entry(2); run Entry(3); run Log() }
}
