/*
 * Claims for idempotency keys: src/claims.h.
 *
 * One key, one shard object with conditional updates, two agents that may each crash and be followed
 * by a new incarnation. Every step of an agent can be delayed for any time, which covers pauses.
 * A write can lose its answer with or without its effect.
 *
 * Checked: the call is dispatched at most once, and never after its agent released the claim.
 *
 * Broken variants, each of which the checker must reject:
 * broken: BLIND_WRITE
 * broken: LOST_ANSWER_IS_SUCCESS
 * broken: USE_AFTER_RELEASE
 */

#define CALLER_TRIES 3  /* Offers of the key that reach one incarnation. */

mtype = { applied, conflict, lost };

byte version = 0;
byte holder = 0;     /* Incarnation that holds the claim; 0 is none. */
byte dispatches = 0;

inline read_shard() {
  atomic {
    seen_version = version;
    seen_holder = holder
  }
}

/* A conditional update. The answer may be lost after the effect, or the request before it. */
inline update_shard(new_holder) {
  atomic {
    if
#ifdef BLIND_WRITE
    :: true -> version++; holder = new_holder; result = applied
#else
    :: version == seen_version ->
       version++;
       holder = new_holder;
       if
       :: result = applied
       :: result = lost
       fi
    :: version != seen_version -> result = conflict
#endif
    :: result = lost
    fi
  }
}

proctype Agent(byte self; bool may_restart) {
  byte seen_version;
  byte seen_holder;
  byte tries = CALLER_TRIES;
  bool mine = false;
  bool dispatched = false;
  mtype result;

  do
  :: tries > 0 ->
     tries--;
     if
     :: !mine && !dispatched ->
        read_shard();
        if
        :: seen_holder == 0 ->
           update_shard(self);
           if
           :: result == applied -> mine = true
           :: result == conflict -> skip  /* The next try reads again. */
           :: result == lost ->
#ifdef LOST_ANSWER_IS_SUCCESS
              mine = true
#else
              read_shard();
              mine = (seen_holder == self)
#endif
           fi
        :: seen_holder == self -> mine = true
        :: else -> skip  /* Refused: outcome_unknown or already_ran. */
        fi
     :: else -> skip
     fi;
     if
     :: mine && !dispatched ->
        if
        :: true ->
           dispatched = true;
           dispatches++;
           assert(dispatches <= 1)
        :: true -> skip  /* The deadline passed: not_run, the claim is kept. */
        fi
     :: else -> skip
     fi
  :: mine && !dispatched && tries > 0 ->
     /* Release an unused claim. The agent stops using it before it sends the write. */
#ifndef USE_AFTER_RELEASE
     mine = false;
#endif
     read_shard();
     if
     :: seen_holder == self -> update_shard(0)
     :: else -> skip
     fi;
     tries--
  :: may_restart ->
     /* Crash: memory is lost; a new incarnation follows. */
     run Agent(self + 2, false);
     break
  :: tries == 0 -> break
  od
}

init {
  atomic {
    run Agent(1, true);
    run Agent(2, true)
  }
}
