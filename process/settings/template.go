package settings

// Template is a commented settings file with every key.
const Template = `# Settings of one hyssopsilld node. Check with: hyssopsilld check --settings node.toml

# Unique name of the node in the fleet.
node = "node-1"
# Region and failure domain of the host.
region = "region-1"
domain = "domain-1"

# Shared secret of all nodes, at least 16 bytes. fleet_token_file = "path" reads it from a file.
fleet_token = "replace-this-shared-secret"

# The platform's append-only log service.
log_url = "http://127.0.0.1:7300"

# Time for which the log is guaranteed to keep records, such as "72h". "0s" means unknown: a node that starts after the
# stream of order bindings was trimmed then refuses, for 24 h, order keys that customers made.
log_retention = "0s"

# Control addresses of other nodes, in addition to those in the log's stream of nodes.
seeds = []

# Service of the targets on this host, for HTTP profiles with a header field for the caller's service; may be empty.
host_service = ""

# Write decision records to the log's stream, in addition to log lines.
decision_stream = true

# On SIGTERM, keep accepting new connections for this long, so that callers learn of the drain.
drain_notice = "1s"
# On SIGTERM, let the gate accept work that ends in time for this long, at most drain_notice, before it
# refuses all work and other nodes learn of the drain. 0 refuses at once.
drain_handover = "0s"
# On SIGTERM, wait this long for running requests and then abort them. 0 is no bound.
drain_timeout = "0s"

# Minimum level of log lines: debug, info, warn or error.
log_level = "info"

[listen]
# Requests of callers.
caller = "127.0.0.1:7400"
# Requests from the entries of other nodes.
peer_data = "127.0.0.1:7401"
# Control messages between nodes.
peer_control = "127.0.0.1:7402"
# Announcements of the targets on this host.
announce = "127.0.0.1:7403"
# Health, status, metrics, decision records and drain.
admin = "127.0.0.1:7404"
# Only metrics, for a collector; empty: metrics on the admin listener only.
metrics = ""

[advertise]
# Addresses at which other nodes reach this one; empty means the listener's address.
peer_data = ""
peer_control = ""

[limits]
# Header of a request or a response, bytes.
header_bytes = 32768
# Body of a request, bytes; a class may allow less.
body_bytes = 1073741824
# Time within which the header of a request must arrive.
read_header_timeout = "5s"
# Time after which an idle connection is closed.
idle_timeout = "1m30s"
# Connections per listener.
connections = 10000
# Time within which a client must read something of a response that waits for it; else its connection is closed.
write_timeout = "5s"
# Memory of the host, bytes or such as "184MB". Connections hold at most half of it, and the garbage collector works more
# from three quarters on. 0: not known, connections hold at most 64 MiB.
memory = 0

[defaults]
# Share of a service's targets that ejection always leaves in rotation, where the configuration does not set it.
floor = 0.5
# Requests that may wait per slot of a target, where the configuration does not set it.
queue_per_slot = 4
# Retries that may be sent per first attempt.
retry_share = 0.1
# Additional retries that the whole fleet may send to a service within the window. The gates of the service share this
# budget; with 0 each entry has its own budget, with one additional retry per second.
retry_slack = 0.0
# Time window of the retry budget.
retry_window = "10s"
# Pass on known loads of targets between nodes, in the responses of gates.
share_loads = false
# Limits of accounts: in each window at most (rate x window + burst) x (1 + overage) + slack requests of an account run,
# over all nodes together.
account_window = "5s"
account_overage = 0.1
account_slack = 20.0
`
