/*
 * Attempts, tombstones and the not_run outcome: src/attempts.h and src/requests.h.
 *
 * One request that must not be repeated, one entry, two agents. An offer can arrive late, twice, or
 * never; an agent can restart and loses its tombstones; its replies can be lost. The entry offers
 * the request again only after a proof of not_run.
 *
 * Checked: at most one dispatch, and none once the caller was told not_run.
 *
 * Broken variants:
 * broken: NO_TOMBSTONE
 * broken: RETRY_AFTER_TIMEOUT
 * broken: ANY_INCARNATION
 */

#define AGENTS 2
#define ATTEMPTS 3

#ifdef ANY_INCARNATION
#define MEANT(n, agent) true
#else
#define MEANT(n, agent) (sent_incarnation[n] == incarnation[agent])
#endif

mtype = { refused, accepted };
#define none 0  /* Initial value of a variable. */

/* Copies of the offer of each attempt that are still under way; at most two. */
byte in_flight[ATTEMPTS];
byte sent_to[ATTEMPTS];           /* Agent. */
byte sent_incarnation[ATTEMPTS];  /* Incarnation of the agent that the offer means. */
mtype reply[ATTEMPTS];            /* What the entry has received. */

byte incarnation[AGENTS];
bool told_not_run = false;
bool told = false;
byte dispatches = 0;

proctype Agent(byte self) {
  bool tombstone[ATTEMPTS];
  bool ran[ATTEMPTS];
  byte n;
  byte restarts = 1;

  do
  :: n = 0;
     do
     :: n < ATTEMPTS - 1 && !(in_flight[n] > 0 && sent_to[n] == self) -> n++
     :: else -> break
     od;
     if
     :: in_flight[n] > 0 && sent_to[n] == self ->
        /* One copy arrives. */
        atomic {
          in_flight[n]--;
          if
          :: !MEANT(n, self) -> skip  /* Dropped. */
          :: MEANT(n, self) && ran[n] -> skip  /* Duplicate. */
          :: MEANT(n, self) && tombstone[n] ->
             if
             :: reply[n] == none -> reply[n] = refused
             :: else -> skip
             fi
          :: MEANT(n, self) && !ran[n] && !tombstone[n] ->
             if
             :: true ->
                ran[n] = true;
                dispatches++;
                assert(dispatches <= 1);
                assert(!told_not_run);
                if
                :: reply[n] == none -> reply[n] = accepted
                :: skip  /* Reply lost. */
                fi
             :: true ->
#ifndef NO_TOMBSTONE
                tombstone[n] = true;
#endif
                if
                :: reply[n] == none -> reply[n] = refused
                :: skip
                fi
             fi
          fi
        }
     :: else ->
        if
        :: told -> break
        :: else -> skip
        fi
     fi
  :: restarts > 0 ->
     atomic {
       restarts--;
       incarnation[self]++;
       n = 0;
       do
       :: n < ATTEMPTS -> tombstone[n] = false; ran[n] = false; n++
       :: else -> break
       od;
       n = 0
     }
  od
}

proctype Entry() {
  byte n = 0;
  byte target = 0;

  do
  :: n < ATTEMPTS ->
     atomic {
       sent_to[n] = target;
       sent_incarnation[n] = incarnation[target];
       if
       :: in_flight[n] = 2  /* A reconnect may repeat it. */
       :: in_flight[n] = 1
       :: in_flight[n] = 0; reply[n] = refused  /* Never written: proof of not_run. */
       fi
     }
     if
     :: reply[n] == refused ->
        n++;
        target = 1 - target
     :: reply[n] == accepted -> break
     :: true ->
        /* Timeout without a proof. */
#ifdef RETRY_AFTER_TIMEOUT
        n++;
        target = 1 - target
#else
        break
#endif
     fi
  :: n == ATTEMPTS -> break
  od;
  atomic {
    if
    :: n == ATTEMPTS -> told_not_run = true
    :: n < ATTEMPTS && reply[n] == refused ->
       /* The last attempt was refused and there is no time for another. */
       told_not_run = true
    :: else -> skip  /* Whole answer or unknown. */
    fi;
#ifndef RETRY_AFTER_TIMEOUT
    assert(!told_not_run || dispatches == 0);
#endif
    told = true
  }
}

init {
  atomic {
    run Agent(0);
    run Agent(1);
    run Entry()
  }
}
