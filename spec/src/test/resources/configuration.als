/*
 * Configuration: a VM keeps the highest revision of each object that it has received, despite stale
 * reads and delayed or repeated messages. One object is enough, since objects are independent.
 *
 * Actions and the code that they model:
 *   publish           a conditional write of an operator
 *   hear              ConfigurationTable.merge of a store response or peer message, of any age
 */
module configuration

open util/ordering[Revision] as revisions

sig Revision {}
sig Vm { var revision: one Revision }
one sig Store { var newest: one Revision }

abstract sig Guard {}
one sig KeepsHighest extends Guard {}
one sig Guards { on: set Guard }

pred init { Vm.revision = revisions/first and Store.newest = revisions/first }

pred publish {
  Store.newest != revisions/last
  newest' = Store -> revisions/next[Store.newest]
  revision' = revision
}

/* Receives any revision that was ever written, since messages may be delayed or repeated. */
pred hear[v: Vm] {
  some r: Revision {
    revisions/lte[r, Store.newest]
    KeepsHighest in Guards.on implies revisions/gt[r, v.revision]
    v.revision' = r
  }
  all o: Vm - v | o.revision' = o.revision
  newest' = newest
}

pred stutter { revision' = revision and newest' = newest }

fact behaviour { init and always (stutter or publish or (some v: Vm | hear[v])) }

pred neverFalls { always all v: Vm | revisions/gte[v.revision', v.revision] }

run reachesAll { Guards.on = Guard and eventually Vm.revision = revisions/last }
  for 3 Vm, 4 Revision, 1..10 steps expect 1
check holds { Guards.on = Guard implies neverFalls } for 3 Vm, 5 Revision, 1..12 steps expect 0
check withoutKeepingHighest { Guards.on = Guard - KeepsHighest implies neverFalls }
  for 2 Vm, 3 Revision, 1..6 steps expect 1
