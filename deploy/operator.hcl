# An operator's file, given by `--operator FILE` or BEAMGAP_OPERATOR. What is not here is off: without a block,
# beamgap listens on the platform's front alone. `beamgap check deploy/operator.hcl` checks the form;
# `--config CONFIG.json` beside it checks the meaning too.

# Clients that speak the MySQL wire protocol.
mysql {
  listen           = "127.0.0.1:3306"
  default_class    = "delivery-load" # of statements that no rule fits: one that never runs twice
  box_user         = "beamgap"
  box_password_env = "BEAMGAP_BOX_PASSWORD"
  box_connections  = 48

  account "till-leinster" {
    password_env = "BEAMGAP_TILL_PASSWORD"
    tenant       = "leinster"
  }

  account "till-munster" {
    password_env = "BEAMGAP_TILL_PASSWORD"
    tenant       = "munster"
  }

  # The first rule that fits gives the class.
  rule {
    verb     = "select"
    mentions = "/* report */"
    class    = "report"
    work     = "4 s"
    memory   = "600 MiB"
  }

  rule {
    verb   = "select"
    class  = "lookup"
    work   = "100 ms"
    memory = "80 MiB"
  }
}

# Health, agent check and the pages of the service, for balancers and people.
control {
  http    = "127.0.0.1:9090"
  agent   = "127.0.0.1:9091"
  cluster = "query-boxes"
}

# Other proxies, which get the module's decisions over xDS. docs/xds.md tells what each key does.
xds {
  listen       = "127.0.0.1:18000"
  proxy_share  = "50%"    # of what a cold box bears; the rest is this front end's own
  request_work = "200 ms" # of a usual request that comes by proxies, on one core
  request_time = "15 s"
  lease_ttl    = "5 s"
  late_most    = "10 s"

  listener "tills" {
    address = "127.0.0.1:8080"
  }
}
