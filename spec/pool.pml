/* The leader of a pool on a platform with a transactional table and workers that enforce fencing
 * tokens: one task, two leaders, two workers, discrete time.
 *
 * Safety: the task never runs on two workers at once, and no run begins after an end that is stored
 * then or later, unless the lease of its worker expired between the end and its report.
 *
 * A partitioned worker reaches neither leader. A cut leaves leader 0 with worker 0 alone, and the
 * table with leader 1 and worker 1. During an outage no leader reaches the table. In each tick a
 * leader contacts every worker that it can reach, and a leader whose token a worker refuses steps
 * down. LATE: a renewal of the leadership may get no answer; then it is applied at any later time,
 * after newer ones too, or never, as long as no other leader has taken over. The same holds for a
 * second copy of one that was answered. CUT, OUTAGE and LATE choose which of these disturbances a
 * search has. Not covered: the limit on a
 * term without word from the table, which lies far beyond the length of a search, so that a successor
 * that reaches no worker waits for ever here; and silent workers of a leader that has a majority,
 * which takes three workers.
 *
 * SUSPEND adds the record of workers that are silent, and leaves out ends and new jobs. The stored
 * list says for each worker that it is used, or when the runs there have ended; a worker that is in
 * no list is one whose runs have ended. A cut then begins with both workers beside leader 0. Starts
 * arrive at once, leader 0 leads first and leader 1 from then on.
 *
 * Each macro MUTANT_x leaves out one rule; spec/check.py searches for a counterexample to each:
 *   CONFIRMED     a leader reads accepted jobs although another may have taken over
 *   ROW_END       a successor goes by the end of the lease that the row shows, once the row has not
 *                 changed for less than a lease
 *   FENCE         workers accept commands with an outdated fencing token
 *   SENT_LEASE    a renewal without an answer does not extend the leader's wait for the lease
 *   UNSETTLED     a leader starts a recovered task before all workers are settled
 *   LAPSE_MARGIN  the leader waits less than the lease before it gives up a run
 *   UNSTORED_END  the task may start again between the report of its end and its storage
 *   MAJORITY      a leader without word from the table acts with any number of workers
 *   NOTICE_WAIT   a successor does not wait until the former leader has noticed
 *   UNCONFIRMED_LEASE  a lease without word from the table lasts in full from its grant
 *   EARLY_RESUME  a suspended worker that answers gets commands before it is stored as used
 *   STALE_LIST    so does one that answers before an earlier list is durable, which uses it
 *   SUSPENSION_BOUND  the stored time does not count what a leader without word from the table
 *                 may still extend
 *   SUSPENSION_RESTART  a leader waits for a suspended worker as long as for any other's leases
 */

#ifndef LEASE
#define LEASE 1             /* ticks that a run continues after its last renewal */
#endif
#ifndef LEADERSHIP_LEASE
#define LEADERSHIP_LEASE 1  /* ticks that a leadership continues after its last renewal */
#endif
#ifndef IN_TOUCH
#define IN_TOUCH 1          /* age in ticks of an answer that shows a worker to be in touch */
#endif
#ifndef UNCONFIRMED_LEASE
/* Ticks from the older of the two last answers until a lease ends that is granted without word from
 * the table. */
#define UNCONFIRMED_LEASE (IN_TOUCH + 1)
#endif
#ifndef EPOCHS
#define EPOCHS 3            /* leaderships of a search; the first one is leader 0's */
#endif
#ifndef TICKS
#define TICKS 8             /* length of a search */
#endif

/* Ticks after which a leader assumes that a lease has expired. */
#ifdef MUTANT_LAPSE_MARGIN
#define LEASE_WAIT (LEASE - 1)
#else
#define LEASE_WAIT (LEASE + 1)
#endif

/* For how long a renewal that was just answered confirms the lease, which began as it was sent. */
#define LATE_CONFIRMED (late_left > 0 -> late_left - 1 : 0)

/* Values of `assigned` besides the workers 0 and 1. */
#define NONE 2
#define END_PENDING 3       /* the end was reported and is not stored yet */

#define UNLIMITED 15        /* of `former_left`: no worker has been reached */
#define USED 14             /* of `stored_end`: the worker is not suspended */

/* Values of `cut` and `outage`; each comes once at most. */
#define NEVER 0
#define NOW 1
#define OVER 2

#ifdef SUSPEND
#define CUT_OVER 3
#define IS_CUT (cut == 1 || cut == 2)
/* While `cut` is 1, worker 1 is on the side of leader 0 too. */
#define IS_BESIDE(l, w) (l == ((w == 1 && cut == 2) -> 1 : 0))
#else
#define CUT_OVER OVER
#define IS_CUT (cut == NOW)
#define IS_BESIDE(l, w) (l == w)
#endif
#define REACHES(l, w) (!partitioned[w] && (!IS_CUT || IS_BESIDE(l, w)))
#define REACHES_TABLE(l) (outage != NOW && (!IS_CUT || l == 1))

#ifdef MUTANT_CONFIRMED
#define MAY_READ_JOBS(l) (true)
#else
#define MAY_READ_JOBS(l) (confirmed[l] > 0)
#endif
#ifdef MUTANT_ROW_END
#define IS_LEADERSHIP_FREE (leadership_left == 0 && unchanged > 0)
#define SHOW_END(left) leadership_left = left
#else
/* A late write can only change the row again, so a successor counts from its last change. */
#define IS_LEADERSHIP_FREE (unchanged > LEADERSHIP_LEASE)
#define SHOW_END(left) skip
#endif
#ifdef MUTANT_FENCE
#define FENCED(w, e) (false)
#else
#define FENCED(w, e) (token[w] > (e))
#endif
#ifdef MUTANT_SENT_LEASE
#define EXTENDS_LEASE(answer_arrives) (answer_arrives)
#else
#define EXTENDS_LEASE(answer_arrives) (true)
#endif
#ifdef MUTANT_UNSETTLED
#define MAY_START(l) (true)
#else
#define MAY_START(l) (!recovered[l] || (settled0[l] && settled1[l]))
#endif
#ifdef MUTANT_MAJORITY
#define MAY_ACT(l) (true)
#else
#define MAY_ACT(l) (confirmed[l] > 0 || HAS_MAJORITY(l, IN_TOUCH))
#endif
#ifdef MUTANT_NOTICE_WAIT
#define NOTICE_WAIT 0
#else
#define NOTICE_WAIT (UNCONFIRMED_LEASE + 1)
#endif
/* Whether each worker that the leader needs has answered in the last so many ticks. */
#ifdef SUSPEND
#define HAS_MAJORITY(l, age) \
	((!counts0[l] || silent_ticks0[l] <= (age)) && (!counts1[l] || silent_ticks1[l] <= (age)))
#else
#define HAS_MAJORITY(l, age) (silent_ticks0[l] <= (age) && silent_ticks1[l] <= (age))
#endif
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#if defined(MUTANT_MAJORITY) || defined(MUTANT_UNCONFIRMED_LEASE)
#define MAY_GRANT(l, ticks) (true)
#else
#define MAY_GRANT(l, ticks) (confirmed[l] > 0 || HAS_MAJORITY(l, UNCONFIRMED_LEASE - (ticks)))
#endif
#ifdef SUSPEND
#ifdef MUTANT_STALE_LIST
#define IS_LATEST(queued_end) (true)
#else
#define IS_LATEST(queued_end) (queued_end == 0)
#endif
#ifdef MUTANT_EARLY_RESUME
#define MAY_COMMAND(l, w) \
	((w == 0 && (!awaits0[l] || !suspended0[l])) || (w == 1 && (!awaits1[l] || !suspended1[l])))
#else
#define MAY_COMMAND(l, w) ((w == 0 && !awaits0[l]) || (w == 1 && !awaits1[l]))
#endif
#ifdef MUTANT_SUSPENSION_BOUND
#define END_OF_RUNS(l, is_settled, is_bounded, leases_end_in) (is_settled -> 0 : leases_end_in)
#else
#define END_OF_RUNS(l, is_settled, is_bounded, leases_end_in) \
	(is_settled -> 0 : (is_bounded -> leases_end_in : MAX(leases_end_in, former_left[l])))
#endif
/* What the list that leader l stores says of each worker. */
#define LISTED0(l) \
	(suspended0[l] -> END_OF_RUNS(l, settled0[l], bounded0[l], leases_end_in0[l]) : USED)
#define LISTED1(l) \
	(suspended1[l] -> END_OF_RUNS(l, settled1[l], bounded1[l], leases_end_in1[l]) : USED)
#ifdef MUTANT_SUSPENSION_RESTART
#define REMAINING(w) ((stored_end[w] == 0) -> 0 : LEASE_WAIT)
#else
#define REMAINING(w) (stored_end[w])
#endif
#define IS_BOUNDED0(l) bounded0[l]
#define IS_BOUNDED1(l) bounded1[l]
#else
#define MAY_COMMAND(l, w) (true)
#define IS_BOUNDED0(l) false
#define IS_BOUNDED1(l) false
#endif
#ifdef MUTANT_UNSTORED_END
#define MARK_END_PENDING(l) assigned[l] = NONE
#else
#define MARK_END_PENDING(l) assigned[l] = END_PENDING
#endif

byte ticks;
byte epoch;                  /* table row: epoch of the latest leader */
#ifdef MUTANT_ROW_END
byte leadership_left;        /* table row: ticks until the end of the lease that it shows */
#endif
byte unchanged = LEADERSHIP_LEASE + 1;  /* ticks since the row of the lease has changed */
#ifdef LATE
bool is_renewal_late;        /* whether a renewal of the latest leader may still be applied */
byte late_left;              /* ticks until the end of the lease that it would show */
#endif
bool stored;                 /* whether the job is accepted */
bool done;                   /* whether the task's end is stored */
bool done_within_lease;      /* whether that end was reported before the lease expired */

/* State of each worker. */
byte token[2];               /* highest fencing token that the worker has seen */
byte running[2];             /* number of the current run, 0 for none */
byte lease[2];               /* ticks until the lease of the last run expires */
bool ended[2];               /* whether the worker reports the end of a run */
bool expired_since_end[2];   /* whether the lease has expired since that end */
byte last_ended_run[2];      /* the worker refuses starts of runs up to this number */
bool started_since_end[2];   /* whether a run began elsewhere since that end, within the lease */
bool partitioned[2];
byte cut;
byte granted;                /* only used within a step */
byte outage;

/* The start command in flight to each worker. */
byte start_run[2];           /* number of the run, 0 for none */
byte start_epoch[2];         /* fencing token */
byte start_by[2];            /* leader that sent it */
byte start_left[2];          /* ticks until the lease that the command grants expires */

/* State of each leader. */
bool leads[2];
byte own_epoch[2];
byte confirmed[2];           /* ticks in which no other leader can take over */
bool knows_job[2];
bool recovered[2];           /* whether an earlier leader may have started the task */
byte assigned[2];            /* worker that may run the task, NONE or END_PENDING */
byte next_run[2];
bool run_reported[2];        /* whether that worker has reported the run */
byte leases_end_in0[2];      /* ticks until every lease on worker 0 must have expired */
byte leases_end_in1[2];
byte silent_ticks0[2];       /* age of worker 0's last answer, counted up to IN_TOUCH + 1 */
byte silent_ticks1[2];
byte former_left[2];         /* ticks until the leases of the former leader must have expired */
/* Whether worker 0 has reported to this leader, or its leases have expired. */
bool settled0[2];
bool settled1[2];

#ifdef SUSPEND
byte stored_end[2];          /* table row: USED, or ticks until earlier leaders' runs have ended */
bool suspended0[2];          /* whether worker 0 does not answer and is to be stored so */
bool suspended1[2];
bool awaits0[2];             /* whether worker 0 is not used before another list is durable */
bool awaits1[2];
bool bounded0[2];            /* whether worker 0 was suspended in the list that this leader read */
bool bounded1[2];
bool counts0[2];             /* whether a list that may be stored uses worker 0 */
bool counts1[2];
byte queued_end0[2];         /* 1 more than the ticks by a queued list that suspends worker 0 */
byte queued_end1[2];
byte unanswered_list[2];     /* 0, or 4 and a bit for each worker that the list uses: a stored list
                              * of which the leader does not know yet */
#endif

#ifdef SUSPEND
#define END_RUN(w) running[w] = 0
#else
#define END_RUN(w) last_ended_run[w] = running[w]; running[w] = 0
#endif
#define HAS_ALL_REPORTS(l) \
	(!leads[l] || ((!REACHES(l, 0) || silent_ticks0[l] == 0) && \
	(!REACHES(l, 1) || silent_ticks1[l] == 0)))
#define NO_WORKER_REFUSES(l) \
	(!leads[l] || ((!REACHES(l, 0) || token[0] <= own_epoch[l]) && \
	(!REACHES(l, 1) || token[1] <= own_epoch[l])))
#ifdef SUSPEND
#define RUNS 1
#else
#define RUNS 3
#endif
#ifdef SUSPEND
#define MAY_LEAD(l) ((epoch == 0) == (l == 0))
#else
#define MAY_LEAD(l) (epoch > 0 || l == 0)
#endif
/* Run numbers increase across epochs: each epoch has three of its own. */
#define TASK_FREE(l) \
	(leads[l] && knows_job[l] && !done && assigned[l] == NONE && \
	next_run[l] < 3 * own_epoch[l] + RUNS)
#define SETTLED(l, w) ((w == 0 && settled0[l]) || (w == 1 && settled1[l]))

/* Whether the leader before l could command worker w. */
#define IS_FORMER(l, w) ((w == 0 && !IS_BOUNDED0(l)) || (w == 1 && !IS_BOUNDED1(l)))

inline reset_lease_wait(l, w) {
	if :: w == 0 -> leases_end_in0[l] = LEASE_WAIT :: else -> leases_end_in1[l] = LEASE_WAIT fi
}

/* Extend `left`, the rest of a lease, to the longest lease that the leader may grant now. */
inline grant_lease(l, left) {
	granted = LEASE;
	do
	:: granted > 0 && !MAY_GRANT(l, granted) -> granted--
	:: else -> break
	od;
	if :: granted > left -> left = granted :: else fi;
	granted = 0
}

inline mark_answered(l, w) {
	if
	:: w == 0 -> settled0[l] = true; silent_ticks0[l] = 0
	:: else -> settled1[l] = true; silent_ticks1[l] = 0
	fi;
#ifdef SUSPEND
	if :: w == 0 -> suspended0[l] = false :: else -> suspended1[l] = false fi;
#endif
	if
	:: former_left[l] == UNLIMITED && IS_FORMER(l, w) -> former_left[l] = NOTICE_WAIT
	:: else
	fi
}

inline step_down(l) {
	leads[l] = false; knows_job[l] = false; recovered[l] = false; assigned[l] = NONE;
	confirmed[l] = 0; run_reported[l] = false; next_run[l] = 0; own_epoch[l] = 0;
	leases_end_in0[l] = 0; leases_end_in1[l] = 0; settled0[l] = false; settled1[l] = false;
	silent_ticks0[l] = 0; silent_ticks1[l] = 0; former_left[l] = 0
#ifdef SUSPEND
	; suspended0[l] = false; suspended1[l] = false; awaits0[l] = false; awaits1[l] = false;
	bounded0[l] = false; bounded1[l] = false; counts0[l] = false; counts1[l] = false;
	unanswered_list[l] = 0; queued_end0[l] = 0; queued_end1[l] = 0
#endif
}

inline advance_worker(w) {
	if :: lease[w] > 0 -> lease[w]-- :: else fi;
	if :: lease[w] == 0 && ended[w] -> expired_since_end[w] = true :: else fi;
	if
	:: lease[w] == 0 && running[w] > 0 -> END_RUN(w)
	:: else
	fi;
	if
	:: start_left[w] > 0 -> start_left[w]--;
		if :: start_left[w] == 0 -> start_run[w] = 0; start_epoch[w] = 0; start_by[w] = 0 :: else fi
	:: else
	fi
}

inline advance_leader(l) {
	if :: leases_end_in0[l] > 0 && leases_end_in0[l] != UNLIMITED -> leases_end_in0[l]-- :: else fi;
	if :: leases_end_in1[l] > 0 && leases_end_in1[l] != UNLIMITED -> leases_end_in1[l]-- :: else fi;
	if :: leads[l] && silent_ticks0[l] <= IN_TOUCH -> silent_ticks0[l]++ :: else fi;
	if :: leads[l] && silent_ticks1[l] <= IN_TOUCH -> silent_ticks1[l]++ :: else fi;
	if :: former_left[l] > 0 && former_left[l] != UNLIMITED -> former_left[l]-- :: else fi;
	if
	:: leads[l] && leases_end_in0[l] == 0 && confirmed[l] > 0 ->
		if :: former_left[l] == 0 || IS_BOUNDED0(l) -> settled0[l] = true :: else fi;
		if :: settled0[l] && assigned[l] == 0 -> assigned[l] = NONE; run_reported[l] = false :: else fi
	:: else
	fi;
	if
	:: leads[l] && leases_end_in1[l] == 0 && confirmed[l] > 0 ->
		if :: former_left[l] == 0 || IS_BOUNDED1(l) -> settled1[l] = true :: else fi;
		if :: settled1[l] && assigned[l] == 1 -> assigned[l] = NONE; run_reported[l] = false :: else fi
	:: else
	fi;
	if :: confirmed[l] > 0 -> confirmed[l]-- :: else fi
}

#ifdef SUSPEND
inline advance_queued_ends(l) {
	if :: queued_end0[l] > 1 && queued_end0[l] <= UNLIMITED -> queued_end0[l]-- :: else fi;
	if :: queued_end1[l] > 1 && queued_end1[l] <= UNLIMITED -> queued_end1[l]-- :: else fi
}
#endif

inline tick() {
	ticks < TICKS && HAS_ALL_REPORTS(0) && HAS_ALL_REPORTS(1) &&
	NO_WORKER_REFUSES(0) && NO_WORKER_REFUSES(1) -> ticks++;
	if :: unchanged <= LEADERSHIP_LEASE -> unchanged++ :: else fi;
#ifdef LATE
	if :: late_left > 0 -> late_left-- :: else fi;
#endif
#ifdef MUTANT_ROW_END
	if :: leadership_left > 0 -> leadership_left-- :: else fi;
#endif
#ifdef SUSPEND
	if :: stored_end[0] > 0 && stored_end[0] < USED -> stored_end[0]-- :: else fi;
	if :: stored_end[1] > 0 && stored_end[1] < USED -> stored_end[1]-- :: else fi;
	advance_queued_ends(0); advance_queued_ends(1);
#endif
	advance_worker(0); advance_worker(1); advance_leader(0); advance_leader(1)
}

inline take_over(l) {
	!leads[l] && IS_LEADERSHIP_FREE && epoch < EPOCHS && REACHES_TABLE(l) && MAY_LEAD(l) ->
	epoch++; unchanged = 0; SHOW_END(LEADERSHIP_LEASE + 1); leads[l] = true; own_epoch[l] = epoch;
#ifdef LATE
	is_renewal_late = false; late_left = 0;
#endif
	confirmed[l] = LEADERSHIP_LEASE; knows_job[l] = stored; recovered[l] = stored;
	assigned[l] = NONE;
	next_run[l] = 3 * epoch; run_reported[l] = false;
	leases_end_in0[l] = LEASE_WAIT; leases_end_in1[l] = LEASE_WAIT;
	settled0[l] = false; settled1[l] = false;
	silent_ticks0[l] = IN_TOUCH + 1; silent_ticks1[l] = IN_TOUCH + 1;
	former_left[l] = (epoch == 1 -> 0 : UNLIMITED)
#ifdef SUSPEND
	; bounded0[l] = (stored_end[0] != USED); bounded1[l] = (stored_end[1] != USED);
	suspended0[l] = bounded0[l]; suspended1[l] = bounded1[l];
	awaits0[l] = bounded0[l]; awaits1[l] = bounded1[l];
	counts0[l] = !bounded0[l]; counts1[l] = !bounded1[l];
	if
	:: bounded0[l] -> leases_end_in0[l] = REMAINING(0); settled0[l] = (stored_end[0] == 0)
	:: else
	fi;
	if
	:: bounded1[l] -> leases_end_in1[l] = REMAINING(1); settled1[l] = (stored_end[1] == 0)
	:: else
	fi;
	if :: bounded0[l] && bounded1[l] -> former_left[l] = 0 :: else fi
#endif
}

#ifdef SUSPEND
/* A worker that has not answered is suspended, or one that is silent, without runs and past its
 * lease. */
inline suspend(l, w) {
	leads[l] && confirmed[l] > 0 &&
	((w == 0 && !awaits0[l] &&
	(!settled0[l] || (silent_ticks0[l] > IN_TOUCH && leases_end_in0[l] == 0))) ||
	(w == 1 && !awaits1[l] &&
	(!settled1[l] || (silent_ticks1[l] > IN_TOUCH && leases_end_in1[l] == 0)))) &&
	assigned[l] != w ->
	if
	:: w == 0 -> suspended0[l] = true; awaits0[l] = true; queued_end0[l] = 1 + LISTED0(l)
	:: else -> suspended1[l] = true; awaits1[l] = true; queued_end1[l] = 1 + LISTED1(l)
	fi
}

#define MAY_STORE_LIST(l) \
	(leads[l] && own_epoch[l] == epoch && REACHES_TABLE(l) && unanswered_list[l] == 0 && \
	(former_left[l] != UNLIMITED || \
	((settled0[l] || suspended0[l]) && (settled1[l] || suspended1[l]))))

/* The leader's list is stored. The leader learns of it later. */
inline store_list(l) {
	MAY_STORE_LIST(l) &&
	(stored_end[0] != LISTED0(l) || stored_end[1] != LISTED1(l) ||
	queued_end0[l] > 0 || queued_end1[l] > 0) ->
	stored_end[0] = LISTED0(l); stored_end[1] = LISTED1(l);
	if :: !suspended0[l] -> counts0[l] = true :: else fi;
	if :: !suspended1[l] -> counts1[l] = true :: else fi;
	unanswered_list[l] = 4 + (suspended0[l] -> 0 : 1) + (suspended1[l] -> 0 : 2);
	queued_end0[l] = 0; queued_end1[l] = 0
}

/* A list is stored that suspends workers which have answered since. */
inline store_queued_list(l) {
	MAY_STORE_LIST(l) &&
	((queued_end0[l] > 0 && !suspended0[l]) || (queued_end1[l] > 0 && !suspended1[l])) ->
	unanswered_list[l] = 4;
	if
	:: queued_end0[l] > 0 -> stored_end[0] = queued_end0[l] - 1
	:: else -> stored_end[0] = LISTED0(l);
		if :: !suspended0[l] -> unanswered_list[l] = unanswered_list[l] + 1; counts0[l] = true :: else fi
	fi;
	if
	:: queued_end1[l] > 0 -> stored_end[1] = queued_end1[l] - 1
	:: else -> stored_end[1] = LISTED1(l);
		if :: !suspended1[l] -> unanswered_list[l] = unanswered_list[l] + 2; counts1[l] = true :: else fi
	fi;
	queued_end0[l] = 0; queued_end1[l] = 0
}

inline learn_of_stored_list(l) {
	unanswered_list[l] != 0 && REACHES_TABLE(l) && own_epoch[l] == epoch ->
	counts0[l] = (unanswered_list[l] & 1); counts1[l] = ((unanswered_list[l] & 2) != 0);
	if :: counts0[l] && !suspended0[l] && IS_LATEST(queued_end0[l]) -> awaits0[l] = false :: else fi;
	if :: counts1[l] && !suspended1[l] && IS_LATEST(queued_end1[l]) -> awaits1[l] = false :: else fi;
	unanswered_list[l] = 0
}
#endif

inline renew_leadership(l) {
	leads[l] && REACHES_TABLE(l) ->
	if
	:: own_epoch[l] == epoch ->
		unchanged = 0; SHOW_END(LEADERSHIP_LEASE + 1); confirmed[l] = LEADERSHIP_LEASE
	:: else -> step_down(l)
	fi
}

#ifdef LATE
/* A renewal gets no answer now, or leaves a copy behind. */
inline send_late_renewal(l) {
	leads[l] && REACHES_TABLE(l) && own_epoch[l] == epoch && !is_renewal_late ->
	is_renewal_late = true; late_left = LEADERSHIP_LEASE + 1
}

/* The late renewal is applied. Its answer may still arrive at its sender. */
inline apply_late_renewal(answer_arrives) {
	is_renewal_late && outage != NOW ->
	unchanged = 0; SHOW_END(late_left);
	if
	:: answer_arrives && leads[0] && own_epoch[0] == epoch && REACHES_TABLE(0) ->
		confirmed[0] = MAX(confirmed[0], LATE_CONFIRMED)
	:: answer_arrives && leads[1] && own_epoch[1] == epoch && REACHES_TABLE(1) ->
		confirmed[1] = MAX(confirmed[1], LATE_CONFIRMED)
	:: else
	fi;
	is_renewal_late = false; late_left = 0
}
#endif

inline read_job(l) {
	leads[l] && stored && !knows_job[l] && MAY_READ_JOBS(l) && REACHES_TABLE(l) ->
	knows_job[l] = true; recovered[l] = false
}

/* A reported end prevents a new start of the task until it is stored. */
inline store_end(l, w) {
	if
	:: own_epoch[l] == epoch && REACHES_TABLE(l) ->
		assert(!started_since_end[w] || expired_since_end[w]);
		done = true; done_within_lease = done_within_lease || !expired_since_end[w];
		ended[w] = false; assigned[l] = NONE
	:: own_epoch[l] != epoch && REACHES_TABLE(l) -> step_down(l)
	:: MARK_END_PENDING(l)
	fi
}

/* A renewal reaches the worker. `answer_arrives` is whether the worker's answer, which carries its
 * report, reaches the leader. */
inline renew_lease(l, w, answer_arrives) {
	leads[l] && REACHES(l, w) ->
	if
	:: FENCED(w, own_epoch[l]) -> step_down(l)
	:: else -> token[w] = own_epoch[l];
		if
		:: MAY_ACT(l) && MAY_COMMAND(l, w) ->
			if :: running[w] > 0 || ended[w] -> grant_lease(l, lease[w]) :: else fi;
			if :: EXTENDS_LEASE(answer_arrives) -> reset_lease_wait(l, w) :: else fi
		:: else
		fi;
		if
		:: answer_arrives -> mark_answered(l, w); handle_report(l, w)
		:: else
		fi
	fi
}

inline handle_report(l, w) {
	if
	:: ended[w] ->
		run_reported[l] = false;
		store_end(l, w)
	:: running[w] > 0 && !ended[w] ->
		if
		:: assigned[l] == NONE && !done ->
			assigned[l] = w; run_reported[l] = true; reset_lease_wait(l, w)
		:: assigned[l] == w -> run_reported[l] = true
		:: else -> END_RUN(w)
		fi
	:: running[w] == 0 && !ended[w] ->
		if
		:: assigned[l] == w && run_reported[l] && start_run[w] == 0 ->
			assigned[l] = NONE; run_reported[l] = false
		:: else
		fi
	fi
}

#ifdef SUSPEND
/* The command arrives at once. Whether its answer arrives makes no difference to the leader. */
inline send_start(l, w) {
	TASK_FREE(l) && SETTLED(l, w) && MAY_START(l) && MAY_ACT(l) && MAY_GRANT(l, 1) &&
	MAY_COMMAND(l, w) && REACHES(l, w) && !FENCED(w, own_epoch[l]) && running[w] == 0 ->
	assigned[l] = w; run_reported[l] = false; token[w] = own_epoch[l];
	running[w] = next_run[l];
	grant_lease(l, lease[w]);
	next_run[l]++;
	reset_lease_wait(l, w)
}
#else
inline send_start(l, w) {
	TASK_FREE(l) && SETTLED(l, w) && MAY_START(l) && MAY_ACT(l) && MAY_GRANT(l, 1) &&
	MAY_COMMAND(l, w) &&
	start_run[w] == 0 && !ended[w] ->
	assigned[l] = w; run_reported[l] = false;
	start_run[w] = next_run[l]; start_epoch[w] = own_epoch[l]; start_by[w] = l;
	grant_lease(l, start_left[w]);
	next_run[l]++;
	reset_lease_wait(l, w)
}
#endif

inline deliver_start(w) {
	start_run[w] > 0 && !partitioned[w] && (!IS_CUT || IS_BESIDE(start_by[w], w)) ->
	if
	:: !FENCED(w, start_epoch[w]) && start_run[w] > last_ended_run[w] && running[w] == 0 ->
		token[w] = start_epoch[w];
		assert(!done_within_lease);
		running[w] = start_run[w]; lease[w] = start_left[w];
		if
		:: ended[1 - w] && !expired_since_end[1 - w] -> started_since_end[1 - w] = true
		:: else
		fi
	:: else
	fi;
	start_run[w] = 0; start_epoch[w] = 0; start_by[w] = 0; start_left[w] = 0
}

inline end_run(w) {
	running[w] > 0 && !ended[w] ->
	ended[w] = true; expired_since_end[w] = false; started_since_end[w] = false; END_RUN(w)
}

active proctype system() {
	assigned[0] = NONE; assigned[1] = NONE;
#ifdef SUSPEND
	stored_end[0] = USED; stored_end[1] = USED; stored = true;
#endif
	do
	:: atomic { assert(!(running[0] > 0 && running[1] > 0)) ->
		if
		:: tick()
		:: take_over(0) :: take_over(1)
		:: renew_leadership(0) :: renew_leadership(1)
#ifdef LATE
		:: send_late_renewal(0) :: send_late_renewal(1)
		:: apply_late_renewal(true) :: apply_late_renewal(false)
#endif
		:: !stored && outage != NOW -> stored = true
		:: read_job(0) :: read_job(1)
		:: renew_lease(0, 0, true) :: renew_lease(0, 1, true)
		:: renew_lease(1, 0, true) :: renew_lease(1, 1, true)
		:: send_start(0, 0) :: send_start(0, 1) :: send_start(1, 0) :: send_start(1, 1)
#ifdef SUSPEND
		:: suspend(0, 0) :: suspend(0, 1) :: suspend(1, 0) :: suspend(1, 1)
		:: store_list(0) :: store_list(1)
		:: store_queued_list(0) :: store_queued_list(1)
		:: learn_of_stored_list(0) :: learn_of_stored_list(1)
#else
		:: renew_lease(0, 0, false) :: renew_lease(0, 1, false)
		:: renew_lease(1, 0, false) :: renew_lease(1, 1, false)
		:: deliver_start(0) :: deliver_start(1)
		:: end_run(0) :: end_run(1)
#endif
#ifdef CUT
		:: cut != CUT_OVER -> cut++
#endif
#if !defined(CUT) || defined(PARTITION)
		:: !partitioned[0] -> partitioned[0] = true
		:: partitioned[0] -> partitioned[0] = false
#endif
#ifdef OUTAGE
		:: outage != OVER -> outage++
#endif
#ifndef SUSPEND
		:: leads[0] -> step_down(0)
#endif
		:: leads[1] -> step_down(1)
		:: ticks >= TICKS -> break
		fi }
	od
}
