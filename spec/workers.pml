/* Starts, leases and recovery: rules 1 and 6 of docs/design/leadership.md, given that at most one
 * host has authority at a time (spec/leadership.pml).
 *
 * Safety: no task runs on two workers; no worker runs more than it holds (one task).
 * Bounded response: once faults have ended, every task runs within CALM_LIMIT ticks.
 *
 * A leader dies, pauses, or is alone in not reaching a worker by taking no step. The next leader
 * begins when the authority has run out, or at once after a planned hand-over, and knows nothing.
 * Commands are late by any time, answers may be lost. Leaders follow one another without limit.
 *
 * Time: as in leadership.pml only the worst case of the drift needs a search: a slow worker's clock
 * keeps a lease and accepts a command longest, a fast leader's clock ends a wait soonest. */

#define TASKS 2
#define WORKERS 2
#define PLACES 4           /* place = task * WORKERS + worker */
#define AUTHORITY 2
#define LEASE 2
#define DRIFT 1
#ifndef CALM_LIMIT
#define CALM_LIMIT 8
#endif

#ifdef MUTANT_LEASE_MARGIN
#define LEASE_MARGIN 0
#else
#define LEASE_MARGIN (2 * DRIFT)
#endif

#ifdef MUTANT_COMMAND_MARGIN
#define COMMAND_MARGIN 0
#else
#define COMMAND_MARGIN DRIFT
#endif

#define LEASE_RUN (LEASE + DRIFT)                    /* how long a worker runs a task */
#define LEASE_WAIT (LEASE + LEASE_MARGIN - DRIFT)    /* how long a leader waits for it to end */
#ifdef MUTANT_NOT_AFTER
#define NOT_AFTER 7
#else
#define NOT_AFTER (authority - COMMAND_MARGIN + DRIFT)
#endif

#ifdef MUTANT_RELEASE_WAIT
#define RELEASE_WAIT LEASE_WAIT
#else
#define RELEASE_WAIT (LEASE_WAIT + AUTHORITY)
#endif

byte authority = AUTHORITY;  /* ticks that the present leader may still decide */
byte lease[PLACES];          /* ticks that the task still runs there; 0: it does not */
byte start[PLACES];          /* ticks that a start in flight can still be accepted; 0: none */
bool own[PLACES];            /* whether the present leader sent that start */
byte renewal[WORKERS];       /* the same for a renewal in flight */

/* What the present leader knows. A place that may be taken is never used otherwise. */
bool maybe[PLACES];
byte quiet_in[WORKERS];      /* ticks until every lease there has surely run out */
bool reported[WORKERS];      /* a report is on its way to the leader */
bool report[PLACES];         /* what may run by that report */

/* After faults have ended each step is taken before time passes. */
bool calm;
byte calm_ticks;
bool asked[WORKERS];

#define RUNS(p) (lease[p] > 0)
#define TASK_FREE(t) (!maybe[(t) * WORKERS] && !maybe[(t) * WORKERS + 1])
#define ROOM(w) (!maybe[w] && !maybe[WORKERS + (w)])
#define MAY_START(t, w) (authority > 0 && TASK_FREE(t) && ROOM(w))

#define ALL_RUN ((RUNS(0) || RUNS(1)) && (RUNS(2) || RUNS(3)))
#define NO_TASK_TWICE (!(RUNS(0) && RUNS(1)) && !(RUNS(2) && RUNS(3)))
#define NO_OVERCOMMIT (!(RUNS(0) && RUNS(2)) && !(RUNS(1) && RUNS(3)))

inline send_start(t, w) {
  start[t * WORKERS + w] = NOT_AFTER;
  own[t * WORKERS + w] = true;
  maybe[t * WORKERS + w] = true;
  quiet_in[w] = authority + LEASE_WAIT
}

inline accept_start(p) {
  start[p] = 0;
  own[p] = false;
  lease[p] = LEASE_RUN;
  assert(NO_TASK_TWICE);
  assert(NO_OVERCOMMIT)
}

inline send_renewal(w) {
  renewal[w] = NOT_AFTER;
  quiet_in[w] = authority + LEASE_WAIT
}

inline renew(p) {
  if
  :: RUNS(p) -> lease[p] = LEASE_RUN
  :: else -> skip
  fi
}

/* A report says nothing about a start of the leader that was not settled when it was written. */
#ifdef MUTANT_STALE_REPORT
#define MAY_RUN(p) RUNS(p)
#else
#define MAY_RUN(p) (RUNS(p) || (start[p] > 0 && own[p]))
#endif

inline write_report(w) {
  reported[w] = true;
  report[w] = MAY_RUN(w);
  report[WORKERS + w] = MAY_RUN(WORKERS + w)
}

inline read_report(w) {
  reported[w] = false;
#ifndef MUTANT_REPORT_IGNORED
  maybe[w] = report[w];
  maybe[WORKERS + w] = report[WORKERS + w];
#endif
  report[w] = false;
  report[WORKERS + w] = false;
  asked[w] = true
}

inline drop_report(w) {
  reported[w] = false;
  report[w] = false;
  report[WORKERS + w] = false
}

inline begin_leader(wait) {
  authority = AUTHORITY;
  own[0] = false; own[1] = false; own[2] = false; own[3] = false;
#ifdef MUTANT_ASSUME_EMPTY
  maybe[0] = false; maybe[1] = false; maybe[2] = false; maybe[3] = false;
#else
  maybe[0] = true; maybe[1] = true; maybe[2] = true; maybe[3] = true;
#endif
#ifdef MUTANT_UNREACHABLE
  quiet_in[0] = 0; quiet_in[1] = 0;
#else
  quiet_in[0] = wait; quiet_in[1] = wait;
#endif
  drop_report(0);
  drop_report(1)
}

#ifdef MUTANT_UNSETTLED_RELEASE
#define STARTS_SETTLED true
#else
#define STARTS_SETTLED (start[0] == 0 && start[1] == 0 && start[2] == 0 && start[3] == 0)
#endif

active proctype leader() {
  do
  :: atomic { authority > 0 && authority < AUTHORITY -> authority = AUTHORITY }
  :: atomic { authority == 0 -> begin_leader(LEASE_WAIT) }
  :: atomic { !calm && authority > 0 && STARTS_SETTLED -> begin_leader(RELEASE_WAIT) }
  :: atomic { MAY_START(0, 0) && !reported[0] -> send_start(0, 0) }
  :: atomic { MAY_START(0, 1) && !reported[1] -> send_start(0, 1) }
  :: atomic { MAY_START(1, 0) && !reported[0] -> send_start(1, 0) }
  :: atomic { MAY_START(1, 1) && !reported[1] -> send_start(1, 1) }
  :: atomic { authority > 0 && renewal[0] < NOT_AFTER && !asked[0] -> send_renewal(0) }
  :: atomic { authority > 0 && renewal[1] < NOT_AFTER && !asked[1] -> send_renewal(1) }
  :: atomic { reported[0] -> read_report(0) }
  :: atomic { reported[1] -> read_report(1) }
  :: atomic { authority > 0 && quiet_in[0] == 0 && !ROOM(0) ->
      maybe[0] = false; maybe[WORKERS] = false }
  :: atomic { authority > 0 && quiet_in[1] == 0 && !ROOM(1) ->
      maybe[1] = false; maybe[WORKERS + 1] = false }
  od
}

active proctype worker() {
  do
  :: atomic { start[0] > 0 -> accept_start(0) }
  :: atomic { start[1] > 0 -> accept_start(1) }
  :: atomic { start[2] > 0 -> accept_start(2) }
  :: atomic { start[3] > 0 -> accept_start(3) }
  :: atomic { renewal[0] > 0 -> renewal[0] = 0; renew(0); renew(2) }
  :: atomic { renewal[1] > 0 -> renewal[1] = 0; renew(1); renew(3) }
  :: atomic { authority > 0 && !reported[0] && !asked[0] -> write_report(0) }
  :: atomic { authority > 0 && !reported[1] && !asked[1] -> write_report(1) }
  od
}

inline count_down(value) {
  value = (value > 0 -> value - 1 : 0)
}

#ifdef MUTANT_NOT_AFTER
#define count_down_command(value) skip
#else
#define count_down_command(value) count_down(value)
#endif

/* What a leader without faults does before time passes. */
#define COMMANDS_ARRIVED \
  (start[0] == 0 && start[1] == 0 && start[2] == 0 && start[3] == 0 && \
   renewal[0] == 0 && renewal[1] == 0)
#define NOTHING_TO_START \
  (!MAY_START(0, 0) && !MAY_START(0, 1) && !MAY_START(1, 0) && !MAY_START(1, 1))
#define ALL_DONE \
  (authority == AUTHORITY && COMMANDS_ARRIVED && asked[0] && asked[1] && NOTHING_TO_START && \
   !reported[0] && !reported[1])

active proctype clock() {
  do
  :: atomic { !calm || ALL_DONE ->
      if
      :: calm && !ALL_RUN -> calm_ticks++; assert(calm_ticks < CALM_LIMIT)
      :: else -> calm_ticks = 0
      fi;
      count_down(authority);
      count_down(lease[0]); count_down(lease[1]); count_down(lease[2]); count_down(lease[3]);
      count_down_command(start[0]); count_down_command(start[1]);
      count_down_command(start[2]); count_down_command(start[3]);
      count_down_command(renewal[0]); count_down_command(renewal[1]);
      own[0] = own[0] && start[0] > 0; own[1] = own[1] && start[1] > 0;
      own[2] = own[2] && start[2] > 0; own[3] = own[3] && start[3] > 0;
      count_down(quiet_in[0]); count_down(quiet_in[1]);
      asked[0] = false; asked[1] = false }
  :: atomic { !calm -> calm = true }
  od
}
