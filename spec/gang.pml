/*
 * Gang reservation: src/gang.h and the holds of src/memory_reservations.h.
 *
 * Two prompts each need a hold on both of two targets; a target has room for one hold. Holds are
 * taken in ascending order, a refusal releases all, and a hold ends after its TTL when its entry has
 * died. A release can be lost; the TTL covers it as well.
 *
 * Checked: a prompt runs only with all holds, two prompts never run on one target at once, and when
 * both entries have ended nothing is held. Invalid end states (both waiting for ever) are reported.
 *
 * Broken variants:
 * broken: KEEP_ON_REFUSAL
 * broken: NO_TTL
 * broken: WAIT_FOR_HOLD
 */

#define TARGETS 2

byte holder[TARGETS];  /* 1 or 2, 0 when free. */
bool ended[3];
byte running = 0;

#ifdef WAIT_FOR_HOLD
#define FIRST(self) (self - 1)  /* Also takes them in different order. */
#else
#define FIRST(self) 0
#endif

proctype Entry(byte self) {
  byte tries = 2;
  byte got = 0;
  byte n;
  byte target;

  do
  :: tries > 0 ->
     tries--;
     got = 0;
     n = 0;
     do
     :: n < TARGETS ->
        target = (FIRST(self) + n) % TARGETS;
#ifdef WAIT_FOR_HOLD
        atomic { holder[target] == 0 -> holder[target] = self; got++ }
#else
        atomic {
          if
          :: holder[target] == 0 -> holder[target] = self; got++
          :: holder[target] == self -> got++  /* A hold of an earlier try whose release was lost. */
          :: else -> break
          fi
        }
#endif
        ;
        n++
     :: else -> break
     od;
     if
     :: true -> goto end  /* The entry dies. */
     :: got == TARGETS ->
        running++;
        assert(running == 1);
        assert(holder[0] == self && holder[1] == self);
        running--;
        tries = 0
     :: got < TARGETS -> skip
     fi;
#ifdef KEEP_ON_REFUSAL
     if
     :: got < TARGETS -> goto end_without_release
     :: else -> skip
     fi;
#endif
     n = 0;
     do
     :: n < TARGETS ->
        if
        :: holder[n] == self -> holder[n] = 0
        :: skip  /* Release lost, or nothing to release. */
        fi;
        n++
     :: else -> break
     od
  :: tries == 0 -> break
  od;
end:
  ended[self] = true;
#ifdef KEEP_ON_REFUSAL
  goto finished;
end_without_release:
  skip;
finished:
#endif
  skip
}

/* The TTL: a hold that its entry does not use ends. An entry that runs renews its holds. */
proctype Target(byte self) {
  do
  :: atomic {
#ifdef NO_TTL
       false ->
#else
       holder[self] != 0 && ended[holder[self]] ->
#endif
       holder[self] = 0
     }
  :: ended[1] && ended[2] && holder[self] == 0 -> break
  od
}

init {
  atomic {
    run Entry(1);
    run Entry(2);
    run Target(0);
    run Target(1)
  }
}
