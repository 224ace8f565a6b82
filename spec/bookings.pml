/*
 * Memory bookings, cancels and reconciliation: src/memory_reservations.h and src/reconcile.h.
 *
 * One agent with restarts, one engine with restarts, two streams. A start or a cancel can be lost,
 * and the answer to a start can be lost after the effect. The agent frees a booking only when a list
 * of the engine taken after the start was settled no longer has the stream.
 *
 * Checked: the agent never frees a booking while its stream holds memory at the engine, and when all
 * work has ended nothing is held and nothing is booked.
 *
 * Broken variants:
 * broken: FREE_ON_CANCEL
 * broken: NO_RECONCILE_AT_START
 * broken: CANCEL_ONCE
 */

#define STREAMS 2

bool held[STREAMS];    /* By the engine. */
bool booked[STREAMS];  /* By the agent. */
bool closing[STREAMS]; /* The agent wants the stream gone. */

byte faults = 3;

inline cancel(s) {
  atomic {
    if
    :: held[s] = false
    :: faults > 0 -> faults--  /* The cancel was lost. */
    fi
  }
}

inline reconcile() {
  s = 0;
  do
  :: s < STREAMS ->
     if
     :: held[s] && !booked[s] ->
        /* An orphan: adopt the memory and get rid of the stream. */
        booked[s] = true;
        closing[s] = true
     :: else -> skip
     fi;
     if
     :: closing[s] && booked[s] ->
#ifndef CANCEL_ONCE
        cancel(s);
#endif
        if
        :: !held[s] -> booked[s] = false; closing[s] = false
        :: else -> skip
        fi
     :: else -> skip
     fi;
     s++
  :: else -> break
  od
}

proctype Agent() {
  byte s;
  byte n = 0;
  byte restarts = 1;

  do
  :: n < STREAMS ->
     /* Book before the start. */
     booked[n] = true;
     if
     :: held[n] = true                       /* Started. */
     :: faults > 0 -> faults--; held[n] = true; closing[n] = true  /* Answer lost after the effect. */
     :: faults > 0 -> faults--; closing[n] = true                  /* Start lost: status unknown. */
     fi;
     if
     :: !closing[n] ->
        if
        :: held[n] = false; booked[n] = false  /* Complete: the engine reported the end. */
        :: closing[n] = true                   /* Caller gone, or deadline. */
        fi
     :: else -> skip
     fi;
     if
     :: closing[n] ->
        cancel(n);
#ifdef FREE_ON_CANCEL
        booked[n] = false;
        assert(!held[n]);
        closing[n] = false
#endif
     :: else -> skip
     fi;
     n++
  :: restarts > 0 && n > 0 ->
     atomic {
       restarts--;
       s = 0;
       do
       :: s < STREAMS -> booked[s] = false; closing[s] = false; s++
       :: else -> break
       od
     };
#ifndef NO_RECONCILE_AT_START
     reconcile()
#endif
  :: n == STREAMS -> break
  od;

  /* All work has ended; faults end, reconciliation goes on. */
  faults = 0;
#ifndef NO_RECONCILE_AT_START
  reconcile();
  reconcile();
#endif
  s = 0;
  do
  :: s < STREAMS ->
     assert(!held[s]);
     assert(!booked[s]);
     s++
  :: else -> break
  od
}

/* The engine may restart and lose its streams at any moment; bookings must still end. */
proctype EngineRestart() {
  byte s = 0;
  atomic {
    do
    :: s < STREAMS -> held[s] = false; s++
    :: else -> break
    od
  }
}

init {
  atomic {
    run Agent();
    run EngineRestart()
  }
}
