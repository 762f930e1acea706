# A policy of a fleet. What is absent binds nothing. `beamgap policy check deploy/policy.hcl --config CONFIG.json` checks it,
# `beamgap policy propose` has it take hold everywhere or nowhere.

form = 1 # of this document; an older program turns down what it can't read

# This engine gets nothing new and ends what it has.
engine "s-00000002" {
  left_out = true
  why      = "its disk is being replaced"
}

# Bounds for a class, at each front end.
class "report" {
  attempts = 2     # of one request
  rate     = 20    # admitted in a second
  deadline = "8 s" # of a request, from when it was sent; a client's own shorter time holds
}

# Nothing of this class tonight: refused harmlessly, with the time to come back.
class "delivery-load" {
  refused = true
}

# At most this part of what is asked is admitted of an account.
account "munster" {
  share = "40%"
}

# This part of a zone's engines is used, the same engines at all front ends.
zone "room-b" {
  weight = "50%"
}

# This task of the fleet begins no further step (docs/leases.md).
task "nightly-feed" {
  forbidden = true
}

# So many a second of all front ends together, and so many at once (docs/budgets.md).
budget "munster" {
  limits  = "requests"
  account = "munster"
  rate    = 400
  burst   = 200
}

# At a time, of all front ends together; after `longest` one is surely over, whatever became of its front end.
budget "reports" {
  limits  = "open"
  class   = "report"
  most    = 60
  longest = "30 s"
}

admission {
  open_most = 2000 # requests open at a front end
}
