/*
 * Configuration: src/config_publisher.h, src/config_store.h and src/config_distributor.h.
 *
 * Two operators each take out a different one of the last two data centres. The object has
 * conditional updates; an answer can be lost with or without the effect. Two processes learn versions
 * by a watch, by late pushes and by each other, in any order.
 *
 * Checked: one data centre stays in service, an operator is told "accepted" only for a change that
 * is in the object, and no process ever applies a lower version than it has.
 *
 * Broken variants:
 * broken: APPLY_LOWER
 * broken: REBASE_WITHOUT_CHECK
 * broken: LOST_ANSWER_IS_ACCEPTED
 */

mtype = { applied, conflict, lost };

byte version = 1;
bool withdrawn[2];
bool in_log[2];      /* Change ids that the document keeps. */

chan pushes = [2] of { byte };

proctype Operator(byte self) {
  byte base;
  bool other_out;
  mtype result;
  byte tries = 3;
  bool accepted = false;

  do
  :: tries > 0 ->
     tries--;
     atomic {
       base = version;
#ifdef REBASE_WITHOUT_CHECK
       /* Checked against the first base only. */
       if
       :: tries == 2 -> other_out = withdrawn[1 - self]
       :: else -> skip
       fi
#else
       other_out = withdrawn[1 - self]
#endif
     }
     if
     :: in_log[self] -> accepted = true; break
     :: else -> skip
     fi;
     if
     :: other_out -> break  /* Refused: the last data centre stays. */
     :: else -> skip
     fi;
     atomic {
       if
       :: base == version ->
          version++;
          withdrawn[self] = true;
          in_log[self] = true;
          if
          :: result = applied
          :: result = lost
          fi
       :: base != version -> result = conflict
       :: result = lost
       fi
     }
     if
     :: result == applied -> accepted = true; break
     :: result == lost ->
#ifdef LOST_ANSWER_IS_ACCEPTED
        accepted = true; break
#else
        skip  /* The next try reads back and looks for the change id. */
#endif
     :: result == conflict -> skip
     fi
  :: tries == 0 -> break
  od;
  assert(!accepted || in_log[self]);
  assert(!(withdrawn[0] && withdrawn[1]))
}

proctype Process() {
  byte mine = 0;
  byte previous = 0;
  byte news;
  byte steps = 2;

  do
  :: steps > 0 ->
     steps--;
     if
     :: news = version                 /* Watch or read. */
     :: atomic { nempty(pushes) -> pushes ? news } /* A push, perhaps an old one. */
     :: news = mine
     fi;
     previous = mine;
#ifdef APPLY_LOWER
     mine = news;
#else
     if
     :: news > mine -> mine = news
     :: else -> skip
     fi;
#endif
     assert(mine >= previous);
     if
     :: atomic { nfull(pushes) -> pushes ! mine }
     :: true -> skip
     fi
  :: steps == 0 -> break
  od
}

init {
  atomic {
    run Operator(0);
    run Operator(1);
    run Process();
    run Process()
  }
}
