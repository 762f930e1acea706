# An operator's file of a front end that takes part in a fleet with one policy: the first of three deciders, all on one
# machine. docs/policy.md starts three of them by copy and paste. Without a `fleet` block none of this exists.

fleet {
  name   = "counter-fleet"       # members of a fleet of another name are turned away
  member = "n1"                  # this front end's name in it; the configuration's `name` if absent
  seat   = 1                     # which of the deciders below it is; a front end without a seat decides nothing
  folder = "/tmp/beamgap-fleet/n1" # a decider keeps here what was agreed on; one folder for each

  # The fleet's figures of time: those of the file count when the fleet is founded, and are kept from then on.
  switch_bound = "1 s"  # from the first request under a new policy to the last under the old one, at most
  right        = "5 s"  # a front end that reaches no leader for so long takes no new work
  check_time   = "2 s"  # for all front ends to check a change; who is silent is no veto
  drift        = "5%"   # by which clocks may run apart at most

  # Tasks that one front end at a time does for the whole fleet (docs/leases.md). They take effect by `beamgap task apply`.
  task "nightly-feed" {
    call      = "http://127.0.0.1:7500/feed" # each step is posted there, with the lease's token
    at        = "02:30"                      # UTC; or `every = "1 h"`; or neither: when an operator says so
    steps     = 20
    step_time = "1 s"                        # longest time of a step; at most half the lease
    lease     = "5 s"                        # another holds it so much + 2 s after its holder drops
    unknown   = "halt"                       # after a step that may have run; or skip, or repeat
    tries     = 3                            # of a step that never ran
    backoff   = "1 s"
  }

  # Three or five deciders, the same at all front ends. Beyond loopback the links are neither secret nor signed in to:
  # such an address is refused unless `plaintext_beyond_loopback = true` says that nobody else reaches that network.
  decider "1" {
    address = "127.0.0.1:7401"
  }

  decider "2" {
    address = "127.0.0.1:7402"
  }

  decider "3" {
    address = "127.0.0.1:7403"
  }
}

# Health tells whether this front end may admit, and why not: GET /health/ready.
control {
  http = "127.0.0.1:9191"
}
