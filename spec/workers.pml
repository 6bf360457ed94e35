/* Task starts, leases and recovery: rules 1 and 6 of docs/design/leadership.md, provided that at
 * most one host has authority at a time (spec/leadership.pml).
 *
 * Safety: no task runs on two workers, and no worker exceeds its capacity of one task.
 * Bounded response: once faults have ended, every task runs within CALM_LIMIT ticks.
 *
 * A leader that crashes, pauses, or is the only host that cannot reach a worker is modelled as one
 * that takes no step. The next leader begins when the authority has expired, or at once after a
 * planned hand-over, and knows nothing of its predecessor's starts. Commands may be delayed by any
 * time, and reports may be lost. The number of leaders is unbounded.
 *
 * Time: as in leadership.pml, only the worst case of clock drift is searched: a worker whose clock
 * is slow keeps a lease and accepts a command longest, and a leader whose clock is fast ends its
 * wait soonest.
 *
 * Each macro MUTANT_x leaves out one rule; spec/check.py searches for a counterexample to each:
 *   LEASE_MARGIN       the leader's wait for a lease to expire includes no margin for clock drift
 *   COMMAND_MARGIN     the deadline of a command includes no margin for clock drift
 *   NOT_AFTER          a command has no deadline: it is accepted however late it arrives
 *   RELEASE_WAIT       after a planned hand-over the new leader does not wait for the authority of
 *                      its predecessor, whose commands may still be accepted, besides the leases
 *   UNSETTLED_RELEASE  a leader hands over while starts that it sent are in flight
 *   STALE_REPORT       the leader frees a pair that a report omits although its start is in flight
 *   ASSUME_EMPTY       a new leader assumes that no worker runs a task
 *   UNREACHABLE        a new leader does not wait for the leases of a worker that sends no report
 *   REPORT_IGNORED     the leader learns nothing from reports */

#define TASKS 2
#define WORKERS 2
#define PAIRS 4            /* pair of a task and a worker = task * WORKERS + worker */
#define AUTHORITY 2        /* ticks of authority that a renewal gives a leader */
#define LEASE 2            /* ticks that a task runs after its start or last renewal */
#define DRIFT 1
#ifndef CALM_LIMIT
#define CALM_LIMIT 8       /* ticks in which every task must run once faults have ended */
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

#define WORKER_LEASE (LEASE + DRIFT)                 /* longest time that a worker keeps a lease */
#define LEADER_WAIT (LEASE + LEASE_MARGIN - DRIFT)   /* shortest wait of a leader for its expiry */

/* Ticks in which a worker accepts a command that is sent now. */
#ifdef MUTANT_NOT_AFTER
#define NOT_AFTER 7
#else
#define NOT_AFTER (authority - COMMAND_MARGIN + DRIFT)
#endif

#ifdef MUTANT_RELEASE_WAIT
#define RELEASE_WAIT LEADER_WAIT
#else
#define RELEASE_WAIT (LEADER_WAIT + AUTHORITY)
#endif

byte authority = AUTHORITY;     /* ticks of authority that the current leader has left */
byte lease[PAIRS];              /* ticks of lease left to the task on the worker; 0: not running */
byte start[PAIRS];              /* ticks in which a start in flight is accepted; 0: none */
bool sent_by_leader[PAIRS];     /* whether the current leader sent that start */
byte renewal[WORKERS];          /* ticks in which a renewal in flight is accepted; 0: none */

/* What the current leader knows. It starts a task on a worker only if neither the task nor the
 * worker is in a pair that is possibly running. */
bool possibly_running[PAIRS];
byte leases_end_in[WORKERS];    /* ticks until every lease of the worker must have expired */
bool report_in_flight[WORKERS]; /* whether a report is on its way to the leader */
bool report[PAIRS];             /* pairs that possibly run according to that report */

/* Once faults have ended, every step that is due is taken before the next tick. */
bool faults_ended;
byte recovery_ticks;            /* consecutive ticks since then with a task that does not run */
bool report_handled[WORKERS];   /* whether the leader handled a report in the current tick */

#define IS_RUNNING(p) (lease[p] > 0)
#define TASK_FREE(t) (!possibly_running[(t) * WORKERS] && !possibly_running[(t) * WORKERS + 1])
#define WORKER_FREE(w) (!possibly_running[w] && !possibly_running[WORKERS + (w)])
#define MAY_START(t, w) (authority > 0 && TASK_FREE(t) && WORKER_FREE(w))

#define ALL_RUNNING ((IS_RUNNING(0) || IS_RUNNING(1)) && (IS_RUNNING(2) || IS_RUNNING(3)))
#define NO_TASK_TWICE (!(IS_RUNNING(0) && IS_RUNNING(1)) && !(IS_RUNNING(2) && IS_RUNNING(3)))
#define NO_OVERCOMMIT (!(IS_RUNNING(0) && IS_RUNNING(2)) && !(IS_RUNNING(1) && IS_RUNNING(3)))

inline send_start(t, w) {
  start[t * WORKERS + w] = NOT_AFTER;
  sent_by_leader[t * WORKERS + w] = true;
  possibly_running[t * WORKERS + w] = true;
  leases_end_in[w] = authority + LEADER_WAIT
}

inline accept_start(p) {
  start[p] = 0;
  sent_by_leader[p] = false;
  lease[p] = WORKER_LEASE;
  assert(NO_TASK_TWICE);
  assert(NO_OVERCOMMIT)
}

inline send_renewal(w) {
  renewal[w] = NOT_AFTER;
  leases_end_in[w] = authority + LEADER_WAIT
}

inline renew_lease(p) {
  if
  :: IS_RUNNING(p) -> lease[p] = WORKER_LEASE
  :: else -> skip
  fi
}

/* A start of the current leader that is still in flight when the worker writes a report may be
 * accepted later, so the leader must not conclude from the report that the task does not run. */
#ifdef MUTANT_STALE_REPORT
#define IN_REPORT(p) IS_RUNNING(p)
#else
#define IN_REPORT(p) (IS_RUNNING(p) || (start[p] > 0 && sent_by_leader[p]))
#endif

inline write_report(w) {
  report_in_flight[w] = true;
  report[w] = IN_REPORT(w);
  report[WORKERS + w] = IN_REPORT(WORKERS + w)
}

inline handle_report(w) {
  report_in_flight[w] = false;
#ifndef MUTANT_REPORT_IGNORED
  possibly_running[w] = report[w];
  possibly_running[WORKERS + w] = report[WORKERS + w];
#endif
  report[w] = false;
  report[WORKERS + w] = false;
  report_handled[w] = true
}

inline drop_report(w) {
  report_in_flight[w] = false;
  report[w] = false;
  report[WORKERS + w] = false
}

/* A new leader begins. The leases that its predecessor granted expire within `wait` ticks. */
inline replace_leader(wait) {
  authority = AUTHORITY;
  sent_by_leader[0] = false; sent_by_leader[1] = false;
  sent_by_leader[2] = false; sent_by_leader[3] = false;
#ifdef MUTANT_ASSUME_EMPTY
  possibly_running[0] = false; possibly_running[1] = false;
  possibly_running[2] = false; possibly_running[3] = false;
#else
  possibly_running[0] = true; possibly_running[1] = true;
  possibly_running[2] = true; possibly_running[3] = true;
#endif
#ifdef MUTANT_UNREACHABLE
  leases_end_in[0] = 0; leases_end_in[1] = 0;
#else
  leases_end_in[0] = wait; leases_end_in[1] = wait;
#endif
  drop_report(0);
  drop_report(1)
}

#ifdef MUTANT_UNSETTLED_RELEASE
#define NO_START_IN_FLIGHT true
#else
#define NO_START_IN_FLIGHT (start[0] == 0 && start[1] == 0 && start[2] == 0 && start[3] == 0)
#endif

active proctype leader() {
  do
  :: atomic { authority > 0 && authority < AUTHORITY -> authority = AUTHORITY }
  :: atomic { authority == 0 -> replace_leader(LEADER_WAIT) }
  :: atomic { !faults_ended && authority > 0 && NO_START_IN_FLIGHT -> replace_leader(RELEASE_WAIT) }
  :: atomic { MAY_START(0, 0) && !report_in_flight[0] -> send_start(0, 0) }
  :: atomic { MAY_START(0, 1) && !report_in_flight[1] -> send_start(0, 1) }
  :: atomic { MAY_START(1, 0) && !report_in_flight[0] -> send_start(1, 0) }
  :: atomic { MAY_START(1, 1) && !report_in_flight[1] -> send_start(1, 1) }
  :: atomic { authority > 0 && renewal[0] < NOT_AFTER && !report_handled[0] -> send_renewal(0) }
  :: atomic { authority > 0 && renewal[1] < NOT_AFTER && !report_handled[1] -> send_renewal(1) }
  :: atomic { report_in_flight[0] -> handle_report(0) }
  :: atomic { report_in_flight[1] -> handle_report(1) }
  :: atomic { authority > 0 && leases_end_in[0] == 0 && !WORKER_FREE(0) ->
      possibly_running[0] = false; possibly_running[WORKERS] = false }
  :: atomic { authority > 0 && leases_end_in[1] == 0 && !WORKER_FREE(1) ->
      possibly_running[1] = false; possibly_running[WORKERS + 1] = false }
  od
}

active proctype worker() {
  do
  :: atomic { start[0] > 0 -> accept_start(0) }
  :: atomic { start[1] > 0 -> accept_start(1) }
  :: atomic { start[2] > 0 -> accept_start(2) }
  :: atomic { start[3] > 0 -> accept_start(3) }
  :: atomic { renewal[0] > 0 -> renewal[0] = 0; renew_lease(0); renew_lease(2) }
  :: atomic { renewal[1] > 0 -> renewal[1] = 0; renew_lease(1); renew_lease(3) }
  :: atomic { authority > 0 && !report_in_flight[0] && !report_handled[0] -> write_report(0) }
  :: atomic { authority > 0 && !report_in_flight[1] && !report_handled[1] -> write_report(1) }
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

/* Without faults, all steps of the leader and the workers that are due come before a tick. */
#define COMMANDS_ARRIVED \
  (start[0] == 0 && start[1] == 0 && start[2] == 0 && start[3] == 0 && \
   renewal[0] == 0 && renewal[1] == 0)
#define NOTHING_TO_START \
  (!MAY_START(0, 0) && !MAY_START(0, 1) && !MAY_START(1, 0) && !MAY_START(1, 1))
#define TICK_COMPLETE \
  (authority == AUTHORITY && COMMANDS_ARRIVED && report_handled[0] && report_handled[1] && \
   NOTHING_TO_START && !report_in_flight[0] && !report_in_flight[1])

active proctype clock() {
  do
  :: atomic { !faults_ended || TICK_COMPLETE ->
      if
      :: faults_ended && !ALL_RUNNING -> recovery_ticks++; assert(recovery_ticks < CALM_LIMIT)
      :: else -> recovery_ticks = 0
      fi;
      count_down(authority);
      count_down(lease[0]); count_down(lease[1]); count_down(lease[2]); count_down(lease[3]);
      count_down_command(start[0]); count_down_command(start[1]);
      count_down_command(start[2]); count_down_command(start[3]);
      count_down_command(renewal[0]); count_down_command(renewal[1]);
      sent_by_leader[0] = sent_by_leader[0] && start[0] > 0;
      sent_by_leader[1] = sent_by_leader[1] && start[1] > 0;
      sent_by_leader[2] = sent_by_leader[2] && start[2] > 0;
      sent_by_leader[3] = sent_by_leader[3] && start[3] > 0;
      count_down(leases_end_in[0]); count_down(leases_end_in[1]);
      report_handled[0] = false; report_handled[1] = false }
  :: atomic { !faults_ended -> faults_ended = true }
  od
}
