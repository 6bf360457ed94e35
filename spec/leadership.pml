/* Leader election for a zone: rules 1 to 5 of docs/design/leadership.md.
 *
 * Safety: at most one host has authority at any time.
 *
 * Hosts: 0 is the initial holder of the zone, 1 is in its roster, 2 is a newcomer. Host 1 may
 * restart once; its new process has no memory of the old one and is member 3. A host that crashes,
 * pauses, or cannot reach the table or its peers is modelled as one that takes no step for a while,
 * or never again: nothing forces a step. A write stays in flight until it applies, however late,
 * even after its writer has restarted.
 *
 * Time: each tick of `clock` advances every timer by one. Over any wait of this model two clocks
 * differ by up to DRIFT ticks. Only the worst case is searched: a holder whose clock is slow by
 * DRIFT keeps authority longest, and a waiter whose clock is fast by DRIFT ends its wait soonest.
 * Other rates add no behaviour: a holder whose authority ends sooner only does less, and a waiter
 * may always wait longer, because nothing forces a step.
 *
 * Each macro MUTANT_x leaves out one rule; spec/check.py searches for a counterexample to each:
 *   MARGIN         durations include no margin for clock drift
 *   SENT_TIME      the lease counts from when the write is read back, not from when it was sent
 *   UNCLEAR        a renewal extends the lease when it is sent, before its outcome is known
 *   PROMISE        the holder extends its authority without the promise of member 1
 *   KEEPS_PROMISE  a host may take over before a promise that it gave has expired
 *   REFUSAL        a host may promise while its own take-over is pending
 *   UNION          the holder ignores the roster of its pending write when it asks for promises
 *   BOUND          promises extend authority beyond the newcomer horizon
 *   NEWCOMER       a newcomer waits only as long as a member of the roster
 *   RESTART        a restarted member does not wait until its predecessor's promises have expired
 *   RELEASE        the holder keeps its authority while it releases the zone */

#ifndef VERSIONS
#define VERSIONS 2    /* number of changes of the row in one search */
#endif
#define HOSTS 3
#ifndef LEASE
#define LEASE 2       /* ticks of authority that a table write gives */
#endif
#ifndef PROMISE
#define PROMISE 2     /* ticks for which a promise binds the host that gives it */
#endif
#ifndef HORIZON
#define HORIZON 3     /* ticks that a newcomer waits before it takes over */
#endif
#define DRIFT 1

#ifdef MUTANT_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif

/* HOLDER_x: by the slow clock of a holder, less the margin. WAITER_x and GIVEN_PROMISE: by the fast
 * clock of a host that waits for the holder, plus the margin. */
#define HOLDER_LEASE (LEASE - MARGIN + DRIFT)
#define WAITER_LEASE (LEASE + MARGIN - DRIFT)
#define HOLDER_PROMISE (PROMISE - MARGIN + DRIFT)
#define GIVEN_PROMISE (PROMISE + MARGIN - DRIFT)
#define HOLDER_HORIZON (HORIZON - MARGIN + DRIFT)
#define WAITER_HORIZON (HORIZON + MARGIN - DRIFT)

/* Kinds of writes. */
#define NONE 0
#define RENEW 1
#define TAKE_OVER 2
#define RELEASE 3

#define UNREAD 15     /* value of `seen` in a host that has not read the row */

#define BIT(member) (1 << (member))

/* The zone's row in the table, with all earlier versions. `seen` of a host is one of them. */
byte version;
byte holder[VERSIONS + 1];
byte roster[VERSIONS + 1];
byte epoch[VERSIONS + 1];
bool released[VERSIONS + 1];

/* State of each host. */
byte member[HOSTS];              /* number of the host's current process */
byte seen[HOSTS];                /* row version last read */
byte unchanged_ticks[HOSTS];     /* ticks since that version was first read */
byte pending[HOSTS];             /* kind of the write that was sent and not read back yet */
byte pending_roster[HOSTS];
byte pending_age[HOSTS];         /* ticks since it was sent */
bool in_flight[HOSTS];           /* whether it may still apply */
bool leads[HOSTS];               /* whether the host acts as the holder */
byte lease_age[HOSTS];           /* ticks since the last write known to have applied was sent */
byte promise_left[HOSTS];        /* ticks of authority left from promises */
byte round_left[HOSTS];          /* ticks of authority that the current promise round can give */
byte unanswered[HOSTS];          /* members yet to promise in that round, as a bit set */
byte given_promise_left[HOSTS];  /* ticks left of the promise that the host gave */
bool stopping[HOSTS];            /* whether a planned stop has begun */

/* A write in flight whose writer has restarted or has sent another write since. */
bool orphan;
byte previously_seen;            /* temporary variable of read_row */
byte orphan_version;
byte orphan_member;
byte orphan_roster;
byte orphan_kind;

bool restarted;
byte predecessor_promise_left;   /* ticks until every promise of member 1 has expired */

#define HAS_AUTHORITY(h) (leads[h] && (lease_age[h] < HOLDER_LEASE || promise_left[h] > 0))

#define AUTHORITY_COUNT (HAS_AUTHORITY(0) + HAS_AUTHORITY(1) + HAS_AUTHORITY(2))

inline clear_round(h) {
  round_left[h] = 0;
  unanswered[h] = 0
}

inline drop_lead(h) {
  leads[h] = false;
  lease_age[h] = 0;
  promise_left[h] = 0;
  clear_round(h)
}

inline clear_pending(h) {
  pending[h] = NONE;
  pending_roster[h] = 0;
  pending_age[h] = 0;
  in_flight[h] = false
}

inline change_row(new_holder, new_roster, kind) {
  version++;
  holder[version] = new_holder;
  roster[version] = new_roster;
  released[version] = (kind == RELEASE);
  epoch[version] = epoch[version - 1] + (kind == TAKE_OVER -> 1 : 0);
  /* A write that checks an earlier version can never apply. Dropping it merges states that differ
   * only in such writes. */
  in_flight[0] = in_flight[0] && seen[0] == version;
  in_flight[1] = in_flight[1] && seen[1] == version;
  in_flight[2] = in_flight[2] && seen[2] == version;
  unchanged_ticks[0] = 0; unchanged_ticks[1] = 0; unchanged_ticks[2] = 0
}

/* Clears a row version that no host can refer to any more, which merges equivalent states. */
inline clear_unread_version(v) {
  if
  :: v < version && seen[0] != v && seen[1] != v && seen[2] != v ->
    holder[v] = 0; roster[v] = 0; released[v] = false; epoch[v] = 0
  :: else -> skip
  fi
}

/* The table applies a write only if the row still has the version that the write checks. */
inline apply_write(h) {
  if
  :: version == seen[h] -> change_row(member[h], pending_roster[h], pending[h])
  :: else -> skip
  fi;
  in_flight[h] = false
}

inline apply_orphan() {
  if
  :: version == orphan_version -> change_row(orphan_member, orphan_roster, orphan_kind)
  :: else -> skip
  fi;
  orphan = false; orphan_version = 0; orphan_member = 0; orphan_roster = 0; orphan_kind = NONE
}

/* Keeps the write in flight of a host that loses its record of it. */
inline orphan_write(h) {
  if
  :: in_flight[h] && version == seen[h] ->
    orphan = true; orphan_version = seen[h]; orphan_member = member[h];
    orphan_roster = pending_roster[h]; orphan_kind = pending[h]
  :: else -> skip
  fi
}

/* A host reads the row, which resolves its pending write: the write has applied or never will. */
inline read_row(h) {
  if
  :: pending[h] != NONE && version == seen[h] + 1 && holder[version] == member[h] &&
     released[version] == (pending[h] == RELEASE) && roster[version] == pending_roster[h] ->
    if
    :: pending[h] == RELEASE || stopping[h] -> skip
    :: else ->
      leads[h] = true;
#ifdef MUTANT_SENT_TIME
      lease_age[h] = 0;
#else
      lease_age[h] = pending_age[h];
#endif
      clear_round(h)
    fi
  :: else ->
    if
    :: leads[h] && holder[version] != member[h] -> drop_lead(h)
    :: else -> skip
    fi
  fi;
  clear_pending(h);
  previously_seen = seen[h];
  seen[h] = version;
  unchanged_ticks[h] = 0;
  if
  :: previously_seen != UNREAD -> clear_unread_version(previously_seen)
  :: else -> skip
  fi;
  previously_seen = 0;
  assert(AUTHORITY_COUNT <= 1)
}

inline choose_roster(h) {
  if
  :: pending_roster[h] = BIT(member[h])
  :: pending_roster[h] = roster[seen[h]] | BIT(member[h])
  :: pending_roster[h] = BIT(0) | BIT(member[1]) | BIT(2)
  fi
}

inline send_write(h, kind) {
  pending[h] = kind;
  choose_roster(h);
  pending_age[h] = 0;
  unchanged_ticks[h] = 0;
  in_flight[h] = true
#ifdef MUTANT_UNCLEAR
  ; if
  :: kind == RENEW -> lease_age[h] = 0
  :: else -> skip
  fi
#endif
}

/* A write that checks an earlier row version has no effect, so the search omits it. */
#define MAY_WRITE(h) (pending[h] == NONE && seen[h] < VERSIONS && seen[h] == version)

#ifdef MUTANT_KEEPS_PROMISE
#define GIVEN_PROMISE_EXPIRED(h) true
#else
#define GIVEN_PROMISE_EXPIRED(h) (given_promise_left[h] == 0)
#endif

#define IN_ROSTER(h) ((roster[seen[h]] & BIT(member[h])) != 0)
#define HAS_PREDECESSOR_IN_ROSTER(h) (member[h] == 3 && (roster[seen[h]] & BIT(1)) != 0)

#ifdef MUTANT_RESTART
#define PREDECESSOR_PROMISES_EXPIRED true
#else
#define PREDECESSOR_PROMISES_EXPIRED (predecessor_promise_left == 0)
#endif

#ifdef MUTANT_NEWCOMER
#define NEWCOMER_WAIT WAITER_LEASE
#else
#define NEWCOMER_WAIT WAITER_HORIZON
#endif

#define MAY_TAKE_OVER(h) \
  (released[seen[h]] || (GIVEN_PROMISE_EXPIRED(h) && \
   ((unchanged_ticks[h] >= WAITER_LEASE && \
     (IN_ROSTER(h) || (HAS_PREDECESSOR_IN_ROSTER(h) && PREDECESSOR_PROMISES_EXPIRED))) || \
    unchanged_ticks[h] >= NEWCOMER_WAIT)))

#ifdef MUTANT_UNION
#define PROMISERS(h) (roster[seen[h]] & ~BIT(member[h]))
#else
#define PROMISERS(h) ((roster[seen[h]] | pending_roster[h]) & ~BIT(member[h]))
#endif

inline extend_by_promises(h) {
  if
  :: unanswered[h] == 0 ->
    promise_left[h] = round_left[h];
#ifndef MUTANT_BOUND
    if
    :: lease_age[h] >= HOLDER_HORIZON -> promise_left[h] = 0
    :: lease_age[h] < HOLDER_HORIZON && promise_left[h] > HOLDER_HORIZON - lease_age[h] ->
      promise_left[h] = HOLDER_HORIZON - lease_age[h]
    :: else -> skip
    fi;
#endif
    clear_round(h);
    assert(AUTHORITY_COUNT <= 1)
  :: else -> skip
  fi
}

inline ask_promises(h) {
  round_left[h] = HOLDER_PROMISE;
  unanswered[h] = PROMISERS(h);
#ifdef MUTANT_PROMISE
  unanswered[h] = unanswered[h] & ~BIT(1);
#endif
  extend_by_promises(h)
}

#ifdef MUTANT_REFUSAL
#define MAY_PROMISE(h, to) \
  (!(leads[h] && epoch[seen[h]] >= epoch[seen[to]]) && seen[h] != UNREAD && \
   epoch[seen[h]] <= epoch[seen[to]])
#else
#define MAY_PROMISE(h, to) \
  (pending[h] != TAKE_OVER && seen[h] != UNREAD && \
   !(leads[h] && epoch[seen[h]] >= epoch[seen[to]]) && epoch[seen[h]] <= epoch[seen[to]])
#endif

inline give_promise(h, to) {
  given_promise_left[h] = GIVEN_PROMISE;
  if
  :: leads[h] -> drop_lead(h)
  :: else -> skip
  fi;
  unanswered[to] = unanswered[to] & ~BIT(member[h]);
  extend_by_promises(to)
}

inline restart(h) {
  orphan_write(h);
  drop_lead(h);
  clear_pending(h);
  given_promise_left[h] = 0;
  stopping[h] = false;
  seen[h] = UNREAD;
  unchanged_ticks[h] = 0;
  member[h] = 3;
  restarted = true;
  predecessor_promise_left = GIVEN_PROMISE
}

proctype host(byte me) {
  do
  :: atomic { seen[me] != version -> read_row(me) }
  :: atomic { leads[me] && MAY_WRITE(me) -> send_write(me, RENEW) }
  :: atomic { !leads[me] && !stopping[me] && MAY_WRITE(me) && MAY_TAKE_OVER(me) ->
      send_write(me, TAKE_OVER) }
  :: atomic { leads[me] && !stopping[me] && !orphan && seen[me] < VERSIONS &&
      seen[me] == version ->
      orphan_write(me);
      stopping[me] = true;
#ifndef MUTANT_RELEASE
      drop_lead(me);
#endif
      send_write(me, RELEASE) }
  :: atomic { stopping[me] && MAY_WRITE(me) && holder[seen[me]] == member[me] &&
      !released[seen[me]] -> send_write(me, RELEASE) }
  :: atomic { in_flight[me] -> apply_write(me) }
  :: atomic { leads[me] && round_left[me] < HOLDER_PROMISE && promise_left[me] < HOLDER_PROMISE ->
      ask_promises(me) }
  :: atomic { (unanswered[0] & BIT(member[me])) != 0 && round_left[0] > 0 && MAY_PROMISE(me, 0) ->
      give_promise(me, 0) }
  :: atomic { (unanswered[1] & BIT(member[me])) != 0 && round_left[1] > 0 && MAY_PROMISE(me, 1) ->
      give_promise(me, 1) }
  :: atomic { (unanswered[2] & BIT(member[me])) != 0 && round_left[2] > 0 && MAY_PROMISE(me, 2) ->
      give_promise(me, 2) }
  :: atomic { me == 1 && !restarted && !orphan -> restart(me) }
  /* The table applies the orphaned write; the process of host 0 takes this step for it. */
  :: atomic { me == 0 && orphan -> apply_orphan() }
  od
}

inline count_up(value, limit) {
  value = (value < limit -> value + 1 : limit)
}

inline count_down(value) {
  value = (value > 0 -> value - 1 : 0)
}

inline advance_timers(h) {
  if
  :: seen[h] == version && !leads[h] && pending[h] == NONE ->
    count_up(unchanged_ticks[h], WAITER_HORIZON)
  :: else -> skip
  fi;
  if
  :: pending[h] != NONE && pending[h] != RELEASE &&
     (in_flight[h] || (version == seen[h] + 1 && holder[version] == member[h])) ->
    count_up(pending_age[h], HOLDER_HORIZON)
  :: else -> pending_age[h] = 0
  fi;
  if
  :: leads[h] -> count_up(lease_age[h], HOLDER_HORIZON)
  :: else -> skip
  fi;
  count_down(promise_left[h]);
  count_down(round_left[h]);
  count_down(given_promise_left[h]);
  if
  :: round_left[h] == 0 -> unanswered[h] = 0
  :: else -> skip
  fi;
  if
  :: h == 1 -> count_down(predecessor_promise_left)
  :: else -> skip
  fi
}

proctype clock() {
  do
  :: atomic { advance_timers(0); advance_timers(1); advance_timers(2) }
  od
}

init {
  atomic {
    member[0] = 0; member[1] = 1; member[2] = 2;
    roster[0] = BIT(0) | BIT(1);
    epoch[0] = 1;
    leads[0] = true;
    run host(0); run host(1); run host(2); run clock()
  }
}
