/*
 * Bills: two VMs hold a bill before the caller receives the end of the response, so no bill is lost
 * when one VM crashes.
 *
 * Actions and the code that they model:
 *   record, hold      Bills.record and Bills.keep
 *   answer            ChatExecution.finishResponse
 *   write             Bills.flush and BillWriter: the keeper appends to its own segment
 *   settle            BILLS_SETTLED: the origin discards its copy
 *   hold, repeated    Bills.resend after the keeper has crashed
 *   die               a VM crashes and loses its memory
 */
module bills

sig Request { origin: one Vm }

sig Vm {
  var own: set Request,
  var held: set Request,
  /* Bills in the store, in segments that only this VM writes; they remain after it crashes. */
  var segment: set Request
}

var sig dead in Vm {}
var sig answered in Request {}

abstract sig Guard {}
one sig HoldsFirst, ForgetsOnlyWritten, Resends extends Guard {}
one sig Guards { on: set Guard }

pred init { no own and no held and no segment and no dead and no answered }

pred sameOwn { own' = own }
pred sameHeld { held' = held }
pred sameSegments { segment' = segment }
pred sameRest { dead' = dead and answered' = answered }

pred record[r: Request] {
  r.origin not in dead and r not in r.origin.own and r not in answered
  no r & Vm.segment
  own' = own + r.origin -> r
  sameHeld and sameSegments and sameRest
}

pred hold[r: Request, k: Vm] {
  r.origin not in dead and k not in dead and k != r.origin
  r in r.origin.own
  (Resends not in Guards.on implies no r & Vm.held)
  held' = held + k -> r
  sameOwn and sameSegments and sameRest
}

pred answer[r: Request] {
  r.origin not in dead and r in r.origin.own and r not in answered
  HoldsFirst in Guards.on implies some k: Vm - r.origin | r in k.held or r in k.segment
  answered' = answered + r and dead' = dead
  sameOwn and sameHeld and sameSegments
}

pred write[k: Vm, r: Request] {
  k not in dead and r in k.held
  segment' = segment + k -> r
  (ForgetsOnlyWritten in Guards.on implies held' = held else held' = held - k -> r)
  sameOwn and sameRest
}

pred forget[k: Vm, r: Request] {
  k not in dead and r in k.held
  ForgetsOnlyWritten in Guards.on implies r in k.segment
  held' = held - k -> r
  sameOwn and sameSegments and sameRest
}

pred settle[r: Request] {
  r.origin not in dead and r in r.origin.own
  ForgetsOnlyWritten in Guards.on implies r in Vm.segment
  own' = own - r.origin -> r
  sameHeld and sameSegments and sameRest
}

/* At most one VM crashes; the design gives no guarantee for more before a bill is written. */
pred die[v: Vm] {
  no dead
  dead' = dead + v
  own' = own - v -> Request
  held' = held - v -> Request
  answered' = answered
  sameSegments
}

pred stutter { sameOwn and sameHeld and sameSegments and sameRest }

fact behaviour {
  init
  always (
    stutter
    or (some r: Request | record[r] or answer[r] or settle[r])
    or (some r: Request, k: Vm | hold[r, k] or write[k, r] or forget[k, r])
    or (some v: Vm | die[v]))
}

/* The bill of a complete response is in the store or in the memory of a running VM. */
pred noBillIsLost {
  all r: answered | some v: Vm | r in v.segment or (v not in dead and r in v.own + v.held)
}
/* Copies count as one bill, since readers count each request once. */
pred onlyRealBills { Vm.segment in Request }

run billed { Guards.on = Guard and eventually (some answered & Vm.segment) }
  for 2 Request, 3 Vm, 1..10 steps expect 1
run billedAfterDeath {
  Guards.on = Guard
  eventually (some r: answered | r.origin in dead and r in Vm.segment)
} for 2 Request, 3 Vm, 1..10 steps expect 1

check holds { Guards.on = Guard implies always (noBillIsLost and onlyRealBills) }
  for 2 Request, 3 Vm, 1..10 steps expect 0
check withoutHoldingFirst { Guards.on = Guard - HoldsFirst implies always noBillIsLost }
  for 2 Request, 3 Vm, 1..8 steps expect 1
check withoutForgettingOnlyWritten {
  Guards.on = Guard - ForgetsOnlyWritten implies always noBillIsLost
} for 2 Request, 3 Vm, 1..10 steps expect 1
