/* Claim and takeover of one id that must not run twice.
 *
 * Entries 0, 1 and 2 share a zone. In epoch 0 the home is 0 and the copy holder is 1. Epoch 1 takes 0 out
 * (evicted, it may be alive and cut off): home 1, copy 2. Entry 3 joins in epoch 2 and becomes home, copy 1.
 * Entries learn epochs late. Messages get lost and doubled.
 *
 * Model action            Code
 * CLAIM                   ClaimPart::claimAndCopy, ClaimTable::claim
 * COPY, ACK               ClaimPart::onClaimCopy, onClaimCopyReply; both only in the same epoch
 * START                   QuickPart::onAttemptReady, ClaimPart::mayStart
 * FOLD                    ClaimPart::onMembersChanged, ClaimTable::setMembers
 * SYNC                    ClaimPart::syncWith, onClaimSync
 * FENCE                   MembershipTable::mayStartLimited
 *
 * Build with -DNO_COPY or -DNO_SYNC for variants that must be refuted. -DNO_EPOCH and -DNO_FENCE each still
 * hold, since the fence and the check of epochs stand in for each other; both together must be refuted.
 */
#define ENTRIES 4

byte epoch[ENTRIES];      /* what each entry has folded */
byte logEpoch = 0;        /* what the log holds */
bool holds[ENTRIES];      /* has the claim in its table, its own or another's */
bool isMine[ENTRIES];     /* claimed here */
bool acked[ENTRIES];      /* a copy holder confirmed in the claim's epoch */
bool fenced[ENTRIES];
bool synced[12];          /* synced[from*ENTRIES+to]: from handed over to `to` in its current epoch */
byte started = 0;

#define HOME(e)  (e == 0 -> 0 : (e == 1 -> 1 : 3))
#define COPYOF(e) (e == 0 -> 1 : (e == 1 -> 2 : 1))

/* A home is ready once every survivor that could know of claims has handed over. */
#define READY(me) ((epoch[me] == 0) || \
                   (epoch[me] == 1 && synced[2*ENTRIES+me]) || \
                   (epoch[me] == 2 && synced[1*ENTRIES+me] && synced[2*ENTRIES+me]))

#ifdef NO_SYNC
#define MAY_CLAIM(me) (HOME(epoch[me]) == me && !holds[me] && !fenced[me])
#else
#define MAY_CLAIM(me) (HOME(epoch[me]) == me && !holds[me] && !fenced[me] && READY(me))
#endif
#ifdef NO_COPY
#define MAY_START(me) (isMine[me] && !fenced[me])
#else
#define MAY_START(me) (isMine[me] && !fenced[me] && acked[me])
#endif
#ifdef NO_EPOCH
#define MAY_ACK(me, copy) (!fenced[copy])
#else
#define MAY_ACK(me, copy) (epoch[copy] == epoch[me])
#endif

proctype Entry(byte me) {
    byte copy;
    do
    /* CLAIM: a request with the id arrives here, and this entry believes to be home. */
    :: atomic { MAY_CLAIM(me) -> holds[me] = true; isMine[me] = true }
    /* COPY and ACK in one: the holder confirms only in the claimant's epoch. */
    :: atomic { (isMine[me] && !acked[me] && HOME(epoch[me]) == me) ->
            copy = COPYOF(epoch[me]);
            if
            :: MAY_ACK(me, copy) -> holds[copy] = true; acked[me] = true
            :: skip            /* the message or its answer is lost */
            fi }
    /* START */
    :: atomic { MAY_START(me) -> isMine[me] = false; started++; assert(started <= 1) }
    /* FOLD: learns the next epoch. */
    :: atomic { (epoch[me] < logEpoch && me != 0) -> epoch[me]++;
            synced[0*ENTRIES+me] = false; synced[1*ENTRIES+me] = false; synced[2*ENTRIES+me] = false }
    /* SYNC: hands its claims to the home of the epoch that both are in. */
    :: atomic { (me != 0 && me != 3 && epoch[me] > 0 && HOME(epoch[me]) != me) ->
            copy = HOME(epoch[me]);
            if
            :: epoch[copy] == epoch[me] ->
                holds[copy] = holds[copy] || holds[me]; synced[me*ENTRIES+copy] = true
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
