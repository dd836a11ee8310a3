/*
 * Rollouts: data centres take grants for requests to the new version from one object by conditional
 * update, so together they never send it more than allowed, even while partitioned. A halted
 * rollout stays halted.
 *
 * Actions and the code that they model:
 *   draw              RolloutKeeper.write: RolloutProgress.grant under a conditional update
 *   expose            RolloutKeeper.request
 *   halt, hearOld     HaltTable.add, PeerGroup.pushHalts
 */
module rollouts

sig Share {}
abstract sig Guard {}
one sig ConditionalDraw, AsksFirst, KeepsHalt extends Guard {}
one sig Guards { on: set Guard }

/* A data centre; while partitioned it neither draws nor receives. */
sig DataCentre {
  var drawn: set Share,
  var used: set Share,
  var halted: lone Halt,
  /* What its keeper last read of the object; may be outdated. */
  var seenGiven: set Share
}
one sig Halt {}
one sig Store { var given: set Share, allowed: set Share }
var sig extra in DataCentre {}

pred init {
  no drawn and no used and no halted and no given and no seenGiven and no extra
}

pred sameStore { given' = given }
pred keeps[d: DataCentre] {
  d.drawn' = d.drawn and d.used' = d.used and d.halted' = d.halted and d.seenGiven' = d.seenGiven
}
pred othersKeep[d: DataCentre] { all o: DataCentre - d | keeps[o] }

pred read[d: DataCentre] {
  d.seenGiven' = Store.given
  d.drawn' = d.drawn and d.used' = d.used and d.halted' = d.halted
  othersKeep[d] and sameStore and extra' = extra
}

pred draw[d: DataCentre] {
  some s: Store.allowed - d.seenGiven {
    ConditionalDraw in Guards.on implies d.seenGiven = Store.given
    given' = given + Store -> s
    d.drawn' = d.drawn + s
  }
  d.used' = d.used and d.halted' = d.halted and d.seenGiven' = given'[Store]
  othersKeep[d] and extra' = extra
}

pred expose[d: DataCentre] {
  no d.halted
  (some s: d.drawn - d.used | d.used' = d.used + s and extra' = extra)
    or (AsksFirst not in Guards.on and d.used' = d.used and extra' = extra + d)
  d.drawn' = d.drawn and d.halted' = d.halted and d.seenGiven' = d.seenGiven
  othersKeep[d] and sameStore
}

pred halt[d: DataCentre] {
  d.halted' = Halt
  d.drawn' = d.drawn and d.used' = d.used and d.seenGiven' = d.seenGiven
  othersKeep[d] and sameStore and extra' = extra
}

/* A delayed message reports the rollout as running. */
pred hearOld[d: DataCentre] {
  (KeepsHalt in Guards.on implies d.halted' = d.halted else no d.halted')
  d.drawn' = d.drawn and d.used' = d.used and d.seenGiven' = d.seenGiven
  othersKeep[d] and sameStore and extra' = extra
}

pred stutter { (all d: DataCentre | keeps[d]) and sameStore and extra' = extra }

fact behaviour {
  init
  always (stutter
    or (some d: DataCentre | read[d] or draw[d] or expose[d] or halt[d] or hearOld[d]))
}

/* Each allowed exposure is used by at most one data centre, and none beyond those. */
pred withinAllowed {
  no extra
  all s: Share | lone d: DataCentre | s in d.used
  DataCentre.used in Store.allowed
}
pred staysHalted { all d: DataCentre | some d.halted implies some d.halted' }

run exposes { Guards.on = Guard and eventually #used > 1 }
  for 3 Share, 2 DataCentre, 1..10 steps expect 1
check holds { Guards.on = Guard implies always (withinAllowed and staysHalted) }
  for 3 Share, 3 DataCentre, 1..10 steps expect 0
check withoutConditionalDraw { Guards.on = Guard - ConditionalDraw implies always withinAllowed }
  for 3 Share, 2 DataCentre, 1..8 steps expect 1
check withoutAskingFirst { Guards.on = Guard - AsksFirst implies always withinAllowed }
  for 2 Share, 2 DataCentre, 1..6 steps expect 1
check withoutKeepingHalt { Guards.on = Guard - KeepsHalt implies always staysHalted }
  for 2 Share, 2 DataCentre, 1..6 steps expect 1
