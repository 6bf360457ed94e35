/* Who decides for a zone: rules 1 to 5 of docs/design/leadership.md.
 *
 * Safety: at most one host has authority at any time.
 *
 * Hosts: 0 holds the zone at first, 1 is in its roster, 2 is a newcomer. Host 1 may restart once
 * and lose its memory; it is then member 3. A host that dies, pauses or is cut off from the table
 * or from its peers is one that takes no step for a while, or never again: nothing forces a step.
 * A write stays in flight until it applies, however late, also after its writer has restarted.
 *
 * Time: one tick of `clock` moves every timer by one. Clock rates differ by up to DRIFT ticks in
 * any wait of this model. Only the worst case needs a search: a holder's clock that is slow by DRIFT
 * keeps authority longest, a waiter's clock that is fast by DRIFT ends a wait soonest. A holder
 * whose authority ends sooner only does less, and a waiter may always wait longer, since nothing
 * forces a step.
 *
 * A macro MUTANT_x leaves out one rule; see make/model.mk. */

#ifndef VERSIONS
#define VERSIONS 2    /* row changes that are searched */
#endif
#define HOSTS 3
#ifndef LEASE
#define LEASE 2
#endif
#ifndef PROMISE
#define PROMISE 2
#endif
#ifndef HORIZON
#define HORIZON 3
#endif
#define DRIFT 1

#ifdef MUTANT_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif

#define LEASE_HELD (LEASE - MARGIN + DRIFT)
#define LEASE_WATCHED (LEASE + MARGIN - DRIFT)
#define PROMISE_HELD (PROMISE - MARGIN + DRIFT)
#define PROMISE_KEPT (PROMISE + MARGIN - DRIFT)
#define HORIZON_HELD (HORIZON - MARGIN + DRIFT)
#define HORIZON_WATCHED (HORIZON + MARGIN - DRIFT)

#define NONE 0
#define RENEW 1
#define TAKE_OVER 2
#define RELEASE 3
#define UNREAD 15

#define BIT(member) (1 << (member))

/* The row, and all its earlier versions: a host's view is the number of one of them. */
byte version;
byte holder[VERSIONS + 1];
byte roster[VERSIONS + 1];
byte epoch[VERSIONS + 1];
bool released[VERSIONS + 1];

/* What each host knows. */
byte member[HOSTS];
byte seen[HOSTS];          /* version last read */
byte watched[HOSTS];       /* ticks since that version was first read */
byte pending[HOSTS];       /* kind of the write that was sent and not read back */
byte pending_roster[HOSTS];
byte pending_age[HOSTS];   /* ticks since it was sent */
bool in_flight[HOSTS];
bool leads[HOSTS];
byte lease_age[HOSTS];     /* ticks since the last write known to have applied was sent */
byte by_promise[HOSTS];    /* ticks of authority left by promises */
byte round_left[HOSTS];    /* ticks of authority that the present round can give */
byte missing[HOSTS];       /* members whose promise it lacks */
byte promised[HOSTS];      /* ticks left of the host's own promise */
bool stopping[HOSTS];

/* A write whose writer has restarted or replaced it. */
bool orphan;
byte earlier;
byte orphan_version;
byte orphan_member;
byte orphan_roster;
byte orphan_kind;

bool restarted;
byte restart_wait;

#define HAS_AUTHORITY(h) (leads[h] && (lease_age[h] < LEASE_HELD || by_promise[h] > 0))

#define DECIDERS (HAS_AUTHORITY(0) + HAS_AUTHORITY(1) + HAS_AUTHORITY(2))

inline forget_round(h) {
  round_left[h] = 0;
  missing[h] = 0
}

inline lose_lead(h) {
  leads[h] = false;
  lease_age[h] = 0;
  by_promise[h] = 0;
  forget_round(h)
}

inline forget_pending(h) {
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
  /* Writes that check an earlier version can never apply, so they need not be kept apart. */
  in_flight[0] = in_flight[0] && seen[0] == version;
  in_flight[1] = in_flight[1] && seen[1] == version;
  in_flight[2] = in_flight[2] && seen[2] == version;
  watched[0] = 0; watched[1] = 0; watched[2] = 0
}

/* Rows that nobody looks at any more need not be kept apart either. */
inline forget_row(v) {
  if
  :: v < version && seen[0] != v && seen[1] != v && seen[2] != v ->
    holder[v] = 0; roster[v] = 0; released[v] = false; epoch[v] = 0
  :: else -> skip
  fi
}

/* A write applies: its version is checked, unless a mutant forgets to. */
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

inline leave_orphan(h) {
  if
  :: in_flight[h] && version == seen[h] ->
    orphan = true; orphan_version = seen[h]; orphan_member = member[h];
    orphan_roster = pending_roster[h]; orphan_kind = pending[h]
  :: else -> skip
  fi
}

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
      forget_round(h)
    fi
  :: else ->
    if
    :: leads[h] && holder[version] != member[h] -> lose_lead(h)
    :: else -> skip
    fi
  fi;
  forget_pending(h);
  earlier = seen[h];
  seen[h] = version;
  watched[h] = 0;
  if
  :: earlier != UNREAD -> forget_row(earlier)
  :: else -> skip
  fi;
  earlier = 0;
  assert(DECIDERS <= 1)
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
  watched[h] = 0;
  in_flight[h] = true
#ifdef MUTANT_UNCLEAR
  ; if
  :: kind == RENEW -> lease_age[h] = 0
  :: else -> skip
  fi
#endif
}

/* A write that checks a version which has passed has no effect, so none is searched. */
#define MAY_WRITE(h) (pending[h] == NONE && seen[h] < VERSIONS && seen[h] == version)

#ifdef MUTANT_KEEPS_PROMISE
#define PROMISE_OVER(h) true
#else
#define PROMISE_OVER(h) (promised[h] == 0)
#endif

#define IN_ROSTER(h) ((roster[seen[h]] & BIT(member[h])) != 0)
#define SUCCEEDS_MEMBER(h) (member[h] == 3 && (roster[seen[h]] & BIT(1)) != 0)

#ifdef MUTANT_RESTART
#define RESTART_OVER true
#else
#define RESTART_OVER (restart_wait == 0)
#endif

#ifdef MUTANT_NEWCOMER
#define NEWCOMER_WATCHED LEASE_WATCHED
#else
#define NEWCOMER_WATCHED HORIZON_WATCHED
#endif

#define MAY_TAKE_OVER(h) \
  (released[seen[h]] || (PROMISE_OVER(h) && \
   ((watched[h] >= LEASE_WATCHED && (IN_ROSTER(h) || (SUCCEEDS_MEMBER(h) && RESTART_OVER))) || \
    watched[h] >= NEWCOMER_WATCHED)))

#ifdef MUTANT_UNION
#define PROMISERS(h) (roster[seen[h]] & ~BIT(member[h]))
#else
#define PROMISERS(h) ((roster[seen[h]] | pending_roster[h]) & ~BIT(member[h]))
#endif

inline extend(h) {
  if
  :: missing[h] == 0 ->
    by_promise[h] = round_left[h];
#ifndef MUTANT_BOUND
    if
    :: lease_age[h] >= HORIZON_HELD -> by_promise[h] = 0
    :: lease_age[h] < HORIZON_HELD && by_promise[h] > HORIZON_HELD - lease_age[h] ->
      by_promise[h] = HORIZON_HELD - lease_age[h]
    :: else -> skip
    fi;
#endif
    forget_round(h);
    assert(DECIDERS <= 1)
  :: else -> skip
  fi
}

inline ask_promises(h) {
  round_left[h] = PROMISE_HELD;
  missing[h] = PROMISERS(h);
#ifdef MUTANT_PROMISE
  missing[h] = missing[h] & ~BIT(1);
#endif
  extend(h)
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

inline promise(h, to) {
  promised[h] = PROMISE_KEPT;
  if
  :: leads[h] -> lose_lead(h)
  :: else -> skip
  fi;
  missing[to] = missing[to] & ~BIT(member[h]);
  extend(to)
}

inline restart(h) {
  leave_orphan(h);
  lose_lead(h);
  forget_pending(h);
  promised[h] = 0;
  stopping[h] = false;
  seen[h] = UNREAD;
  watched[h] = 0;
  member[h] = 3;
  restarted = true;
  restart_wait = PROMISE_KEPT
}

proctype host(byte me) {
  do
  :: atomic { seen[me] != version -> read_row(me) }
  :: atomic { leads[me] && MAY_WRITE(me) -> send_write(me, RENEW) }
  :: atomic { !leads[me] && !stopping[me] && MAY_WRITE(me) && MAY_TAKE_OVER(me) ->
      send_write(me, TAKE_OVER) }
  :: atomic { leads[me] && !stopping[me] && !orphan && seen[me] < VERSIONS &&
      seen[me] == version ->
      leave_orphan(me);
      stopping[me] = true;
#ifndef MUTANT_RELEASE
      lose_lead(me);
#endif
      send_write(me, RELEASE) }
  :: atomic { stopping[me] && MAY_WRITE(me) && holder[seen[me]] == member[me] &&
      !released[seen[me]] -> send_write(me, RELEASE) }
  :: atomic { in_flight[me] -> apply_write(me) }
  :: atomic { leads[me] && round_left[me] < PROMISE_HELD && by_promise[me] < PROMISE_HELD ->
      ask_promises(me) }
  :: atomic { (missing[0] & BIT(member[me])) != 0 && round_left[0] > 0 && MAY_PROMISE(me, 0) ->
      promise(me, 0) }
  :: atomic { (missing[1] & BIT(member[me])) != 0 && round_left[1] > 0 && MAY_PROMISE(me, 1) ->
      promise(me, 1) }
  :: atomic { (missing[2] & BIT(member[me])) != 0 && round_left[2] > 0 && MAY_PROMISE(me, 2) ->
      promise(me, 2) }
  :: atomic { me == 1 && !restarted && !orphan -> restart(me) }
  :: atomic { me == 0 && orphan -> apply_orphan() }
  od
}

inline age(value, limit) {
  value = (value < limit -> value + 1 : limit)
}

inline count_down(value) {
  value = (value > 0 -> value - 1 : 0)
}

inline pass_time(h) {
  if
  :: seen[h] == version && !leads[h] && pending[h] == NONE -> age(watched[h], HORIZON_WATCHED)
  :: else -> skip
  fi;
  if
  :: pending[h] != NONE && pending[h] != RELEASE &&
     (in_flight[h] || (version == seen[h] + 1 && holder[version] == member[h])) ->
    age(pending_age[h], HORIZON_HELD)
  :: else -> pending_age[h] = 0
  fi;
  if
  :: leads[h] -> age(lease_age[h], HORIZON_HELD)
  :: else -> skip
  fi;
  count_down(by_promise[h]);
  count_down(round_left[h]);
  count_down(promised[h]);
  if
  :: round_left[h] == 0 -> missing[h] = 0
  :: else -> skip
  fi;
  if
  :: h == 1 -> count_down(restart_wait)
  :: else -> skip
  fi
}

proctype clock() {
  do
  :: atomic { pass_time(0); pass_time(1); pass_time(2) }
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
