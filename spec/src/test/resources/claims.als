/*
 * Claims: a request with an idempotency key runs at most once, despite lost responses, concurrent
 * keepers, stale caches, and holders that pause, time out or crash. One key is enough, since keys
 * are independent.
 *
 * Actions and the code that they model:
 *   (initially Asked) Claims.take
 *   giveUp            the timeout in Claims.take
 *   issue             ClaimKeeper.Slot.commit: apply on a cache of any age (load, readBack, adopt),
 *                     then ObjectStore.write; any number of keepers
 *   apply             the object API's conditional update; its response may be lost
 *   hear              the result "made" reaches the holder through ClaimKeeper and Claims
 *   send              ChatExecution.dispatch after onClaim
 *   finish            ChatExecution.onResponseComplete, ChatExecution.onFailure
 *   release           Claims.release
 *   die               the holder's VM crashes and loses its memory
 */
module claims

open util/ordering[Revision] as revisions

sig Revision {}

abstract sig Phase {}
one sig Asked, Owns, Sent, Ended, Dead extends Phase {}

abstract sig Told {}
one sig NotRun, Complete, Unknown extends Told {}

/* One request of the caller with the key, at some VM. */
sig Holder {
  var phase: one Phase,
  var told: lone Told
}

/* Mechanisms that a check can disable to show that they are necessary. */
abstract sig Guard {}
one sig Conditional, StaysGivenUp, ReleasesOnlyUnsent, SendsOnlyOwned extends Guard {}
one sig Guards { on: set Guard }

/* A pending conditional write, which sets the claim of its holder or removes it. */
sig Write {
  holder: one Holder,
  frees: lone Holder,
  var expected: lone Revision
}

one sig Store {
  var revision: one Revision,
  var claim: lone Holder,
  var history: Revision -> lone Holder
}

/* Holders whose request reached a backend server, or whose claim was made or released. */
var sig ran in Holder {}
var sig made in Holder {}
var sig released in Holder {}

pred init {
  Holder.phase = Asked
  no told
  no expected
  Store.revision = revisions/first
  no Store.claim
  no Store.history
  no ran
  no made
  no released
}

pred sameStore { revision' = revision and claim' = claim and history' = history }
pred sameWrites { expected' = expected }
pred sameFacts { ran' = ran and made' = made and released' = released }
pred othersKeep[h: Holder] { all o: Holder - h | o.phase' = o.phase and o.told' = o.told }
pred holdersKeep { phase' = phase and told' = told }

/* The claim in a keeper's cache: the latest one or, after a stale read, an older one. */
fun claimAt[r: Revision]: lone Holder {
  r = Store.revision implies Store.claim else Store.history[r]
}

/* A keeper writes a claim if its cache has none. A holder that released never claims again. */
pred issue[w: Write] {
  no w.expected and no w.frees
  w.holder not in released
  some r: Revision {
    revisions/lte[r, Store.revision]
    no claimAt[r]
    w.expected' = r
  }
  all o: Write - w | o.expected' = o.expected
  holdersKeep and sameStore and sameFacts
}

pred effect[w: Write] {
  Store.revision != revisions/last
  Store.revision' = revisions/next[Store.revision]
  Store.history' = Store.history + Store.revision -> Store.claim
  some w.frees implies Store.claim' = Store.claim - w.frees else Store.claim' = w.holder
  released' = released + w.frees
}

/* The store applies the write if its condition holds; the result arrives later or never. */
pred apply[w: Write] {
  some w.expected
  (Conditional in Guards.on implies w.expected = Store.revision)
  effect[w]
  no w.expected'
  all o: Write - w | o.expected' = o.expected
  (some w.frees implies made' = made else made' = made + w.holder)
  ran' = ran
  holdersKeep
}

pred hear[h: Holder] {
  h in made
  h.phase = Asked or (StaysGivenUp not in Guards.on and h.phase = Ended and h not in ran)
  h.phase' = Owns and h.told' = h.told
  othersKeep[h] and sameStore and sameWrites and sameFacts
}

pred giveUp[h: Holder] {
  h.phase = Asked
  h.phase' = Ended and h.told' = NotRun
  othersKeep[h] and sameStore and sameWrites and sameFacts
}

pred send[h: Holder] {
  h.phase = Owns or (SendsOnlyOwned not in Guards.on and h.phase = Asked)
  h.phase' = Sent and h.told' = h.told
  ran' = ran + h and made' = made and released' = released
  othersKeep[h] and sameStore and sameWrites
}

pred finish[h: Holder] {
  h.phase = Sent
  h.phase' = Ended
  h.told' in Complete + Unknown and one h.told'
  othersKeep[h] and sameStore and sameWrites and sameFacts
}

/* The claim of a holder whose caller received "not run" is released by a conditional write. */
pred release[w: Write] {
  no w.expected and some w.frees and w.frees = w.holder
  w.holder.phase = Ended
  ReleasesOnlyUnsent in Guards.on implies w.holder.told = NotRun
  some r: Revision {
    revisions/lte[r, Store.revision]
    claimAt[r] = w.holder
    w.expected' = r
  }
  all o: Write - w | o.expected' = o.expected
  holdersKeep and sameStore and sameFacts
}

pred die[h: Holder] {
  h.phase not in Ended + Dead
  h.phase' = Dead and h.told' = h.told
  othersKeep[h] and sameStore and sameWrites and sameFacts
}

pred pause { holdersKeep and sameStore and sameWrites and sameFacts }

fact behaviour {
  init
  always (
    pause
    or (some h: Holder | hear[h] or giveUp[h] or send[h] or finish[h] or die[h])
    or (some w: Write | issue[w] or release[w] or apply[w]))
}

pred runsAtMostOnce { lone ran }
pred notRunIsTrue { no h: Holder | h.told = NotRun and h in ran }
pred safe { always (runsAtMostOnce and notRunIsTrue) }

/* The model is satisfiable: a request completes; after a release another request runs. */
run completes { Guards.on = Guard and eventually Complete in Holder.told }
  for 2 Holder, 3 Write, 4 Revision, 1..8 steps expect 1
run releasedKeyRuns {
  Guards.on = Guard
  eventually (some released and some ran and NotRun in Holder.told)
} for 2 Holder, 3 Write, 4 Revision, 1..11 steps expect 1

check holds { Guards.on = Guard implies safe }
  for 3 Holder, 3 Write, 4 Revision, 1..10 steps expect 0
check holdsLonger { Guards.on = Guard implies safe }
  for 2 Holder, 3 Write, 4 Revision, 1..13 steps expect 0

check withoutConditionalUpdate { Guards.on = Guard - Conditional implies safe }
  for 2 Holder, 2 Write, 3 Revision, 1..10 steps expect 1
check withoutStayingGivenUp { Guards.on = Guard - StaysGivenUp implies safe }
  for 2 Holder, 2 Write, 3 Revision, 1..8 steps expect 1
check withoutReleasingOnlyUnsent { Guards.on = Guard - ReleasesOnlyUnsent implies safe }
  for 2 Holder, 3 Write, 4 Revision, 1..13 steps expect 1
check withoutSendingOnlyOwned { Guards.on = Guard - SendsOnlyOwned implies safe }
  for 2 Holder, 2 Write, 3 Revision, 1..6 steps expect 1
